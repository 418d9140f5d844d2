//! The `peer_settings` module provides the `[peers]` table.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use beechsaddle_core::prelude::*;

use super::PeerSecret;
use crate::findings::{FindingList, TableReader};

/// The settings of the connections between routers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSettings {
    /// The secret by which routers authenticate each other.
    pub secret: PeerSecret,
    /// The interval of heartbeats.
    pub heartbeat_ms: u64,
    /// The time without a message after which a peer counts as down.
    pub down_after_ms: u64,
    /// The number of routers of a domain that connect to other domains.
    pub bridges: u64,
    /// The number of routers of a domain that watch the catalogue at the platform.
    pub watchers: u64,
    /// The time limit for connecting to a peer.
    pub connect_timeout_ms: u64,
    /// Routers to contact at start while the platform is unavailable.
    pub seeds: Vec<SeedSettings>,
}

/// A router to contact at start while the platform is unavailable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeedSettings {
    pub host: HostName,
    /// Its failure domain.
    pub domain: DomainName,
    /// The address for connections from peers.
    pub address: SocketAddr,
}

impl PeerSettings {
    /// Reads the table, and returns `None` if there is no usable secret.
    pub fn read(reader: &TableReader<'_>, findings: &mut FindingList) -> Option<Self> {
        let secret = read_secret(reader, findings);
        let heartbeat_ms = reader.read_u64_or("heartbeat_ms", 1_000, 50..=60_000, findings);
        let down_after_ms = reader.read_u64_or(
            "down_after_ms",
            heartbeat_ms.saturating_mul(5) / 2,
            100..=600_000,
            findings,
        );
        // One lost or late heartbeat must not mark a healthy peer as down.
        if down_after_ms < heartbeat_ms.saturating_mul(2) {
            let message = format!(
                "is {down_after_ms}; at least twice `heartbeat_ms`, {heartbeat_ms}, would be right"
            );
            reader.report("down_after_ms", message, findings);
        }
        let bridges = reader.read_u64_or("bridges", 2, 1..=16, findings);
        let watchers = reader.read_u64_or("watchers", 2, 1..=16, findings);
        let connect_timeout_ms =
            reader.read_u64_or("connect_timeout_ms", 1_000, 50..=60_000, findings);
        let seeds = read_seeds(reader, findings);
        reader.finish(findings);
        Some(PeerSettings {
            secret: secret?,
            heartbeat_ms,
            down_after_ms,
            bridges,
            watchers,
            connect_timeout_ms,
            seeds,
        })
    }
}

fn read_secret(reader: &TableReader<'_>, findings: &mut FindingList) -> Option<PeerSecret> {
    let secret = reader.require_text("secret", findings)?;
    if secret.len() < PeerSecret::BYTES_MIN {
        let message = format!(
            "has {} bytes; at least {} random ones would be right",
            secret.len(),
            PeerSecret::BYTES_MIN
        );
        reader.report("secret", message, findings);
    }
    Some(PeerSecret::new(secret))
}

fn read_seeds(reader: &TableReader<'_>, findings: &mut FindingList) -> Vec<SeedSettings> {
    let mut hosts = BTreeSet::new();
    let mut addresses = BTreeSet::new();
    let mut seeds = Vec::new();
    for table in reader.read_tables("seed", findings) {
        let Some(seed) = read_seed(&table, findings) else {
            continue;
        };
        if !hosts.insert(seed.host.clone()) {
            let message = format!("{} is a seed already; once would be right", seed.host);
            table.report("host", message, findings);
        }
        if !addresses.insert(seed.address) {
            let message = format!(
                "{} is the address of another seed; an own one would be right",
                seed.address
            );
            table.report("address", message, findings);
        }
        seeds.push(seed);
    }
    seeds
}

fn read_seed(reader: &TableReader<'_>, findings: &mut FindingList) -> Option<SeedSettings> {
    let host = reader.require_name("host", findings);
    let domain = reader.require_name("domain", findings);
    let address = reader.require_address("address", findings);
    reader.finish(findings);
    Some(SeedSettings {
        host: HostName::new(host?),
        domain: DomainName::new(domain?),
        address: address?,
    })
}
