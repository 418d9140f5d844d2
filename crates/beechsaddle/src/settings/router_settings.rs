//! The `router_settings` module provides the settings file of a router.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

use beechsaddle_core::prelude::*;

use super::settings_file::{load_settings, parse_settings, require_table};
use super::{
    BudgetSettings, LimitSettings, LogSettings, MetricSettings, PeerSettings, PlatformSettings,
    RoutingSettings, SettingsFindings,
};
use crate::findings::{FindingList, TableReader};

/// The settings of a router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouterSettings {
    pub host: HostName,
    pub domain: DomainName,
    /// The region of the domain.
    pub region: String,
    /// The listen address for callers.
    pub call_address: SocketAddr,
    /// The listen address for peers.
    pub peer_address: SocketAddr,
    /// The listen address for operators.
    pub admin_address: SocketAddr,
    pub platform: PlatformSettings,
    pub peers: PeerSettings,
    pub budgets: BudgetSettings,
    /// Limits for callers.
    pub limits: LimitSettings,
    /// The probing and selection of targets.
    pub routing: RoutingSettings,
    pub log: LogSettings,
    pub metrics: MetricSettings,
}

/// The `[router]` table.
struct RouterIdentity {
    host: HostName,
    domain: DomainName,
    region: String,
    call_address: SocketAddr,
    peer_address: SocketAddr,
    admin_address: SocketAddr,
}

impl RouterSettings {
    /// Reads a settings file, or returns all of its findings.
    pub fn try_load(path: impl AsRef<Path>) -> Result<Self, SettingsFindings> {
        load_settings(path, read_settings)
    }

    /// Reads settings from text; findings refer to it as `file`.
    pub fn try_parse(
        file: impl AsRef<str>,
        text: impl AsRef<str>,
    ) -> Result<Self, SettingsFindings> {
        parse_settings(file, text, read_settings)
    }
}

fn read_settings(reader: &TableReader<'_>, findings: &mut FindingList) -> Option<RouterSettings> {
    let router =
        require_table(reader, "router", findings).and_then(|table| read_identity(&table, findings));
    let platform = require_table(reader, "platform", findings)
        .and_then(|table| PlatformSettings::read(&table, findings));
    let peers = require_table(reader, "peers", findings)
        .and_then(|table| PeerSettings::read(&table, findings));
    let budgets = reader
        .read_table("budgets", findings)
        .map(|table| BudgetSettings::read(&table, findings));
    let limits = reader
        .read_table("limits", findings)
        .map(|table| LimitSettings::read(&table, findings));
    let routing = reader
        .read_table("routing", findings)
        .map(|table| RoutingSettings::read(&table, findings));
    let log = reader
        .read_table("log", findings)
        .map(|table| LogSettings::read(&table, findings));
    let metrics = reader
        .read_table("metrics", findings)
        .map(|table| MetricSettings::read(&table, findings));
    let router = router?;
    Some(RouterSettings {
        host: router.host,
        domain: router.domain,
        region: router.region,
        call_address: router.call_address,
        peer_address: router.peer_address,
        admin_address: router.admin_address,
        platform: platform?,
        peers: peers?,
        budgets: budgets.unwrap_or_default(),
        limits: limits.unwrap_or_default(),
        routing: routing.unwrap_or_default(),
        log: log.unwrap_or_default(),
        metrics: metrics.unwrap_or_default(),
    })
}

fn read_identity(reader: &TableReader<'_>, findings: &mut FindingList) -> Option<RouterIdentity> {
    let host = reader.require_name("host", findings);
    let domain = reader.require_name("domain", findings);
    let region = reader.require_name("region", findings);
    let call_address = reader.require_address("call_address", findings);
    let peer_address = reader.require_address("peer_address", findings);
    let admin_address = reader.require_address("admin_address", findings);
    reader.finish(findings);
    check_addresses(reader, findings);
    Some(RouterIdentity {
        host: HostName::new(host?),
        domain: DomainName::new(domain?),
        region: region?,
        call_address: call_address?,
        peer_address: peer_address?,
        admin_address: admin_address?,
    })
}

/// Checks that peers can reach the peer address, which is announced to them as written, and that no
/// two protocols share an address.
fn check_addresses(reader: &TableReader<'_>, findings: &mut FindingList) {
    let mut ignored = FindingList::new();
    let mut taken: BTreeMap<SocketAddr, &str> = BTreeMap::new();
    for key in ["call_address", "peer_address", "admin_address"] {
        let Some(address) = reader.read_address(key, &mut ignored) else {
            continue;
        };
        if key == "peer_address" && (address.ip().is_unspecified() || address.port() == 0) {
            let message = format!("is {address}; an address that peers can reach would be right");
            reader.report(key, message, findings);
        }
        if address.port() == 0 {
            continue;
        }
        if let Some(other) = taken.insert(address, key) {
            let message = format!("is {address} as is `{other}`; an own port would be right");
            reader.report(key, message, findings);
        }
    }
}
