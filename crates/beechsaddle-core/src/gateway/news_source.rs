//! The `news_source` module provides from whom a router learns what changes: the store, or a router of its
//! domain that follows the store.
//!
//! With a watch of each kind at each router the store is asked as often as there are routers times changes. A
//! few routers of each domain follow it, and the others follow these. Who does so follows from the list of
//! routers, by the same weights at each of them. Nobody has to agree: two routers that see different lists ask
//! different ones, and whoever is asked and does not follow the store yet begins to.

use std::collections::BTreeMap;

use super::{PeerRecord, PeerRing};
use crate::clock::ClockTime;
use crate::names::HostName;

/// How many routers of a domain follow the store: one may be gone, and the others go on by the second without
/// asking the store themselves.
const FOLLOWERS: usize = 2;

/// How many routers are asked in turn before the store is: where those that follow it cannot reach it any more,
/// the next in line begin to. Each that answers so costs one way within the domain.
const CANDIDATES: usize = 4;

/// How many routers may go silent before the store is asked, and for how long that counts, in milliseconds: each
/// costs the time of an answer, and with more of them a change would be in force too late.
const SILENT_MOST: usize = 2;
/// See [`SILENT_MOST`].
const SILENT_COUNT_MS: u64 = 3_000;

/// The fewest routers of a domain that relay: with fewer nearly all follow the store anyway.
const RELAYING_LEAST: usize = 6;

/// How long a follower is passed over that cannot reach the store, in milliseconds: as often as a store that
/// does not answer is probed.
const AWAY_MS: u64 = 250;

/// How long a follower is passed over that follows another router, in milliseconds: it begins to follow the
/// store when asked, within one step of its own.
const BEGINNING_MS: u64 = 700;

/// How long a follower is passed over that did not answer, in milliseconds: until the list of routers may show
/// that it is gone, and the next in line takes its place.
const SILENT_MS: u64 = 4_000;

/// How long a router that was asked for changes follows the store, in milliseconds: longer than one question of
/// those that follow it takes, even where it is cut short by a frozen router. With more each passing doubt of a
/// fleet that starts leaves routers that watch the store for every change beside those that have to.
const ASKED_MS: u64 = 3_000;

/// From whom to learn changes next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NewsSource {
    /// The store.
    Store,
    /// A router that follows the store.
    Router(PeerRecord),
}

/// Why a follower did not help.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowDoubt {
    /// It cannot reach the store, or what it knows is old.
    Away,
    /// It follows another router itself.
    Beginning,
    /// It does not answer.
    Silent,
}

impl FollowDoubt {
    /// A word for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            FollowDoubt::Away => "away",
            FollowDoubt::Beginning => "beginning",
            FollowDoubt::Silent => "silent",
        }
    }

    fn span_ms(self) -> u64 {
        match self {
            FollowDoubt::Away => AWAY_MS,
            FollowDoubt::Beginning => BEGINNING_MS,
            FollowDoubt::Silent => SILENT_MS,
        }
    }
}

/// The choice of whom to follow.
#[derive(Clone, Debug, Default)]
pub struct NewsChoice {
    asked_at: Option<ClockTime>,
    doubted: BTreeMap<HostName, ClockTime>,
    silences: Vec<ClockTime>,
}

impl NewsChoice {
    /// From whom to learn changes now. Where all followers are doubted it is the store: a router that reaches
    /// it never waits for one that does not.
    pub fn source(&self, now: ClockTime, ring: &PeerRing) -> NewsSource {
        if self.is_follower(now, ring) || self.has_many_silent(now) {
            return NewsSource::Store;
        }
        let mut line = ring.followers(now, FOLLOWERS, RELAYING_LEAST);
        let next = ring.followers(now, CANDIDATES, RELAYING_LEAST);
        let next: Vec<_> = next
            .into_iter()
            .filter(|peer| !line.contains(peer))
            .collect();
        line.extend(next);
        let trusted = line.into_iter().find(|peer| {
            let until = self.doubted.get(&peer.host);
            until.is_none_or(|until| now >= *until)
        });
        trusted.map_or(NewsSource::Store, |peer| NewsSource::Router(peer.clone()))
    }

    /// Whether this router should follow the store, as others of its domain rely on it.
    pub fn is_follower(&self, now: ClockTime, ring: &PeerRing) -> bool {
        self.was_asked(now) || ring.followers(now, FOLLOWERS, RELAYING_LEAST).is_empty()
    }

    /// Whether others of the domain follow this router, as far as it knows.
    pub fn is_followed(&self, now: ClockTime, ring: &PeerRing) -> bool {
        ring.own_count() >= RELAYING_LEAST && self.is_follower(now, ring)
    }

    /// Another router asks this one for changes.
    pub fn note_asked(&mut self, now: ClockTime) {
        self.asked_at = Some(now);
    }

    /// A follower did not help; it is passed over for a while.
    pub fn note_doubt(&mut self, now: ClockTime, host: &HostName, doubt: FollowDoubt) {
        let until = now.plus_ms(doubt.span_ms());
        self.doubted.insert(host.clone(), until);
        if doubt == FollowDoubt::Silent {
            self.silences.retain(|at| now.since(*at) < SILENT_COUNT_MS);
            self.silences.push(now);
        }
    }

    fn has_many_silent(&self, now: ClockTime) -> bool {
        let silences = self.silences.iter();
        let recent = silences.filter(|at| now.since(**at) < SILENT_COUNT_MS);
        recent.count() >= SILENT_MOST
    }

    fn was_asked(&self, now: ClockTime) -> bool {
        self.asked_at.is_some_and(|at| now.since(at) < ASKED_MS)
    }
}
