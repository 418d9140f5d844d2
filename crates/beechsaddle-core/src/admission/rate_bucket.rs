//! The `rate_bucket` module provides a token bucket with a variable rate.

use crate::clock::ClockTime;

/// A token bucket with a variable rate.
#[derive(Clone, Debug, Default)]
pub struct RateBucket {
    level: f64,
    rate_per_ms: f64,
    burst: f64,
    updated_at: Option<ClockTime>,
}

impl RateBucket {
    /// Sets rate and burst from now on; the time before is refilled at the old rate.
    pub fn set_rate(&mut self, now: ClockTime, rate_per_ms: f64, burst: f64) {
        self.refill(now);
        if self.updated_at.is_none() {
            self.level = burst;
        }
        self.updated_at = Some(now);
        self.rate_per_ms = rate_per_ms;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    /// The delay in milliseconds until `amount` can be taken, or zero. An amount larger than the
    /// bucket can be taken when the bucket is full.
    pub fn wait_ms(&mut self, now: ClockTime, amount: f64) -> u64 {
        self.refill(now);
        let missing = amount.min(self.burst) - self.level;
        if missing <= 0.0 {
            return 0;
        }
        self.refill_ms(missing)
    }

    /// The time in milliseconds in which `amount` is refilled.
    pub fn refill_ms(&self, amount: f64) -> u64 {
        if self.rate_per_ms <= 0.0 {
            return u64::MAX;
        }
        (amount / self.rate_per_ms).ceil() as u64
    }

    /// Takes an amount; the level may become negative. A negative amount is added.
    pub fn take(&mut self, now: ClockTime, amount: f64) {
        self.refill(now);
        self.level = (self.level - amount).min(self.burst);
    }

    fn refill(&mut self, now: ClockTime) {
        let Some(updated_at) = self.updated_at else {
            return;
        };
        let refilled = now.since(updated_at) as f64 * self.rate_per_ms;
        self.level = (self.level + refilled).min(self.burst);
        // If the clock steps back, the same time must not be refilled twice.
        self.updated_at = Some(updated_at.max(now));
    }
}
