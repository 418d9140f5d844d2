//! The `member_table` module provides the known routers and their liveness.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::ClockTime;
use crate::hash::rendezvous_weight;
use crate::names::{DomainName, HostName, RouterIncarnation};
use crate::peer::RouterState;

/// The liveness of a router as seen by this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberLiveness {
    /// Seen recently.
    Live,
    /// Not seen for a while: dead, frozen or partitioned.
    Down,
    /// Known to have ended.
    Gone,
}

/// A router as seen by this one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberEntry {
    pub domain: DomainName,
    /// The address for peers.
    pub address: String,
    /// The state announced by the router.
    pub state: RouterState,
    pub liveness: MemberLiveness,
    /// The catalogue revision in effect at the router.
    pub catalogue_revision: u64,
    /// When the last heartbeat arrived.
    pub last_seen_at: ClockTime,
    /// The number of the last heartbeat.
    pub sequence: u64,
}

/// The routers known to this one.
#[derive(Clone, Debug)]
pub struct MemberTable {
    me: RouterIncarnation,
    domain: DomainName,
    draining: bool,
    members: BTreeMap<RouterIncarnation, MemberEntry>,
    /// The latest known epoch of each host.
    latest: BTreeMap<HostName, u64>,
    /// The hosts listed by the platform, once the lists of all domains have been read.
    listed: Option<BTreeSet<HostName>>,
    /// Whether the own domain has other routers by the settings, the platform or other routers.
    expects_others: bool,
}

impl MemberTable {
    /// Creates a table with only this router.
    pub fn new(me: RouterIncarnation, domain: DomainName) -> Self {
        MemberTable {
            me,
            domain,
            draining: false,
            members: BTreeMap::new(),
            latest: BTreeMap::new(),
            listed: None,
            expects_others: false,
        }
    }

    pub fn me(&self) -> &RouterIncarnation {
        &self.me
    }

    pub fn domain(&self) -> &DomainName {
        &self.domain
    }

    /// The entry of another router, if known.
    pub fn get(&self, router: &RouterIncarnation) -> Option<&MemberEntry> {
        self.members.get(router)
    }

    /// The address for peers of another router, if known.
    pub fn address_of(&self, router: &RouterIncarnation) -> Option<&str> {
        self.members.get(router).map(|entry| entry.address.as_str())
    }

    pub fn insert(&mut self, router: RouterIncarnation, entry: MemberEntry) {
        let latest = self.latest.entry(router.host.clone()).or_default();
        *latest = router.epoch.max(*latest);
        self.members.insert(router, entry);
    }

    /// Whether a later incarnation on the router's host is known. The sender is then a process that
    /// no longer exists or a frozen one that was replaced, and its messages must be dropped.
    pub fn is_outdated(&self, router: &RouterIncarnation) -> bool {
        if router.host == self.me.host {
            return router.epoch < self.me.epoch;
        }
        self.latest
            .get(&router.host)
            .is_some_and(|latest| router.epoch < *latest)
    }

    /// Whether the router's process is known to have ended.
    pub fn is_gone(&self, router: &RouterIncarnation) -> bool {
        let left = self
            .members
            .get(router)
            .is_some_and(|entry| entry.liveness == MemberLiveness::Gone);
        left || self.is_outdated(router)
    }

    /// Whether no list of the platform contains the host; `false` until the lists of all domains
    /// have been read.
    pub fn is_unlisted(&self, host: &HostName) -> bool {
        let listed = self.listed.as_ref();
        listed.is_some_and(|listed| !listed.contains(host))
    }

    /// Whether the lists of all domains have been read.
    pub fn knows_hosts(&self) -> bool {
        self.listed.is_some()
    }

    /// Sets the hosts that the platform lists in all domains.
    pub(super) fn set_listed(&mut self, hosts: impl IntoIterator<Item = HostName>) {
        self.listed = Some(hosts.into_iter().collect());
    }

    /// Whether the own domain should have other routers, even if none of them is known to be live.
    pub fn expects_others(&self) -> bool {
        self.expects_others
    }

    pub(super) fn set_expects_others(&mut self, expects_others: bool) {
        self.expects_others = expects_others;
    }

    /// The live router on a host.
    pub fn live_on(&self, host: &HostName) -> Option<&RouterIncarnation> {
        self.members
            .iter()
            .find(|(router, entry)| router.host == *host && entry.liveness == MemberLiveness::Live)
            .map(|(router, _)| router)
    }

    pub(super) fn iter_mut(
        &mut self,
    ) -> impl Iterator<Item = (&RouterIncarnation, &mut MemberEntry)> {
        self.members.iter_mut()
    }

    /// Removes routers that have been gone for longer than `span_ms`. The latest epoch of each host
    /// is retained, so that their late messages are still dropped.
    pub(super) fn forget_gone(&mut self, now: ClockTime, span_ms: u64) {
        self.members.retain(|_, entry| {
            entry.liveness != MemberLiveness::Gone || now.since(entry.last_seen_at) < span_ms
        });
    }

    /// All other routers.
    pub fn iter(&self) -> impl Iterator<Item = (&RouterIncarnation, &MemberEntry)> {
        self.members.iter()
    }

    /// The live routers of the own domain in rendezvous order for `name`, the best first, including
    /// this one unless it drains. Two routers may disagree; no safety property depends on the
    /// order.
    pub fn ranked(&self, name: &str) -> Vec<RouterIncarnation> {
        let mut ranked: Vec<(u64, RouterIncarnation)> = self
            .members
            .iter()
            .filter(|(_, entry)| self.accepts_work(entry))
            .map(|(router, _)| router)
            .chain((!self.draining).then_some(&self.me))
            .map(|router| {
                (
                    rendezvous_weight(name, router.host.as_str()),
                    router.clone(),
                )
            })
            .collect();
        ranked.sort_by(|left, right| right.cmp(left));
        ranked.into_iter().map(|(_, router)| router).collect()
    }

    /// The first router of the own domain in rendezvous order for `name`; this one if no other is
    /// known.
    pub fn picked_for(&self, name: &str) -> RouterIncarnation {
        self.ranked(name)
            .into_iter()
            .next()
            .unwrap_or_else(|| self.me.clone())
    }

    /// Marks this router as draining, so that it is no longer selected for new work.
    pub fn set_draining(&mut self) {
        self.draining = true;
    }

    fn accepts_work(&self, entry: &MemberEntry) -> bool {
        entry.domain == self.domain
            && entry.state == RouterState::Live
            && entry.liveness == MemberLiveness::Live
    }
}
