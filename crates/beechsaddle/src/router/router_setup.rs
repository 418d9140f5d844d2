//! The `router_setup` module provides the options of every part of a router from its settings.

use std::net::SocketAddr;

use eyre::{Result, eyre};

use beechsaddle_core::accounting::AccountingOptions;
use beechsaddle_core::admission::{AdmissionOptions, RetryOptions};
use beechsaddle_core::calls::CallOptions;
use beechsaddle_core::catalogue::CatalogueOptions;
use beechsaddle_core::dedup::DedupOptions;
use beechsaddle_core::hash::stable_hash;
use beechsaddle_core::members::{MemberOptions, SeedPeer};
use beechsaddle_core::objects::FleetLayout;
use beechsaddle_core::orders::OrderOptions;
use beechsaddle_core::prelude::*;
use beechsaddle_core::report::{LogLevel, LogLine, ReportAction};
use beechsaddle_core::router::RouterOptions;
use beechsaddle_core::targets::TargetOptions;

use crate::calls::CallsOptions;
use crate::peers::{PeerAuth, PeersOptions};
use crate::platform::PlatformOptions;
use crate::report::ReportOptions;
use crate::settings::RouterSettings;

const PERMILLE_PER_PERCENT: u64 = 10;

/// Number of journal periods per fold into the ledger. Folding at each period would cause one
/// ledger write for every journal write.
const JOURNAL_PERIODS_PER_FOLD: u64 = 5;

/// Converts settings into options.
pub struct RouterSetup<'a> {
    settings: &'a RouterSettings,
    own_incarnation: RouterIncarnation,
}

impl<'a> RouterSetup<'a> {
    /// Creates the setup of one incarnation of a router.
    pub fn new(settings: &'a RouterSettings, own_incarnation: RouterIncarnation) -> Self {
        RouterSetup {
            settings,
            own_incarnation,
        }
    }

    /// Options of logs and metrics.
    pub fn report(&self) -> ReportOptions {
        let mut options = ReportOptions::new(self.own_incarnation.to_string());
        options.level = self.settings.log.level;
        options.statsd = self.settings.metrics.statsd;
        options.prefix.clone_from(&self.settings.metrics.prefix);
        options
    }

    /// Options of the platform's client.
    pub fn platform(&self) -> PlatformOptions {
        let mut options = PlatformOptions::new(self.settings.platform.address);
        options.timeout_ms = self.settings.platform.timeout_ms;
        options
    }

    /// Options of the edge towards other routers.
    ///
    /// # Errors
    ///
    /// If the shared secret is too short.
    pub fn try_peers(&self) -> Result<PeersOptions> {
        let auth = PeerAuth::try_new(self.settings.peers.secret.reveal())
            .ok_or_else(|| eyre!("the shared secret of the peers is too short"))?;
        Ok(PeersOptions::new(self.settings.peer_address, auth))
    }

    /// Options of the edge towards callers and targets.
    pub fn calls(&self) -> CallsOptions {
        let limits = &self.settings.limits;
        CallsOptions {
            call_address: self.settings.call_address,
            admin_address: self.settings.admin_address,
            max_connections: to_usize(limits.connections),
            head_bytes: to_usize(limits.header_bytes),
            head_timeout_ms: limits.header_timeout_ms,
            idle_timeout_ms: limits.idle_timeout_ms,
            body_bytes: to_usize(limits.body_bytes),
            body_timeout_ms: limits.body_timeout_ms,
            write_stall_ms: limits.write_timeout_ms,
            connect_timeout_ms: self.settings.routing.connect_timeout_ms,
            probe_timeout_ms: self.settings.routing.probe_timeout_ms,
            ..CallsOptions::default()
        }
    }

    /// Options of the core.
    pub fn core(&self) -> RouterOptions {
        RouterOptions {
            me: self.own_incarnation.clone(),
            domain: self.settings.domain.clone(),
            peer_address: self.settings.peer_address.to_string(),
            seed: stable_hash(self.own_incarnation.to_string()),
            layout: FleetLayout {
                ledger_shards: self.settings.budgets.ledger_shards,
                dedup_shards: self.settings.budgets.dedup_shards,
            },
            calls: CallOptions::default(),
            accounting: self.accounting(),
            dedup: self.dedup(),
            members: self.members(),
            catalogue: self.catalogue(),
            targets: self.targets(),
            admission: self.admission(),
            retries: self.retries(),
            orders: OrderOptions::default(),
        }
    }

    /// The first line of the log.
    pub fn started_line(&self, call_address: SocketAddr) -> ReportAction {
        ReportAction::Log(LogLine {
            level: LogLevel::Info,
            event: "router_started",
            fields: vec![
                ("domain", self.settings.domain.to_string()),
                ("call_address", call_address.to_string()),
                ("peer_address", self.settings.peer_address.to_string()),
                ("platform", self.settings.platform.address.to_string()),
            ],
        })
    }

    /// Returns the line to log before the process ends.
    pub fn exiting_line(cut_connections: usize) -> ReportAction {
        let level = match cut_connections {
            0 => LogLevel::Info,
            _ => LogLevel::Warning,
        };
        ReportAction::Log(LogLine {
            level,
            event: "router_exiting",
            fields: vec![("cut_connections", cut_connections.to_string())],
        })
    }

    fn accounting(&self) -> AccountingOptions {
        let budgets = &self.settings.budgets;
        AccountingOptions {
            shard_count: budgets.ledger_shards,
            endurance_ms: budgets.endurance_ms,
            endurance_share_permille: budgets.endurance_share_permille,
            journal_period_ms: budgets.journal_period_ms,
            fold_period_ms: budgets.journal_period_ms * JOURNAL_PERIODS_PER_FOLD,
            idle_return_ms: budgets.idle_grant_ms,
            ..AccountingOptions::default()
        }
    }

    fn dedup(&self) -> DedupOptions {
        DedupOptions {
            shard_count: self.settings.budgets.dedup_shards,
            retention_ms: self.settings.budgets.dedup_retention_ms,
            ..DedupOptions::default()
        }
    }

    fn members(&self) -> MemberOptions {
        let peers = &self.settings.peers;
        let seeds = peers.seeds.iter().map(|seed| SeedPeer {
            host: seed.host.clone(),
            domain: seed.domain.clone(),
            address: seed.address.to_string(),
        });
        MemberOptions {
            heartbeat_ms: peers.heartbeat_ms,
            down_after_ms: peers.down_after_ms,
            bridges: to_usize(peers.bridges),
            seeds: seeds.collect(),
            ..MemberOptions::default()
        }
    }

    fn catalogue(&self) -> CatalogueOptions {
        CatalogueOptions {
            watchers: to_usize(self.settings.peers.watchers),
            ..CatalogueOptions::default()
        }
    }

    fn targets(&self) -> TargetOptions {
        let routing = &self.settings.routing;
        let ejected_percent = 100_u64.saturating_sub(routing.floor_percent);
        TargetOptions {
            probe_period_ms: routing.probe_ms,
            probe_timeout_ms: routing.probe_timeout_ms,
            eject_base_ms: routing.eject_ms,
            eject_share_permille: ejected_percent * PERMILLE_PER_PERCENT,
            slow_start_ms: routing.slow_start_ms,
            ..TargetOptions::default()
        }
    }

    fn admission(&self) -> AdmissionOptions {
        AdmissionOptions {
            open_calls: to_u32(self.settings.limits.calls),
            ..AdmissionOptions::default()
        }
    }

    fn retries(&self) -> RetryOptions {
        let routing = &self.settings.routing;
        RetryOptions {
            attempts: to_u32(routing.attempts),
            share_permille: routing.retry_percent * PERMILLE_PER_PERCENT,
            ..RetryOptions::default()
        }
    }
}

/// Settings are bounded far below the maximum; a larger number would mean "no limit" in any case.
fn to_usize(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}

fn to_u32(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
