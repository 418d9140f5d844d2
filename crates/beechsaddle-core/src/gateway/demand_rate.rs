//! The `demand_rate` module provides an average of a quantity a second that forgets.

use crate::clock::ClockTime;

/// A sum that halves with time; its level gives the average rate.
#[derive(Clone, Copy, Debug)]
pub struct DemandRate {
    half_life_ms: u64,
    level: f64,
    updated_at: ClockTime,
}

impl DemandRate {
    /// A rate of zero that halves every `half_life_ms`.
    pub fn new(half_life_ms: u64, now: ClockTime) -> Self {
        DemandRate {
            half_life_ms: half_life_ms.max(1),
            level: 0.0,
            updated_at: now,
        }
    }

    /// Adds an amount.
    pub fn add(&mut self, now: ClockTime, amount: f64) {
        self.level = self.level_at(now) + amount;
        self.updated_at = now;
    }

    /// The decayed sum.
    pub fn level_at(&self, now: ClockTime) -> f64 {
        let spans = now.since(self.updated_at) as f64 / self.half_life_ms as f64;
        self.level * (-spans).exp2()
    }

    /// The average amount a second. A steady rate r keeps the sum at r times the mean life, which
    /// is the half-life over the logarithm of two.
    pub fn per_second(&self, now: ClockTime) -> f64 {
        let mean_life_s = self.half_life_ms as f64 / 1_000.0 / std::f64::consts::LN_2;
        self.level_at(now) / mean_life_s
    }
}
