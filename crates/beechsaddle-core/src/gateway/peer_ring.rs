//! The `peer_ring` module provides the routers of the fleet, and the allocator of each workspace
//! among them.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use crate::clock::ClockTime;
use crate::hash::rendezvous_weight;
use crate::names::{DomainName, HostName, TargetName, WorkspaceName};

/// How long a router that did not answer is skipped at first, in milliseconds. A request to one
/// that is still down costs a waiting call one timeout.
const DOWN_INITIAL_MS: u64 = 1_000;

/// The longest time for which a router is skipped, in milliseconds.
const DOWN_MAX_MS: u64 = 8_000;

/// The rendezvous key by which the followers of the store are chosen among the routers of a domain.
const FOLLOWER_KEY: &str = "news";

/// Number of routers of the own domain that a follower asks for changes when it has lost the store:
/// those that follow the store for the others.
const OWN_OUTAGE_SOURCES: usize = 2;

/// Number of routers of the own domain that one attempt of a call asks for a tunnel.
const OWN_TUNNEL_ROUTERS: usize = 2;

/// Number of routers of other domains that one attempt of a call asks for a tunnel after that. Most
/// routers that open none say so within a round trip.
const FOREIGN_TUNNEL_ROUTERS: usize = 6;

/// A router as listed in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerRecord {
    pub host: HostName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its address for other routers; `None` if it lends no tokens.
    pub address: Option<SocketAddr>,
    /// The bandwidth of its host's link, in Mbit/s; 0 if unknown.
    pub link_mbps: u32,
}

impl PeerRecord {
    /// Returns the rank among the routers of a domain that follow the store for the others, the largest
    /// first. A host with a small link would delay changes for itself and for those that follow it.
    fn follower_rank(&self) -> FollowerRank {
        FollowerRank {
            link_mbps: self.link_mbps,
            weight: rendezvous_weight(FOLLOWER_KEY, self.host.as_str()),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct FollowerRank {
    link_mbps: u32,
    weight: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct PeerBackoff {
    until: ClockTime,
    failures: u32,
}

impl PeerBackoff {
    fn extend(&mut self, now: ClockTime) {
        let span = (DOWN_INITIAL_MS << self.failures.min(8)).min(DOWN_MAX_MS);
        self.until = now.plus_ms(span);
        self.failures += 1;
    }
}

/// The routers of the fleet.
///
/// One router of each domain allocates a workspace: it takes tokens from the ledger, and the other
/// routers of the domain borrow from it. If each router took tokens by itself, dozens of routers
/// with occasional requests of a workspace would strand most of its total and contend for its
/// ledger all the time. Allocators are determined from the list by rendezvous hashing. If two
/// routers disagree, both allocate the workspace, which costs idle tokens and nothing else.
#[derive(Clone, Debug)]
pub struct PeerRing {
    me: HostName,
    domain: DomainName,
    peers: BTreeMap<HostName, PeerRecord>,
    down: BTreeMap<HostName, PeerBackoff>,
    /// Routers that answer but cannot reach the ledgers.
    ledger_unreachable: BTreeMap<HostName, PeerBackoff>,
}

impl PeerRing {
    /// Creates a ring without other routers.
    pub fn new(me: HostName, domain: DomainName) -> Self {
        PeerRing {
            me,
            domain,
            peers: BTreeMap::new(),
            down: BTreeMap::new(),
            ledger_unreachable: BTreeMap::new(),
        }
    }

    /// Replaces all routers by a complete listing.
    pub fn take_listing(&mut self, records: impl IntoIterator<Item = PeerRecord>) {
        let records = records
            .into_iter()
            .map(|record| (record.host.clone(), record));
        self.peers = records.collect();
        let peers = &self.peers;
        self.down.retain(|host, _| peers.contains_key(host));
        self.ledger_unreachable
            .retain(|host, _| peers.contains_key(host));
    }

    /// Returns the own domain.
    pub fn domain(&self) -> &DomainName {
        &self.domain
    }

    /// Returns the number of routers; 0 before the first listing.
    pub fn router_count(&self) -> u64 {
        self.peers.len() as u64
    }

    /// Returns the number of routers of the own domain.
    pub fn domain_router_count(&self) -> usize {
        let own = self
            .peers
            .values()
            .filter(|peer| peer.domain == self.domain);
        own.count()
    }

    /// Returns the number of domains that have routers.
    pub fn domain_count(&self) -> u64 {
        let domains: BTreeSet<_> = self.peers.values().map(|peer| &peer.domain).collect();
        domains.len() as u64
    }

    /// Returns the router of the own domain that allocates a workspace; `None` if it is this one.
    pub fn allocator(&self, now: ClockTime, workspace: &WorkspaceName) -> Option<&PeerRecord> {
        self.coordinator_of(now, workspace.as_str())
    }

    /// Returns the router of the own domain that coordinates what a name stands for, such as a
    /// request's crash reports; `None` if it is this one.
    pub fn coordinator_of(&self, now: ClockTime, name: &str) -> Option<&PeerRecord> {
        let own = rendezvous_weight(name, self.me.as_str());
        let others = self.peers.values().filter(|peer| {
            let is_other = peer.domain == self.domain && peer.host != self.me;
            is_other
                && self.is_usable(now, peer)
                && !is_backed_off(&self.ledger_unreachable, now, peer)
        });
        others
            .map(|peer| (rendezvous_weight(name, peer.host.as_str()), peer))
            .filter(|(weight, _)| *weight > own)
            .max_by_key(|(weight, _)| *weight)
            .map(|(_, peer)| peer)
    }

    /// Returns the routers that probably allocate a workspace in other domains, one per domain.
    pub fn foreign_allocators(
        &self,
        now: ClockTime,
        workspace: &WorkspaceName,
    ) -> Vec<&PeerRecord> {
        self.foreign_coordinators_of(now, workspace.as_str())
    }

    /// Returns the routers that probably coordinate what a name stands for in other domains, one
    /// per domain.
    pub fn foreign_coordinators_of(&self, now: ClockTime, name: &str) -> Vec<&PeerRecord> {
        let mut coordinators = BTreeMap::<&DomainName, (u64, &PeerRecord)>::new();
        for peer in self.peers.values() {
            if peer.domain == self.domain || !self.is_usable(now, peer) {
                continue;
            }
            let weight = rendezvous_weight(name, peer.host.as_str());
            let coordinator = coordinators.entry(&peer.domain).or_insert((weight, peer));
            if weight > coordinator.0 {
                *coordinator = (weight, peer);
            }
        }
        coordinators.into_values().map(|(_, peer)| peer).collect()
    }

    /// Returns the `count` routers of the own domain that follow the store for the others, in the
    /// order in which this router asks them; empty if this router is one of them or the domain has
    /// fewer than `least` routers.
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
        let mut followers: Vec<_> = usable.collect();
        followers.sort_by_key(|peer| Reverse(peer.follower_rank()));
        followers.truncate(count);
        if followers.iter().any(|peer| peer.host == self.me) {
            return Vec::new();
        }
        // Routers try the followers in different orders, so that each follower serves a part of
        // them.
        let spread = |peer: &&PeerRecord| rendezvous_weight(self.me.as_str(), peer.host.as_str());
        followers.sort_by_key(spread);
        followers
    }

    /// Returns the routers that a follower asks for changes when it has lost the store, in order: the
    /// other followers of the own domain, and the first one of each other domain. No further router
    /// needs to follow the store because it is asked.
    pub fn outage_sources(&self, now: ClockTime) -> Vec<&PeerRecord> {
        let mut own: Vec<_> = self.neighbours(now).collect();
        own.sort_by_key(|peer| Reverse(peer.follower_rank()));
        own.truncate(OWN_OUTAGE_SOURCES);
        own.extend(self.foreign_followers(now));
        own
    }

    /// Returns the first follower of each other domain.
    fn foreign_followers(&self, now: ClockTime) -> Vec<&PeerRecord> {
        let mut followers = BTreeMap::<&DomainName, &PeerRecord>::new();
        let others = self.peers.values();
        let others = others.filter(|peer| peer.domain != self.domain && self.is_usable(now, peer));
        for peer in others {
            let first = followers.entry(&peer.domain).or_insert(peer);
            if peer.follower_rank() > first.follower_rank() {
                *first = peer;
            }
        }
        followers.into_values().collect()
    }

    /// Records that a router did not answer; it is skipped for a time that doubles with each
    /// failure.
    pub fn mark_down(&mut self, now: ClockTime, host: &HostName) {
        let down = self.down.entry(host.clone()).or_default();
        down.extend(now);
    }

    /// Records that a router answers but cannot reach the ledgers while this one can. For a time
    /// that doubles with each failure, this router treats other routers as the allocators of that
    /// router's workspaces.
    pub fn mark_ledger_unreachable(&mut self, now: ClockTime, host: &HostName) {
        let ledger_unreachable = self.ledger_unreachable.entry(host.clone()).or_default();
        ledger_unreachable.extend(now);
    }

    /// Records that a router obtained tokens for others.
    pub fn mark_ledger_reachable(&mut self, host: &HostName) {
        self.ledger_unreachable.remove(host);
    }

    /// Records that a router answered; returns whether it was marked down.
    pub fn mark_up(&mut self, host: &HostName) -> bool {
        self.down.remove(host).is_some()
    }

    /// Returns all routers but this one, each with the remaining time for which it is skipped, in
    /// milliseconds.
    pub fn others(&self, now: ClockTime) -> impl Iterator<Item = (&PeerRecord, u64)> {
        let others = self.peers.values().filter(|peer| peer.host != self.me);
        others.map(move |peer| {
            let down = self.down.get(&peer.host);
            (peer, down.map_or(0, |down| down.until.since(now)))
        })
    }

    /// Returns the router of the whole fleet that comes first for a name, among those that answer;
    /// `None` if it is this one.
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

    /// Whether this router comes first for a name among all listed routers, whether they answer or
    /// not.
    pub fn is_first(&self, name: &str) -> bool {
        let own = rendezvous_weight(name, self.me.as_str());
        let others = self.peers.values().filter(|peer| peer.host != self.me);
        let mut reachable = others.filter(|peer| peer.address.is_some());
        reachable.all(|peer| rendezvous_weight(name, peer.host.as_str()) < own)
    }

    /// Returns the number of domains that have a listed router before all of the own domain for a
    /// name, whether they answer or not.
    pub fn domains_before(&self, name: &str) -> usize {
        let weight = |host: &HostName| rendezvous_weight(name, host.as_str());
        let own = self.peers.values();
        let own = own.filter(|peer| peer.domain == self.domain);
        let own = own.map(|peer| weight(&peer.host)).max();
        let own = own.unwrap_or(0).max(weight(&self.me));
        let others = self.peers.values();
        let before = others.filter(|peer| peer.address.is_some() && weight(&peer.host) > own);
        let domains: BTreeSet<_> = before.map(|peer| &peer.domain).collect();
        domains.len()
    }

    /// Whether this router is among the `count` that come first for a name among all listed routers,
    /// whether they answer or not.
    pub fn is_among_first(&self, name: &str, count: usize) -> bool {
        let own = rendezvous_weight(name, self.me.as_str());
        let others = self.peers.values().filter(|peer| peer.host != self.me);
        let before = others.filter(|peer| rendezvous_weight(name, peer.host.as_str()) > own);
        before.take(count).count() < count
    }

    /// Returns the routers to ask for a tunnel to a target, in order, out of those that `may_ask`
    /// allows: a few of the own domain, then more of others, since a partition often affects most of a
    /// domain. Each router and target has an order of its own.
    pub fn tunnel_routers(
        &self,
        now: ClockTime,
        target: &TargetName,
        may_ask: impl Fn(&PeerRecord) -> bool,
    ) -> Vec<&PeerRecord> {
        let key = format!("{}/{target}", self.me);
        let others = self.peers.values().filter(|peer| peer.host != self.me);
        let usable = others.filter(|peer| self.is_usable(now, peer) && may_ask(peer));
        let mut usable: Vec<_> = usable.collect();
        usable.sort_by_key(|peer| rendezvous_weight(&key, peer.host.as_str()));
        let is_own = |peer: &&&PeerRecord| peer.domain == self.domain;
        let own = usable.iter().filter(is_own).take(OWN_TUNNEL_ROUTERS);
        let foreign = usable.iter().filter(|peer| !is_own(peer));
        let foreign = foreign.take(FOREIGN_TUNNEL_ROUTERS);
        own.chain(foreign).copied().collect()
    }

    /// Returns the other routers of the own domain that answer, as far as known.
    pub fn neighbours(&self, now: ClockTime) -> impl Iterator<Item = &PeerRecord> {
        let others = self.peers.values().filter(|peer| peer.host != self.me);
        others.filter(move |peer| peer.domain == self.domain && self.is_usable(now, peer))
    }

    fn is_usable(&self, now: ClockTime, peer: &PeerRecord) -> bool {
        peer.address.is_some() && !is_backed_off(&self.down, now, peer)
    }
}

fn is_backed_off(
    backoffs: &BTreeMap<HostName, PeerBackoff>,
    now: ClockTime,
    peer: &PeerRecord,
) -> bool {
    let down = backoffs.get(&peer.host);
    down.is_some_and(|down| now < down.until)
}
