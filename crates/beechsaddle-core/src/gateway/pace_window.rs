//! The `pace_window` module provides the part of the requests that a target gets after it has started
//! or recovered.

use crate::clock::ClockTime;
use crate::hash::rendezvous_weight;

/// The window of a target that has just started or recovered, as a binary exponent: an eighth.
const START_HALVINGS: u32 = 3;

/// The narrowest window. A target that fails still gets a request now and then, by which its recovery
/// shows.
const MOST_HALVINGS: u32 = 5;

/// The time after which a window doubles without an answer, in milliseconds: a router of a large fleet
/// sends a target a request in many seconds, and must not leave it idle meanwhile.
const QUIET_STEP_MS: u64 = 1_000;

/// The least time between two halvings, in milliseconds, so that attempts that fail together count
/// once.
const HALVING_INTERVAL_MS: u64 = 250;

/// How much later than before a first event counts as slow.
const SLOW_FACTOR: f64 = 3.0;

/// The wait for a first event that counts as slow at a target without samples, in milliseconds.
const SLOW_MS: f64 = 700.0;

/// The part of the requests for which a target is a candidate.
///
/// Any number of routers that begin a window at the same time send the target together the same part
/// of the fleet's requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PaceWindow {
    halvings: u32,
    doubles_at: ClockTime,
    halves_at: ClockTime,
}

impl PaceWindow {
    /// Narrows the window of a target that starts, or recovers at `from`.
    pub fn begin(&mut self, from: ClockTime) {
        self.halvings = self.halvings.max(START_HALVINGS);
        self.doubles_at = from.plus_ms(QUIET_STEP_MS);
    }

    /// Ends the window.
    pub fn open(&mut self) {
        self.halvings = 0;
    }

    /// Records that a first event came `waited_ms` later than expected; `known_ms` is what it took
    /// before, if that is known.
    pub fn record_first(&mut self, now: ClockTime, waited_ms: u64, known_ms: Option<f64>) {
        let slow_ms = known_ms.map_or(SLOW_MS, |known_ms| known_ms.max(1.0) * SLOW_FACTOR);
        match waited_ms as f64 > slow_ms {
            true => self.narrow(now),
            false => self.widen(now),
        }
    }

    /// Records that an attempt failed.
    pub fn record_failure(&mut self, now: ClockTime) {
        self.narrow(now);
    }

    /// Whether the target is a candidate for fewer requests than others.
    pub fn is_narrow(&self, now: ClockTime) -> bool {
        self.halvings_at(now) > 0
    }

    /// Whether the target is a candidate for a request.
    pub fn admits(&self, now: ClockTime, request_id: &str, target: &str) -> bool {
        let bound = u64::MAX >> self.halvings_at(now);
        rendezvous_weight(request_id, target) <= bound
    }

    fn widen(&mut self, now: ClockTime) {
        self.halvings = self.halvings_at(now).saturating_sub(1);
        self.doubles_at = now.plus_ms(QUIET_STEP_MS);
    }

    fn narrow(&mut self, now: ClockTime) {
        let halvings = self.halvings_at(now);
        if halvings == 0 || now < self.halves_at {
            return;
        }
        self.halvings = (halvings + 1).min(MOST_HALVINGS);
        self.doubles_at = now.plus_ms(QUIET_STEP_MS);
        self.halves_at = now.plus_ms(HALVING_INTERVAL_MS);
    }

    /// Returns the halvings that are left after the time without an answer.
    fn halvings_at(&self, now: ClockTime) -> u32 {
        if self.halvings == 0 || now < self.doubles_at {
            return self.halvings;
        }
        let quiet_ms = now.since(self.doubles_at);
        let doublings = 1 + quiet_ms / QUIET_STEP_MS;
        self.halvings
            .saturating_sub(doublings.min(u64::from(MOST_HALVINGS)) as u32)
    }
}
