//! The `gateway_settings` module provides the settings of a router that serves the platform's routes.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use beechsaddle_core::gateway::{
    ChangeBounds, ConnectionQuota, EscrowOptions, PolicyOptions, RetryShareOptions,
};
use beechsaddle_core::prelude::*;
use beechsaddle_platform::StoreOptions;
use nix::sys::resource::{Resource, getrlimit};

use crate::findings::{FindingList, TableReader};
use crate::settings::{
    LogSettings, SettingsFindings, load_settings, parse_settings, require_table,
};

/// Default timeout of a store call, in milliseconds: some hundred times the usual latency, and short enough
/// for another attempt within the bound on new configurations.
const STORE_CALL_TIMEOUT_MS: u64 = 900;

/// Default timeout of connecting to the store, in milliseconds.
const STORE_CONNECT_TIMEOUT_MS: u64 = 400;

/// Default time within which a new version of the configuration is in force, in milliseconds: some
/// probes of the store.
const DEFAULT_IN_FORCE_MS: f64 = 2_000.0;

/// Default time after a disturbance of the store for which no bound holds, in milliseconds: a lost
/// connection is noticed and made again.
const DEFAULT_SETTLE_MS: f64 = 3_000.0;

/// How long a watch waits for changes if the platform's bounds are not set, in milliseconds.
const DEFAULT_WATCH_MS: u64 = 2_000;

/// Margin between the end of a watch that the store has lost and the time by which a change has to be in
/// force, in milliseconds: a listing, and timers that fire late.
const WATCH_MARGIN_MS: u64 = 600;

/// Maximum wait of a watch, in milliseconds, even if the platform's bounds allow a longer one.
const WATCH_MAX_MS: u64 = 10_000;

/// Default interval between store probes, in milliseconds. A lost connection is detected within this
/// interval plus a call timeout, which is before new configurations have to be in effect again after it is
/// restored.
const DEFAULT_PROBE_MS: u64 = 1_000;

/// Minimum age at which the data of a store follower counts as stale, in milliseconds: several answers of a
/// slow store.
const RELAY_AGE_MIN_MS: u64 = 400;

/// Part of the time within which an evacuation has to be in force that is reserved for requests on
/// their way, in milliseconds: a connection that was being opened, and a body in a congested link.
const EVACUATION_MARGIN_MS: u64 = 700;

/// Minimum link rate that can be configured, in megabits per second: one prompt per second.
const LINK_MIN_MBPS: f64 = 0.1;

/// Default memory of a router's process, in mebibytes: that of a small host.
const DEFAULT_MEMORY_MB: u64 = 128;

/// Part of the memory for the buffered bodies of all requests, and as much for those of all responses.
const BODY_MEMORY_PART: u64 = 5;

/// Percentage of the memory for connections of callers and the calls on them. With all bodies, it leaves 30 %
/// for what is known of the fleet, and for unread bytes.
const CONNECTION_MEMORY_PERCENT: u64 = 30;

/// Descriptors that callers' connections leave to files, the store, other routers and idle connections to
/// targets; half of all where there are fewer.
const RESERVED_DESCRIPTORS: u64 = 256;

/// Part of the other descriptors for callers' connections: calls and tunnels need as many for targets.
const CALLER_DESCRIPTOR_PART: u64 = 2;

/// Part of all descriptors for connections of other routers that have not shown the fleet's secret: most do so
/// with their first message.
const UNPROVEN_PEER_PART: u64 = 8;

/// Part of the memory for messages of other routers that have not shown the fleet's secret: on a small host,
/// several of the largest that routers send.
const UNPROVEN_MEMORY_PART: u64 = 16;

/// Minimum number of descriptors that can be configured: a few callers beside the reserved ones.
const DESCRIPTORS_MIN: u64 = 64;

/// Maximum number of descriptors that can be configured.
const DESCRIPTORS_MAX: u64 = 1_048_576;

/// Descriptors of a process for which the host names no limit.
const DEFAULT_DESCRIPTORS: u64 = 1_024;

/// The settings of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// The router's host.
    pub host: HostName,
    /// The router's failure domain.
    pub domain: DomainName,
    /// The listen address for callers.
    pub call_address: SocketAddr,
    /// The listen address for readiness probes of the balancer.
    pub ready_address: SocketAddr,
    /// The listen address for other routers; `None` disables lending and borrowing.
    pub peer_address: Option<SocketAddr>,
    /// The listen address for metrics; `None` serves none.
    pub metrics_address: Option<SocketAddr>,
    /// The platform's store.
    pub store: StoreOptions,
    /// How long a watch of the store waits.
    pub watch_wait: Duration,
    /// The interval between store probes.
    pub probe_interval: Duration,
    /// The maximum age of data relayed from the store to other routers.
    pub max_relay_age: Duration,
    /// The bounds within which a version of the configuration comes into force.
    pub change_bounds: ChangeBounds,
    /// The time within which an evacuation has to be in force, in milliseconds; `None` if the
    /// deployment has none.
    pub evacuate_ms: Option<u64>,
    /// The capacity of the host's link, in megabits per second; `None` if unknown.
    pub link_mbps: Option<f64>,
    /// The memory of the router's process, in mebibytes.
    pub memory_mb: u64,
    /// The number of descriptors that the process may have open.
    pub descriptors: u64,
    /// The time between the termination signal and the kill, in milliseconds.
    pub grace_ms: u64,
    /// The fleet's retry budget.
    pub retries: RetryShareOptions,
    /// How many tokens of prepaid totals routers hold.
    pub budgets: EscrowOptions,
    /// The policy switches.
    pub policy: PolicyOptions,
    /// The log settings.
    pub log: LogSettings,
}

/// How the store is called and followed.
struct StoreSettings {
    options: StoreOptions,
    watch_wait: Duration,
    probe_interval: Duration,
    max_relay_age: Duration,
    change_bounds: ChangeBounds,
    evacuate_ms: Option<u64>,
}

impl GatewaySettings {
    /// Returns the memory for the buffered bodies of requests, and of responses, in bytes.
    pub(super) fn body_memory_bytes(&self) -> usize {
        let bytes = self.memory_mb * 1_024 * 1_024 / BODY_MEMORY_PART;
        usize::try_from(bytes).unwrap_or(usize::MAX)
    }

    /// Returns what callers' connections may take.
    pub(super) fn connection_quota(&self) -> ConnectionQuota {
        let bytes = self.memory_mb * 1_024 * 1_024 / 100 * CONNECTION_MEMORY_PERCENT;
        let reserved = RESERVED_DESCRIPTORS.min(self.descriptors / 2);
        let free = self.descriptors - reserved;
        let connections = free / CALLER_DESCRIPTOR_PART;
        ConnectionQuota {
            connections: usize::try_from(connections).unwrap_or(usize::MAX),
            bytes: usize::try_from(bytes).unwrap_or(usize::MAX),
        }
    }

    /// Returns the maximum number of connections of other routers that have not shown the fleet's secret.
    pub(super) fn unproven_peers_max(&self) -> usize {
        usize::try_from(self.descriptors / UNPROVEN_PEER_PART).unwrap_or(usize::MAX)
    }

    /// Returns the memory for messages of routers that have not shown the fleet's secret, in bytes.
    pub(super) fn unproven_memory_bytes(&self) -> u64 {
        self.memory_mb * 1_024 * 1_024 / UNPROVEN_MEMORY_PART
    }

    /// Whether the store holds evacuations that the router has to follow.
    pub fn follows_evacuations(&self) -> bool {
        self.evacuate_ms.is_some()
    }

    /// Reads a settings file, or returns all findings about it.
    pub fn try_load(path: impl AsRef<Path>) -> Result<Self, SettingsFindings> {
        load_settings(path, read_settings)
    }

    /// Parses settings; `file` is the file name in the findings.
    pub fn try_parse(
        file: impl AsRef<str>,
        text: impl AsRef<str>,
    ) -> Result<Self, SettingsFindings> {
        parse_settings(file, text, read_settings)
    }
}

/// Whether a settings file is for a gateway, that is, has a `[gateway]` table. A file that cannot be read
/// is left to the other reader, which reports the error.
pub fn is_gateway_file(path: &Path) -> bool {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    text.lines().any(|line| line.trim() == "[gateway]")
}

fn read_settings(reader: &TableReader<'_>, findings: &mut FindingList) -> Option<GatewaySettings> {
    // Every table is read before the first missing value ends the parsing, so that all findings are
    // reported.
    let store = require_table(reader, "store", findings);
    let store = store.and_then(|table| read_store(&table, findings));
    let retries = read_retries(reader, findings);
    let budgets = read_budgets(reader, findings);
    let policy = read_policy(reader, findings);
    let log = reader
        .read_table("log", findings)
        .map(|table| LogSettings::read(&table, findings));
    let gateway = require_table(reader, "gateway", findings)?;
    let host = gateway.require_name("host", findings);
    let domain = gateway.require_name("domain", findings);
    let call_address = gateway.require_address("call_address", findings);
    let ready_address = gateway.require_address("ready_address", findings);
    let peer_address = gateway.read_address("peer_address", findings);
    let metrics_address = gateway.read_address("metrics_address", findings);
    let grace_ms = gateway.read_seconds_ms("grace_s", 8.0, findings);
    let link_mbps = gateway.read_f64("link_mbps", LINK_MIN_MBPS..=1e6, findings);
    let memory_mb = gateway.read_u64_or("memory_mb", DEFAULT_MEMORY_MB, 32..=1_048_576, findings);
    let descriptors = gateway.read_u64_or(
        "descriptors",
        host_descriptors(),
        DESCRIPTORS_MIN..=DESCRIPTORS_MAX,
        findings,
    );
    gateway.finish(findings);
    let store = store?;
    Some(GatewaySettings {
        host: HostName::new(host?),
        domain: DomainName::new(domain?),
        call_address: call_address?,
        ready_address: ready_address?,
        peer_address,
        metrics_address,
        store: store.options,
        watch_wait: store.watch_wait,
        probe_interval: store.probe_interval,
        max_relay_age: store.max_relay_age,
        change_bounds: store.change_bounds,
        evacuate_ms: store.evacuate_ms,
        link_mbps,
        memory_mb,
        descriptors,
        grace_ms,
        retries,
        budgets,
        policy,
        log: log.unwrap_or_default(),
    })
}

/// Returns the number of descriptors that the host lets the process open.
fn host_descriptors() -> u64 {
    let limits = getrlimit(Resource::RLIMIT_NOFILE);
    let (soft, _) = limits.unwrap_or((DEFAULT_DESCRIPTORS, DEFAULT_DESCRIPTORS));
    soft.clamp(DESCRIPTORS_MIN, DESCRIPTORS_MAX)
}

fn read_store(reader: &TableReader<'_>, findings: &mut FindingList) -> Option<StoreSettings> {
    let address = reader.require_address("address", findings);
    let call_ms = reader.read_u64_or(
        "call_timeout_ms",
        STORE_CALL_TIMEOUT_MS,
        50..=60_000,
        findings,
    );
    let connect_ms = reader.read_u64_or(
        "connect_timeout_ms",
        STORE_CONNECT_TIMEOUT_MS,
        50..=60_000,
        findings,
    );
    let evacuate_ms = reader
        .read_f64("evacuate_ms", 0.0..=60_000.0, findings)
        .map(|evacuate_ms| evacuate_ms as u64);
    let settle_ms = reader.read_f64("settle_ms", 0.0..=60_000.0, findings);
    let in_force_ms = reader.read_f64("in_force_ms", 0.0..=60_000.0, findings);
    let leave_ms = reader.read_f64("leave_ms", 0.0..=60_000.0, findings);
    let bounds = store_bounds(settle_ms, in_force_ms, leave_ms, evacuate_ms);
    let default_ms = default_watch_ms(bounds, call_ms);
    let age_ms = default_relay_age_ms(bounds);
    let watch_ms = reader.read_u64_or("watch_ms", default_ms, 100..=30_000, findings);
    let age_ms = reader.read_u64_or("relay_age_ms", age_ms, 200..=30_000, findings);
    let probe_ms = reader.read_u64_or("probe_ms", DEFAULT_PROBE_MS, 50..=30_000, findings);
    reader.finish(findings);
    let options = StoreOptions {
        address: address?,
        call_timeout: Duration::from_millis(call_ms),
        connect_timeout: Duration::from_millis(connect_ms),
    };
    Some(StoreSettings {
        options,
        watch_wait: Duration::from_millis(watch_ms),
        probe_interval: Duration::from_millis(probe_ms),
        max_relay_age: Duration::from_millis(age_ms),
        change_bounds: ChangeBounds {
            in_force_ms: in_force_ms.unwrap_or(DEFAULT_IN_FORCE_MS) as u64,
            settle_ms: settle_ms.unwrap_or(DEFAULT_SETTLE_MS) as u64,
        },
        evacuate_ms,
    })
}

/// The platform's bounds on following the store, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct StoreBounds {
    /// How long after a silence of the store no bound applies.
    settle_ms: f64,
    /// The time within which a change has to be in effect.
    propagation_ms: f64,
}

fn store_bounds(
    settle_ms: Option<f64>,
    in_force_ms: Option<f64>,
    leave_ms: Option<f64>,
    evacuate_ms: Option<u64>,
) -> Option<StoreBounds> {
    let evacuate_ms = evacuate_ms.map_or(f64::INFINITY, |evacuate_ms| {
        evacuate_ms.saturating_sub(EVACUATION_MARGIN_MS) as f64
    });
    Some(StoreBounds {
        settle_ms: settle_ms?,
        propagation_ms: in_force_ms?.min(leave_ms?).min(evacuate_ms),
    })
}

/// Returns the maximum age of a follower's data: a quarter of the time within which a change has to be in
/// force. Another quarter may pass until the other routers notice, and the rest remains for them to ask the
/// store themselves.
fn default_relay_age_ms(bounds: Option<StoreBounds>) -> u64 {
    let propagation_ms = bounds.map_or(0.0, |bounds| bounds.propagation_ms);
    (propagation_ms as u64 / 4).clamp(RELAY_AGE_MIN_MS, DEFAULT_PROBE_MS)
}

/// Returns how long a watch may wait so that changes are in force in time even if the store has
/// lost the watch.
///
/// A store that is silent for less than the probe interval loses its watches, and the router only
/// detects the loss when the wait and a call timeout are over. The platform's bounds do not apply
/// for `settle_ms` after the silence, and a later change has to be in force within
/// `propagation_ms`, so the wait and the call timeout end before the sum of the two. Longer waits
/// are worthwhile, as watches are half of a large fleet's store calls.
fn default_watch_ms(bounds: Option<StoreBounds>, call_ms: u64) -> u64 {
    let Some(bounds) = bounds else {
        return DEFAULT_WATCH_MS;
    };
    let deadline_ms = bounds.settle_ms + bounds.propagation_ms;
    let wait_ms = (deadline_ms as u64).saturating_sub(call_ms + WATCH_MARGIN_MS);
    wait_ms.clamp(DEFAULT_WATCH_MS / 2, WATCH_MAX_MS)
}

fn read_retries(reader: &TableReader<'_>, findings: &mut FindingList) -> RetryShareOptions {
    let defaults = RetryShareOptions {
        ratio: 0.1,
        allowance: 0.0,
        window_ms: 10_000,
    };
    let Some(table) = reader.read_table("retries", findings) else {
        return defaults;
    };
    let options = RetryShareOptions {
        ratio: table.read_f64_or("ratio", defaults.ratio, 0.0..=10.0, findings),
        allowance: table.read_f64_or("allowance", defaults.allowance, 0.0..=1e6, findings),
        window_ms: table.read_seconds_ms("window_s", 10.0, findings),
    };
    table.finish(findings);
    options
}

fn read_budgets(reader: &TableReader<'_>, findings: &mut FindingList) -> EscrowOptions {
    let defaults = EscrowOptions::default();
    let Some(table) = reader.read_table("budgets", findings) else {
        return defaults;
    };
    let options = EscrowOptions {
        hold_s: table.read_f64_or("hold_s", defaults.hold_s, 0.0..=600.0, findings),
        open_s: table.read_f64_or("open_s", defaults.open_s, 0.0..=600.0, findings),
        defer_ms: table.read_seconds_ms("defer_s", defaults.defer_ms as f64 / 1_000.0, findings),
        open_rate: table.read_f64_or("open_rate", defaults.open_rate, 0.0..=100.0, findings),
        renew_part: table.read_f64_or("renew_part", defaults.renew_part, 0.0..=1.0, findings),
        least_s: table.read_f64_or("least_s", defaults.least_s, 0.0..=60.0, findings),
        lost_part: table.read_f64_or("lost_part", defaults.lost_part, 0.0..=1.0, findings),
        first_part: table.read_f64_or("first_part", defaults.first_part, 0.0..=1.0, findings),
        known_part: table.read_f64_or("known_part", defaults.known_part, 0.0..=1.0, findings),
        refill_part: table.read_f64_or("refill_part", defaults.refill_part, 0.0..=1.0, findings),
        reserve_s: table.read_f64_or("reserve_s", defaults.reserve_s, 0.0..=3_600.0, findings),
        floor_part: table.read_f64_or("floor_part", defaults.floor_part, 0.0..=1.0, findings),
        ..defaults
    };
    table.finish(findings);
    options
}

fn read_policy(reader: &TableReader<'_>, findings: &mut FindingList) -> PolicyOptions {
    let defaults = PolicyOptions::default();
    let Some(table) = reader.read_table("policy", findings) else {
        return defaults;
    };
    let mut switch = |key, default| table.read_bool(key, findings).unwrap_or(default);
    let options = PolicyOptions {
        keeps_single_runs_near: switch("keep_single_runs_near", defaults.keeps_single_runs_near),
        fetches_parts: switch("fetch_parts", defaults.fetches_parts),
        leaves_full_link: switch("leave_full_link", defaults.leaves_full_link),
        shares_target_speeds: switch("share_target_speeds", defaults.shares_target_speeds),
        places_by_speed: switch("place_by_speed", defaults.places_by_speed),
        paces_recovery: switch("pace_recovery", defaults.paces_recovery),
        returns_by_cause: switch("return_by_cause", defaults.returns_by_cause),
        sheds_by_degrees: switch("shed_by_degrees", defaults.sheds_by_degrees),
    };
    table.finish(findings);
    options
}
