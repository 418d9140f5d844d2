//! The `target_limit` module provides what one router knows of a target's limit on requests.

use crate::clock::ClockTime;

/// How many requests a second a target takes from all routers together, as its newest answer says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetLimit {
    /// Requests a second; `None` where the answer names no limit.
    pub per_s: Option<f64>,
    /// When the answer came.
    pub heard_at: ClockTime,
}

/// The least pause after a refused place, in milliseconds.
const LEAST_PAUSE_MS: u64 = 50;

/// The longest pause after a refused place, in milliseconds: the end of a limit is noticed within this by a
/// router that has requests for the target.
const LONGEST_PAUSE_MS: u64 = 4_000;

/// How often the pause doubles while no place is granted. Hundreds of routers that ask for one request a second would
/// ask a thousand times otherwise.
const DOUBLINGS_MAX: u32 = 3;

/// A target's limit as one router sees it.
#[derive(Clone, Copy, Debug, Default)]
pub struct LimitGauge {
    limit: Option<TargetLimit>,
    paused_until: ClockTime,
    refusals: u32,
}

impl LimitGauge {
    /// Takes over what an answer says; tells whether the limit is another one now.
    ///
    /// An answer without a limit ends one only if its request was sent after the limit was heard of: answers on
    /// several connections overtake each other.
    pub fn note(&mut self, now: ClockTime, per_s: Option<f64>, sent_at: ClockTime) -> bool {
        let known = self.limit.and_then(|limit| limit.per_s);
        let is_overtaken = self.limit.is_some_and(|limit| sent_at < limit.heard_at);
        if per_s.is_none() && (self.limit.is_none() || is_overtaken) {
            return false;
        }
        self.take(TargetLimit {
            per_s,
            heard_at: now,
        });
        known != per_s
    }

    /// Takes over what another router heard, if that is newer.
    pub fn take(&mut self, limit: TargetLimit) {
        if self
            .limit
            .is_some_and(|known| known.heard_at > limit.heard_at)
        {
            return;
        }
        self.limit = Some(limit);
        if limit.per_s.is_none() {
            self.note_granted();
        }
    }

    /// What was heard last, also where that is the end of a limit; `None` where no limit was ever heard of.
    pub fn heard(&self) -> Option<TargetLimit> {
        self.limit
    }

    /// The limit that is in force.
    pub fn in_force(&self) -> Option<TargetLimit> {
        self.limit.filter(|limit| limit.per_s.is_some())
    }

    /// Notes that the target took what it may from this router.
    pub fn note_granted(&mut self) {
        self.refusals = 0;
        self.paused_until = ClockTime::ZERO;
    }

    /// Notes that there is no place before `wait_ms` are over.
    pub fn note_refused(&mut self, now: ClockTime, wait_ms: u64) {
        let pause_ms = wait_ms.max(LEAST_PAUSE_MS) << self.refusals;
        self.paused_until = now.plus_ms(pause_ms.min(LONGEST_PAUSE_MS));
        self.refusals = (self.refusals + 1).min(DOUBLINGS_MAX);
    }

    /// For how long this router sends the target nothing, in milliseconds.
    pub fn paused_for_ms(&self, now: ClockTime) -> u64 {
        self.paused_until.since(now)
    }
}
