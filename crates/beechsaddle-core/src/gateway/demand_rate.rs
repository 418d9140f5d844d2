//! The `demand_rate` module provides an exponentially decaying average of a quantity per second.

use crate::clock::ClockTime;

/// An exponentially decaying sum, and the average rate derived from it.
#[derive(Clone, Copy, Debug)]
pub struct DemandRate {
    half_life_ms: u64,
    level: f64,
    updated_at: ClockTime,
    started_at: Option<ClockTime>,
}

/// The shortest time over which an average is taken, in milliseconds, so that a single early
/// request does not give a very high rate.
const SHORTEST_MS: u64 = 1_500;

impl DemandRate {
    /// Creates a rate of zero that halves every `half_life_ms`.
    pub fn new(half_life_ms: u64, now: ClockTime) -> Self {
        DemandRate {
            half_life_ms: half_life_ms.max(1),
            level: 0.0,
            updated_at: now,
            started_at: None,
        }
    }

    pub fn add(&mut self, now: ClockTime, amount: f64) {
        self.level = self.level_at(now) + amount;
        self.updated_at = now;
        self.started_at.get_or_insert(now);
    }

    /// Returns the decayed sum.
    pub fn level_at(&self, now: ClockTime) -> f64 {
        let spans = now.since(self.updated_at) as f64 / self.half_life_ms as f64;
        self.level * (-spans).exp2()
    }

    /// Returns the average amount per second since the first amount.
    ///
    /// At a steady rate r the sum converges to r times the mean lifetime, which is the half-life
    /// divided by the natural logarithm of two. Until then the sum is scaled by the part that has
    /// accumulated.
    pub fn per_second(&self, now: ClockTime) -> f64 {
        let Some(started_at) = self.started_at else {
            return 0.0;
        };
        let mean_life_s = self.half_life_ms as f64 / 1_000.0 / std::f64::consts::LN_2;
        let age_ms = now.since(started_at).max(SHORTEST_MS);
        let filled = 1.0 - (-(age_ms as f64) / self.half_life_ms as f64).exp2();
        self.level_at(now) / (mean_life_s * filled)
    }
}
