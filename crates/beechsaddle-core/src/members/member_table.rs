//! The `member_table` module provides the routers that this one knows and how alive they are.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::ClockTime;
use crate::hash::rendezvous_weight;
use crate::names::{DomainName, HostName, RouterIncarnation};
use crate::peer::RouterState;

/// How alive a router is to this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberLiveness {
    /// Heard of lately.
    Live,
    /// Not heard of for a while: dead, frozen or cut off.
    Down,
    /// Its process is known to have ended.
    Gone,
}

/// A router as this one knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberEntry {
    /// Its domain.
    pub domain: DomainName,
    /// Where its peers reach it.
    pub address: String,
    /// What it says of itself.
    pub state: RouterState,
    /// How alive it is.
    pub liveness: MemberLiveness,
    /// The catalogue revision in force there.
    pub catalogue_revision: u64,
    /// When it was last heard of.
    pub heard: ClockTime,
    /// Its last heartbeat.
    pub sequence: u64,
}

/// The routers that this one knows.
#[derive(Clone, Debug)]
pub struct MemberTable {
    me: RouterIncarnation,
    domain: DomainName,
    draining: bool,
    members: BTreeMap<RouterIncarnation, MemberEntry>,
    /// The latest epoch that each host was heard with.
    latest: BTreeMap<HostName, u64>,
    /// The hosts that the platform lists, once the lists of all domains were read.
    listed: Option<BTreeSet<HostName>>,
}

impl MemberTable {
    /// A table that knows only this router.
    pub fn new(me: RouterIncarnation, domain: DomainName) -> Self {
        MemberTable {
            me,
            domain,
            draining: false,
            members: BTreeMap::new(),
            latest: BTreeMap::new(),
            listed: None,
        }
    }

    /// This router.
    pub fn me(&self) -> &RouterIncarnation {
        &self.me
    }

    /// This router's domain.
    pub fn domain(&self) -> &DomainName {
        &self.domain
    }

    /// The entry of another router.
    pub fn get(&self, router: &RouterIncarnation) -> Option<&MemberEntry> {
        self.members.get(router)
    }

    /// Where a router's peers reach it.
    pub fn address_of(&self, router: &RouterIncarnation) -> Option<&str> {
        self.members.get(router).map(|entry| entry.address.as_str())
    }

    /// Sets or replaces the entry of another router.
    pub fn insert(&mut self, router: RouterIncarnation, entry: MemberEntry) {
        let latest = self.latest.entry(router.host.clone()).or_default();
        *latest = router.epoch.max(*latest);
        self.members.insert(router, entry);
    }

    /// Whether a later life of the router's host was heard: the sender of a message is then a
    /// process that no longer exists, or a frozen one that was replaced, and the message is to be
    /// dropped.
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

    /// Whether the platform lists a host in no domain, as far as its lists were read; `false` while one was not.
    pub fn is_unlisted(&self, host: &HostName) -> bool {
        let listed = self.listed.as_ref();
        listed.is_some_and(|listed| !listed.contains(host))
    }

    /// Whether the platform's lists of all domains were read.
    pub fn knows_hosts(&self) -> bool {
        self.listed.is_some()
    }

    /// Sets the hosts that the platform lists in all domains.
    pub(super) fn set_listed(&mut self, hosts: impl IntoIterator<Item = HostName>) {
        self.listed = Some(hosts.into_iter().collect());
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

    /// Forgets routers that have been gone for longer than `span_ms`. The latest epoch of their
    /// host stays known, so that a late message of theirs is still dropped.
    pub(super) fn forget_gone(&mut self, now: ClockTime, span_ms: u64) {
        self.members.retain(|_, entry| {
            entry.liveness != MemberLiveness::Gone || now.since(entry.heard) < span_ms
        });
    }

    /// All other routers.
    pub fn iter(&self) -> impl Iterator<Item = (&RouterIncarnation, &MemberEntry)> {
        self.members.iter()
    }

    /// The live routers of the own domain, this one included unless it drains, best first for
    /// `name` by rendezvous hashing. Two routers may disagree; no safety property rests on it.
    pub fn ranked(&self, name: &str) -> Vec<RouterIncarnation> {
        let mut ranked: Vec<(u64, RouterIncarnation)> = self
            .members
            .iter()
            .filter(|(_, entry)| self.takes_work(entry))
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

    /// The router of the own domain that is picked for `name`; this one when it knows no other.
    pub fn picked_for(&self, name: &str) -> RouterIncarnation {
        self.ranked(name)
            .into_iter()
            .next()
            .unwrap_or_else(|| self.me.clone())
    }

    /// Marks this router as draining, so that it is picked for nothing new.
    pub fn set_draining(&mut self) {
        self.draining = true;
    }

    fn takes_work(&self, entry: &MemberEntry) -> bool {
        entry.domain == self.domain
            && entry.state == RouterState::Live
            && entry.liveness == MemberLiveness::Live
    }
}
