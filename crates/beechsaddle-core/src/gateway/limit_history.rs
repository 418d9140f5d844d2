//! The `limit_history` module provides the limits that callers may go by while versions of the
//! configuration change them.
//!
//! Callers learn of a version before or after a router does. A connection is therefore kept, and a
//! request accepted, as the most generous of the versions allows that a caller may go by.

use super::CallerLimits;
use crate::clock::ClockTime;

/// The longest time that a request takes from its caller to the router, in milliseconds: a
/// retransmission and some queueing. A caller sends by a version until the last moment.
const REQUEST_WAY_MS: u64 = 500;

/// How long connections stay idle at most while the router cannot know the newest limits, in
/// milliseconds: callers seldom keep connections for longer than a minute.
const UNCONFIRMED_IDLE_MS: u64 = 60_000;

/// Number of open connections up to which idle ones are kept for that long: half of the 4,100
/// descriptors of a process, as targets, tunnels and new callers need the others.
const UNCONFIRMED_CONNECTIONS_MAX: usize = 2_000;

/// The bounds within which a version comes into force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChangeBounds {
    /// Within this a new version is in force everywhere, in milliseconds.
    pub in_force_ms: u64,
    /// For how long after a disturbance of the store no bound holds, in milliseconds.
    pub settle_ms: u64,
}

/// Why a connection may be closed that waits for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleLimit {
    /// The limits of the versions that callers may go by, with the time that a change takes.
    Known(u64),
    /// The router cannot know the newest limits: the longest time that it keeps a connection.
    Unconfirmed(u64),
}

impl IdleLimit {
    /// Returns the limit, in milliseconds.
    pub fn as_millis(self) -> u64 {
        match self {
            IdleLimit::Known(limit_ms) | IdleLimit::Unconfirmed(limit_ms) => limit_ms,
        }
    }
}

/// The limits of a version that a newer one has superseded.
#[derive(Clone, Copy, Debug)]
struct SupersededLimits {
    limits: CallerLimits,
    /// Until when callers may go by them.
    until: ClockTime,
}

/// The limits of the newest known version, and of those before that callers may still go by.
#[derive(Clone, Debug, Default)]
pub struct LimitHistory {
    newest: Option<CallerLimits>,
    superseded: Vec<SupersededLimits>,
    /// When the store last answered.
    answered_at: ClockTime,
    /// From when on an outage of the store no longer hides a version.
    settled_at: ClockTime,
}

impl LimitHistory {
    /// Records that the router applied a version.
    pub fn record_version(&mut self, now: ClockTime, limits: CallerLimits, bounds: ChangeBounds) {
        self.superseded.retain(|former| now < former.until);
        let former = self.newest.replace(limits);
        let until = now.plus_ms(bounds.in_force_ms + REQUEST_WAY_MS);
        let former = former.filter(|former| *former != limits);
        self.superseded
            .extend(former.map(|limits| SupersededLimits { limits, until }));
    }

    /// Records that the store answered at a time, to this router or to the one that it follows.
    pub fn record_answer(&mut self, at: ClockTime, bounds: ChangeBounds) {
        let is_first = self.answered_at == ClockTime::ZERO;
        if !is_first && at.since(self.answered_at) > bounds.in_force_ms {
            self.settled_at = at.plus_ms(bounds.settle_ms + bounds.in_force_ms);
        }
        self.answered_at = self.answered_at.max(at);
    }

    /// Returns the most generous limits that callers may go by.
    pub fn widest(&self, now: ClockTime) -> CallerLimits {
        let newest = self.newest.unwrap_or_default();
        let superseded = self.superseded.iter();
        let usable = superseded.filter(|former| now < former.until);
        usable.fold(newest, |widest, former| widest.widened_by(former.limits))
    }

    /// Returns how long a request head may take.
    ///
    /// A longer time that is in force already, but not yet here, is covered like that of idle
    /// connections.
    pub fn head_timeout_ms(&self, now: ClockTime, bounds: ChangeBounds) -> u64 {
        let known_ms = self.widest(now).head_timeout_ms;
        known_ms.saturating_add(bounds.in_force_ms + REQUEST_WAY_MS)
    }

    /// Returns how long a connection may wait for a request, with a number of connections open.
    ///
    /// Callers reuse connections up to the idle time of their version. A longer one may be in force
    /// for as long as a change takes before the router knows it, and for any time while the store
    /// is unreachable.
    pub fn idle_limit(
        &self,
        now: ClockTime,
        bounds: ChangeBounds,
        open_connections: usize,
    ) -> IdleLimit {
        let idle_ms = self.widest(now).idle_timeout_ms;
        let known_ms = idle_ms.saturating_add(bounds.in_force_ms + REQUEST_WAY_MS);
        let is_free = open_connections <= UNCONFIRMED_CONNECTIONS_MAX;
        if is_free && known_ms < UNCONFIRMED_IDLE_MS && !self.is_confirmed(now, bounds) {
            return IdleLimit::Unconfirmed(UNCONFIRMED_IDLE_MS);
        }
        IdleLimit::Known(known_ms)
    }

    /// Whether the store would have told of all versions whose bound is over.
    fn is_confirmed(&self, now: ClockTime, bounds: ChangeBounds) -> bool {
        now.since(self.answered_at) <= bounds.in_force_ms && now >= self.settled_at
    }
}
