//! The `origin_placement` module provides which routers keep the origin of a stream, and which are
//! asked for it.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use super::{PeerRecord, PeerRing};
use crate::clock::ClockTime;
use crate::hash::rendezvous_weight;
use crate::names::{DomainName, StreamId};

/// Number of domains beside the own one that keep the origin of a stream. A stream can be resumed after
/// the loss of any domain, and of all but one of the routers that know it.
const FOREIGN_ORIGIN_DOMAINS: usize = 2;

/// Number of routers of a domain to which the origin of a stream is offered in turn; the first one that
/// answers keeps it.
const ORIGIN_KEEPERS: usize = 2;

/// Number of routers of each domain that are asked for the origin of a stream: one more than it is
/// offered to, since the router that began the stream may be among them.
const ORIGIN_SOURCES: usize = ORIGIN_KEEPERS + 1;

impl PeerRing {
    /// Returns the other routers that keep the origin of a stream that this router began, by domain:
    /// the own one and some others. The first router of a domain that answers keeps it.
    pub fn origin_keepers(&self, now: ClockTime, stream: &StreamId) -> Vec<Vec<&PeerRecord>> {
        let mut ranked = ranked_by_domain(self, now, stream);
        let own = ranked.remove(self.domain());
        let mut foreign: Vec<_> = ranked.into_iter().collect();
        let weight = |domain: &DomainName| rendezvous_weight(stream.as_str(), domain.as_str());
        foreign.sort_by_key(|(domain, _)| Reverse(weight(domain)));
        let foreign = foreign.into_iter().take(FOREIGN_ORIGIN_DOMAINS);
        let routers = own.into_iter().chain(foreign.map(|(_, routers)| routers));
        routers
            .map(|routers| routers.into_iter().take(ORIGIN_KEEPERS).collect())
            .collect()
    }

    /// Returns the other routers that may know the origin of a stream, whichever router began it.
    pub fn origin_sources(&self, now: ClockTime, stream: &StreamId) -> Vec<&PeerRecord> {
        let ranked = ranked_by_domain(self, now, stream);
        let routers = ranked.into_values();
        routers
            .flat_map(|routers| routers.into_iter().take(ORIGIN_SOURCES))
            .collect()
    }
}

/// Returns the other routers that answer, by domain, those with the highest weight for a stream first.
fn ranked_by_domain<'a>(
    ring: &'a PeerRing,
    now: ClockTime,
    stream: &StreamId,
) -> BTreeMap<&'a DomainName, Vec<&'a PeerRecord>> {
    let answering = ring.others(now).filter(|(_, down_ms)| *down_ms == 0);
    let peers = answering.map(|(peer, _)| peer);
    let mut ranked = BTreeMap::<&DomainName, Vec<&PeerRecord>>::new();
    for peer in peers.filter(|peer| peer.address.is_some()) {
        ranked.entry(&peer.domain).or_default().push(peer);
    }
    let weight = |peer: &PeerRecord| rendezvous_weight(stream.as_str(), peer.host.as_str());
    for routers in ranked.values_mut() {
        routers.sort_by_cached_key(|peer| Reverse(weight(peer)));
    }
    ranked
}
