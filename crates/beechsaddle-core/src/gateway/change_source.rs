//! The `change_source` module provides the choice of the source of a router's changes: the store,
//! or a router of its domain that follows the store.
//!
//! If each router watched each kind of objects, the store would receive as many requests as there
//! are routers times changes. Instead a few routers of each domain follow the store, and the others
//! follow these. The followers are determined from the list of routers by the same weights on each
//! router, without coordination: routers with different lists ask different followers, and a router
//! that is asked and does not follow the store yet starts to.

use std::collections::BTreeMap;

use super::{PeerRecord, PeerRing};
use crate::clock::ClockTime;
use crate::names::HostName;

/// Number of routers of a domain that follow the store. If one fails, the routers that followed it
/// use the second one, without requests to the store of their own.
const FOLLOWER_COUNT: usize = 2;

/// Number of routers that are asked in turn before the store is. Where the regular followers cannot
/// reach the store any more, the next in order start to follow it. Each such answer costs one
/// one-way delay within the domain.
const CANDIDATES_MAX: usize = 4;

/// Number of routers that may time out before the store is asked, within `TIMEOUT_WINDOW_MS`. Each
/// costs the time of an answer, and with more of them a change would take effect too late.
const TIMEOUTS_MAX: usize = 2;
/// The window for counting timeouts, in milliseconds.
const TIMEOUT_WINDOW_MS: u64 = 3_000;

/// The smallest number of routers of a domain that relay changes. With fewer, nearly all follow the
/// store anyway.
const RELAY_ROUTERS_MIN: usize = 6;

/// How long a follower that cannot reach the store is skipped, in milliseconds: the interval at
/// which a store that does not answer is probed.
const UNREACHABLE_MS: u64 = 250;

/// How long a follower that follows another router is skipped, in milliseconds. When asked, it
/// starts to follow the store within one step of its own.
const STARTING_MS: u64 = 700;

/// How long a follower that did not answer is skipped, in milliseconds: until the list of routers
/// may show that it is gone, and the next in order replaces it.
const SILENT_MS: u64 = 4_000;

/// How long a router that was asked for changes follows the store, in milliseconds: longer than one
/// request of a router that follows it takes, even one cut short by a frozen router. With more,
/// each brief failure while a fleet starts leaves additional routers that watch the store for every
/// change.
const FOLLOWER_TTL_MS: u64 = 3_000;

/// The next source of changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeSource {
    Store,
    /// A router that follows the store.
    Router(PeerRecord),
}

/// The reason why a follower returned no changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowFailure {
    /// It cannot reach the store, or its state is outdated.
    Unavailable,
    /// It follows another router itself.
    Starting,
    /// It does not answer.
    Silent,
}

impl FollowFailure {
    /// Returns the name of the failure in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            FollowFailure::Unavailable => "away",
            FollowFailure::Starting => "beginning",
            FollowFailure::Silent => "silent",
        }
    }

    fn span_ms(self) -> u64 {
        match self {
            FollowFailure::Unavailable => UNREACHABLE_MS,
            FollowFailure::Starting => STARTING_MS,
            FollowFailure::Silent => SILENT_MS,
        }
    }
}

/// The choice of the source of changes.
#[derive(Clone, Debug, Default)]
pub struct SourceSelector {
    last_request_at: Option<ClockTime>,
    suspected_until: BTreeMap<HostName, ClockTime>,
    timeouts: Vec<ClockTime>,
}

impl SourceSelector {
    /// Returns the source to use now. If all followers have failed it is the store: a router that
    /// reaches the store never waits for one that does not.
    pub fn source(&self, now: ClockTime, ring: &PeerRing) -> ChangeSource {
        if self.is_follower(now, ring) || self.has_many_timeouts(now) {
            return ChangeSource::Store;
        }
        let mut candidates = ring.followers(now, FOLLOWER_COUNT, RELAY_ROUTERS_MIN);
        let next = ring.followers(now, CANDIDATES_MAX, RELAY_ROUTERS_MIN);
        let next: Vec<_> = next
            .into_iter()
            .filter(|peer| !candidates.contains(peer))
            .collect();
        candidates.extend(next);
        let usable = candidates.into_iter().find(|peer| {
            let until = self.suspected_until.get(&peer.host);
            until.is_none_or(|until| now >= *until)
        });
        usable.map_or(ChangeSource::Store, |via| ChangeSource::Router(via.clone()))
    }

    /// Whether this router should follow the store, as other routers of its domain rely on it.
    pub fn is_follower(&self, now: ClockTime, ring: &PeerRing) -> bool {
        self.was_requested(now)
            || ring
                .followers(now, FOLLOWER_COUNT, RELAY_ROUTERS_MIN)
                .is_empty()
    }

    /// Whether other routers of the domain follow this one, as far as it knows.
    pub fn is_followed(&self, now: ClockTime, ring: &PeerRing) -> bool {
        ring.domain_router_count() >= RELAY_ROUTERS_MIN && self.is_follower(now, ring)
    }

    /// Records that another router asks this one for changes.
    pub fn record_request(&mut self, now: ClockTime) {
        self.last_request_at = Some(now);
    }

    /// Records that a follower returned no changes; it is skipped for a time that depends on the
    /// failure.
    pub fn record_failure(&mut self, now: ClockTime, host: &HostName, failure: FollowFailure) {
        let until = now.plus_ms(failure.span_ms());
        self.suspected_until.insert(host.clone(), until);
        if failure == FollowFailure::Silent {
            self.timeouts
                .retain(|at| now.since(*at) < TIMEOUT_WINDOW_MS);
            self.timeouts.push(now);
        }
    }

    /// Records that a follower answered, possibly late: it is not skipped, and its silence does not count.
    pub fn record_answer(&mut self, host: &HostName) {
        if self.suspected_until.remove(host).is_some() {
            self.timeouts.pop();
        }
    }

    fn has_many_timeouts(&self, now: ClockTime) -> bool {
        let timeouts = self.timeouts.iter();
        let recent = timeouts.filter(|at| now.since(**at) < TIMEOUT_WINDOW_MS);
        recent.count() >= TIMEOUTS_MAX
    }

    fn was_requested(&self, now: ClockTime) -> bool {
        self.last_request_at
            .is_some_and(|at| now.since(at) < FOLLOWER_TTL_MS)
    }
}
