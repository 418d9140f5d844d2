//! The `peer_ring` module provides the routers of the fleet, and which of them keeps a workspace.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use crate::clock::ClockTime;
use crate::hash::rendezvous_weight;
use crate::names::{DomainName, HostName, WorkspaceName};

/// How long a router that did not answer is passed over at first, in milliseconds. A try of one that
/// is still down costs a waiting call one timeout.
const FIRST_DOWN_MS: u64 = 1_000;

/// The longest that a router is passed over, in milliseconds.
const LONGEST_DOWN_MS: u64 = 8_000;

/// The name by which those that follow the store are chosen among the routers of a domain.
const NEWS_KEY: &str = "news";

/// What is listed of a router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerRecord {
    /// Its host.
    pub host: HostName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Where other routers reach it; `None` for one that lends nothing.
    pub address: Option<SocketAddr>,
}

#[derive(Clone, Copy, Debug, Default)]
struct PeerDown {
    until: ClockTime,
    failures: u32,
}

impl PeerDown {
    fn pass_over(&mut self, now: ClockTime) {
        let span = (FIRST_DOWN_MS << self.failures.min(8)).min(LONGEST_DOWN_MS);
        self.until = now.plus_ms(span);
        self.failures += 1;
    }
}

/// The routers of the fleet.
///
/// One router in each domain keeps a workspace: it takes tokens from the ledger, and the others of
/// the domain borrow from it. Without that each router would hold and take by itself: several dozen
/// routers that each see a request of a workspace now and then would strand most of its total and
/// meet at the ledger all the time. Who keeps what follows from the list by rendezvous hashing. Two
/// routers that disagree both keep it, which costs tokens held idle and nothing else.
#[derive(Clone, Debug)]
pub struct PeerRing {
    me: HostName,
    domain: DomainName,
    peers: BTreeMap<HostName, PeerRecord>,
    down: BTreeMap<HostName, PeerDown>,
    /// Routers that answer and cannot reach the ledgers.
    cut_off: BTreeMap<HostName, PeerDown>,
}

impl PeerRing {
    /// A ring that knows of no other router.
    pub fn new(me: HostName, domain: DomainName) -> Self {
        PeerRing {
            me,
            domain,
            peers: BTreeMap::new(),
            down: BTreeMap::new(),
            cut_off: BTreeMap::new(),
        }
    }

    /// Takes over a whole listing.
    pub fn take_listing(&mut self, records: impl IntoIterator<Item = PeerRecord>) {
        let records = records
            .into_iter()
            .map(|record| (record.host.clone(), record));
        self.peers = records.collect();
        let peers = &self.peers;
        self.down.retain(|host, _| peers.contains_key(host));
        self.cut_off.retain(|host, _| peers.contains_key(host));
    }

    /// How many routers there are; 0 before the first listing.
    pub fn router_count(&self) -> u64 {
        self.peers.len() as u64
    }

    /// How many routers the own domain has.
    pub fn own_count(&self) -> usize {
        let own = self
            .peers
            .values()
            .filter(|peer| peer.domain == self.domain);
        own.count()
    }

    /// How many domains have routers.
    pub fn domain_count(&self) -> u64 {
        let domains: BTreeSet<_> = self.peers.values().map(|peer| &peer.domain).collect();
        domains.len() as u64
    }

    /// The router of the own domain that keeps a workspace; `None` when it is this one.
    pub fn keeper(&self, now: ClockTime, workspace: &WorkspaceName) -> Option<&PeerRecord> {
        self.keeper_of(now, workspace.as_str())
    }

    /// The router of the own domain that looks after what has this name; `None` when it is this one.
    pub fn keeper_of(&self, now: ClockTime, name: &str) -> Option<&PeerRecord> {
        let own = rendezvous_weight(name, self.me.as_str());
        let others = self.peers.values().filter(|peer| {
            let is_other = peer.domain == self.domain && peer.host != self.me;
            is_other && self.is_usable(now, peer) && !is_passed_over(&self.cut_off, now, peer)
        });
        others
            .map(|peer| (rendezvous_weight(name, peer.host.as_str()), peer))
            .filter(|(weight, _)| *weight > own)
            .max_by_key(|(weight, _)| *weight)
            .map(|(_, peer)| peer)
    }

    /// The routers that probably keep a workspace in other domains, one in each.
    pub fn foreign_keepers(&self, now: ClockTime, workspace: &WorkspaceName) -> Vec<&PeerRecord> {
        self.foreign_keepers_of(now, workspace.as_str())
    }

    /// The routers that probably look after what has this name in other domains, one in each.
    pub fn foreign_keepers_of(&self, now: ClockTime, name: &str) -> Vec<&PeerRecord> {
        let mut keepers = BTreeMap::<&DomainName, (u64, &PeerRecord)>::new();
        for peer in self.peers.values() {
            if peer.domain == self.domain || !self.is_usable(now, peer) {
                continue;
            }
            let weight = rendezvous_weight(name, peer.host.as_str());
            let keeper = keepers.entry(&peer.domain).or_insert((weight, peer));
            if weight > keeper.0 {
                *keeper = (weight, peer);
            }
        }
        keepers.into_values().map(|(_, peer)| peer).collect()
    }

    /// The `count` routers of the own domain that follow the store for the others, the first in the order in
    /// which this router asks them; none if this one is among them, or the domain has fewer than `least`.
    pub fn followers(&self, now: ClockTime, count: usize, least: usize) -> Vec<&PeerRecord> {
        let own = self
            .peers
            .values()
            .filter(|peer| peer.domain == self.domain);
        let own: Vec<_> = own.collect();
        if own.len() < least {
            return Vec::new();
        }
        let usable = own
            .into_iter()
            .filter(|peer| peer.host == self.me || self.is_usable(now, peer));
        let mut weighted: Vec<_> = usable
            .map(|peer| (rendezvous_weight(NEWS_KEY, peer.host.as_str()), peer))
            .collect();
        weighted.sort_by_key(|(weight, _)| std::cmp::Reverse(*weight));
        weighted.truncate(count);
        let mut followers: Vec<_> = weighted.into_iter().map(|(_, peer)| peer).collect();
        if followers.iter().any(|peer| peer.host == self.me) {
            return Vec::new();
        }
        // Each follower is the first of its part of the others.
        let spread = |peer: &&PeerRecord| rendezvous_weight(self.me.as_str(), peer.host.as_str());
        followers.sort_by_key(spread);
        followers
    }

    /// Notes that a router did not answer; it is passed over, each time for longer.
    pub fn note_down(&mut self, now: ClockTime, host: &HostName) {
        let down = self.down.entry(host.clone()).or_default();
        down.pass_over(now);
    }

    /// Notes that a router answers and cannot reach the ledgers, while this one can: others keep its
    /// workspaces for this router, each time for longer.
    pub fn note_cut_off(&mut self, now: ClockTime, host: &HostName) {
        let cut_off = self.cut_off.entry(host.clone()).or_default();
        cut_off.pass_over(now);
    }

    /// Notes that a router got tokens for others.
    pub fn note_in_reach(&mut self, host: &HostName) {
        self.cut_off.remove(host);
    }

    /// Notes that a router answered; tells whether it did not before.
    pub fn note_up(&mut self, host: &HostName) -> bool {
        self.down.remove(host).is_some()
    }

    /// All routers but this one, each with how long it is passed over yet, in milliseconds.
    pub fn others(&self, now: ClockTime) -> impl Iterator<Item = (&PeerRecord, u64)> {
        let others = self.peers.values().filter(|peer| peer.host != self.me);
        others.map(move |peer| {
            let down = self.down.get(&peer.host);
            (peer, down.map_or(0, |down| down.until.since(now)))
        })
    }

    /// The first router of the whole fleet for what has this name, among those that answer; `None` when it is this one.
    pub fn leader_of(&self, now: ClockTime, name: &str) -> Option<&PeerRecord> {
        let own = rendezvous_weight(name, self.me.as_str());
        let others = self.peers.values().filter(|peer| peer.host != self.me);
        others
            .filter(|peer| self.is_usable(now, peer))
            .map(|peer| (rendezvous_weight(name, peer.host.as_str()), peer))
            .filter(|(weight, _)| *weight > own)
            .max_by_key(|(weight, _)| *weight)
            .map(|(_, peer)| peer)
    }

    /// Whether this router comes first of all that are listed for what has this name, whether they answer or not.
    pub fn is_first(&self, name: &str) -> bool {
        let own = rendezvous_weight(name, self.me.as_str());
        let others = self.peers.values().filter(|peer| peer.host != self.me);
        let mut reachable = others.filter(|peer| peer.address.is_some());
        reachable.all(|peer| rendezvous_weight(name, peer.host.as_str()) < own)
    }

    /// The other routers of the own domain that answer, as far as is known.
    pub fn neighbours(&self, now: ClockTime) -> impl Iterator<Item = &PeerRecord> {
        let others = self.peers.values().filter(|peer| peer.host != self.me);
        others.filter(move |peer| peer.domain == self.domain && self.is_usable(now, peer))
    }

    fn is_usable(&self, now: ClockTime, peer: &PeerRecord) -> bool {
        peer.address.is_some() && !is_passed_over(&self.down, now, peer)
    }
}

fn is_passed_over(
    passed: &BTreeMap<HostName, PeerDown>,
    now: ClockTime,
    peer: &PeerRecord,
) -> bool {
    let down = passed.get(&peer.host);
    down.is_some_and(|down| now < down.until)
}
