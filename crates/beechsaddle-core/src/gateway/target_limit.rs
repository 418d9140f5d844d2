//! The `target_limit` module provides one router's state of a target's rate limit.

use crate::clock::ClockTime;

/// The rate of requests that a target accepts from all routers together, by its newest answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetLimit {
    /// Requests per second; `None` if the answer names no limit.
    pub per_s: Option<f64>,
    /// When the answer was received.
    pub received_at: ClockTime,
}

/// The shortest pause after a refused permit, in milliseconds.
const PAUSE_MIN_MS: u64 = 50;

/// The longest pause after a refused permit, in milliseconds. A router that has requests for the
/// target notices the end of a limit within this time.
const PAUSE_MAX_MS: u64 = 4_000;

/// The number of times that the pause doubles while no permit is granted. Otherwise hundreds of
/// routers that share one request per second would ask a thousand times.
const DOUBLINGS_MAX: u32 = 3;

/// A target's limit as known to one router.
#[derive(Clone, Copy, Debug, Default)]
pub struct LimitState {
    limit: Option<TargetLimit>,
    paused_until: ClockTime,
    refusals: u32,
}

impl LimitState {
    /// Records the limit in an answer; returns whether the limit has changed.
    ///
    /// An answer without a limit ends a limit only if its request was sent after the limit was
    /// received, as answers on several connections may be reordered.
    pub fn record(&mut self, now: ClockTime, per_s: Option<f64>, sent_at: ClockTime) -> bool {
        let known = self.limit.and_then(|limit| limit.per_s);
        let is_reordered = self.limit.is_some_and(|limit| sent_at < limit.received_at);
        if per_s.is_none() && (self.limit.is_none() || is_reordered) {
            return false;
        }
        self.take(TargetLimit {
            per_s,
            received_at: now,
        });
        known != per_s
    }

    /// Updates the limit with one that another router received, if that is newer.
    pub fn take(&mut self, limit: TargetLimit) {
        if self
            .limit
            .is_some_and(|known| known.received_at > limit.received_at)
        {
            return;
        }
        self.limit = Some(limit);
        if limit.per_s.is_none() {
            self.record_granted();
        }
    }

    /// Returns what was last received, including the end of a limit; `None` if no limit was ever
    /// received.
    pub fn last_received(&self) -> Option<TargetLimit> {
        self.limit
    }

    /// Returns the active limit.
    pub fn in_force(&self) -> Option<TargetLimit> {
        self.limit.filter(|limit| limit.per_s.is_some())
    }

    /// Records that the target may be sent a request, which ends the pause.
    pub fn record_granted(&mut self) {
        self.refusals = 0;
        self.paused_until = ClockTime::ZERO;
    }

    /// Records that no permit is available before `wait_ms` have passed.
    pub fn record_refused(&mut self, now: ClockTime, wait_ms: u64) {
        let pause_ms = wait_ms.max(PAUSE_MIN_MS) << self.refusals;
        self.paused_until = now.plus_ms(pause_ms.min(PAUSE_MAX_MS));
        self.refusals = (self.refusals + 1).min(DOUBLINGS_MAX);
    }

    /// Returns how long this router sends the target nothing, in milliseconds.
    pub fn paused_for_ms(&self, now: ClockTime) -> u64 {
        self.paused_until.since(now)
    }
}
