//! The `bridge_table` module provides the bridges of other domains.

use std::collections::{BTreeMap, BTreeSet};

use crate::names::{DomainName, HostName, RouterIncarnation};
use crate::peer::PeerHeartbeat;

/// The bridges that other domains announced, and those waiting for a reply.
#[derive(Debug, Default)]
pub(super) struct BridgeTable {
    announced: BTreeMap<DomainName, BTreeSet<HostName>>,
    callers: BTreeSet<RouterIncarnation>,
}

impl BridgeTable {
    /// Records the bridges announced in a heartbeat from another domain.
    pub fn record(&mut self, from: &RouterIncarnation, heartbeat: &PeerHeartbeat) {
        let bridges: BTreeSet<HostName> = heartbeat
            .routers
            .iter()
            .filter(|update| update.domain == heartbeat.domain)
            .map(|update| update.router.host.clone())
            .collect();
        // Only a bridge gets a reply. If replies were answered too, two routers that are no longer
        // bridges would exchange heartbeats forever, and in time all routers of a domain would talk
        // to all of the other.
        if bridges.contains(&from.host) {
            self.callers.insert(from.clone());
        }
        self.announced.insert(heartbeat.domain.clone(), bridges);
    }

    /// The bridges that a domain last announced; `None` without a heartbeat from it.
    pub fn announced(&self, domain: &DomainName) -> Option<&BTreeSet<HostName>> {
        self.announced.get(domain)
    }

    /// The bridges that sent a heartbeat since the last one to other domains.
    pub fn callers(&self) -> &BTreeSet<RouterIncarnation> {
        &self.callers
    }

    /// Clears the callers after replying to them.
    pub fn clear_callers(&mut self) {
        self.callers.clear();
    }
}
