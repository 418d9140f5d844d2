//! The `bridge_book` module provides which routers of other domains talk to this one.

use std::collections::{BTreeMap, BTreeSet};

use crate::names::{DomainName, HostName, RouterIncarnation};
use crate::peer::PeerHeartbeat;

/// The bridges that other domains announce, and bridges that wait for an answer.
#[derive(Debug, Default)]
pub(super) struct BridgeBook {
    announced: BTreeMap<DomainName, BTreeSet<HostName>>,
    callers: BTreeSet<RouterIncarnation>,
}

impl BridgeBook {
    /// Notes what a heartbeat from another domain announces.
    pub fn note(&mut self, from: &RouterIncarnation, heartbeat: &PeerHeartbeat) {
        let bridges: BTreeSet<HostName> = heartbeat
            .routers
            .iter()
            .filter(|news| news.domain == heartbeat.domain)
            .map(|news| news.router.host.clone())
            .collect();
        // Only a bridge waits for an answer. Were an answer answered, two routers that are no
        // bridges any more would keep each other talking for ever, and in the end all of a domain
        // would talk to all of the other.
        if bridges.contains(&from.host) {
            self.callers.insert(from.clone());
        }
        self.announced.insert(heartbeat.domain.clone(), bridges);
    }

    /// The bridges that a domain last announced; none when it was never heard.
    pub fn announced(&self, domain: &DomainName) -> Option<&BTreeSet<HostName>> {
        self.announced.get(domain)
    }

    /// Bridges that called since the last heartbeat to other domains.
    pub fn callers(&self) -> &BTreeSet<RouterIncarnation> {
        &self.callers
    }

    /// Forgets the callers: they were answered.
    pub fn clear_callers(&mut self) {
        self.callers.clear();
    }
}
