//! The `demand_rate` module provides an average of a quantity a second that forgets.

use crate::clock::ClockTime;

/// A sum that halves with time; its level gives the average rate.
#[derive(Clone, Copy, Debug)]
pub struct DemandRate {
    half_life_ms: u64,
    level: f64,
    updated_at: ClockTime,
    started_at: Option<ClockTime>,
}

/// The shortest time that an average is taken over, in milliseconds: one request in the first
/// moment is not a flood.
const SHORTEST_MS: u64 = 1_500;

impl DemandRate {
    /// A rate of zero that halves every `half_life_ms`.
    pub fn new(half_life_ms: u64, now: ClockTime) -> Self {
        DemandRate {
            half_life_ms: half_life_ms.max(1),
            level: 0.0,
            updated_at: now,
            started_at: None,
        }
    }

    /// Adds an amount.
    pub fn add(&mut self, now: ClockTime, amount: f64) {
        self.level = self.level_at(now) + amount;
        self.updated_at = now;
        self.started_at.get_or_insert(now);
    }

    /// The decayed sum.
    pub fn level_at(&self, now: ClockTime) -> f64 {
        let spans = now.since(self.updated_at) as f64 / self.half_life_ms as f64;
        self.level * (-spans).exp2()
    }

    /// The average amount a second, from the first amount on.
    ///
    /// A steady rate r brings the sum to r times the mean life, which is the half-life over the
    /// logarithm of two; of that, only the part of the time that has passed is there yet.
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
