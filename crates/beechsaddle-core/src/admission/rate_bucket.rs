//! The `rate_bucket` module provides a token bucket whose rate may change.

use crate::clock::ClockTime;

/// A token bucket.
#[derive(Clone, Debug, Default)]
pub struct RateBucket {
    level: f64,
    rate_per_ms: f64,
    burst: f64,
    updated: Option<ClockTime>,
}

impl RateBucket {
    /// Sets rate and burst from now on; what came in before came in at the old rate.
    pub fn set_rate(&mut self, now: ClockTime, rate_per_ms: f64, burst: f64) {
        self.refill(now);
        if self.updated.is_none() {
            self.level = burst;
        }
        self.updated = Some(now);
        self.rate_per_ms = rate_per_ms;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    /// In how many milliseconds `amount` can be taken, zero when it can be taken now. More than the
    /// whole bucket can be taken when the bucket is full.
    pub fn wait_ms(&mut self, now: ClockTime, amount: f64) -> u64 {
        self.refill(now);
        let missing = amount.min(self.burst) - self.level;
        if missing <= 0.0 {
            return 0;
        }
        self.span_ms(missing)
    }

    /// The milliseconds in which `amount` comes in.
    pub fn span_ms(&self, amount: f64) -> u64 {
        if self.rate_per_ms <= 0.0 {
            return u64::MAX;
        }
        (amount / self.rate_per_ms).ceil() as u64
    }

    /// Takes an amount; the level may become negative. A negative amount gives back.
    pub fn take(&mut self, now: ClockTime, amount: f64) {
        self.refill(now);
        self.level = (self.level - amount).min(self.burst);
    }

    fn refill(&mut self, now: ClockTime) {
        let Some(updated) = self.updated else {
            return;
        };
        let income = now.since(updated) as f64 * self.rate_per_ms;
        self.level = (self.level + income).min(self.burst);
        // A clock that steps back must not pay the same span twice.
        self.updated = Some(updated.max(now));
    }
}
