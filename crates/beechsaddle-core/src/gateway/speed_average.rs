//! The `speed_average` module provides the mean of samples of a target's speed, of which newer ones
//! count more.

use crate::clock::ClockTime;

/// How long a mean is known after its newest sample, in milliseconds. In a large fleet, a router
/// sends a target a few calls in this time.
pub(super) const SPEED_LIFE_MS: u64 = 60_000;

/// The time in which a sample loses half its weight, in milliseconds: a target that turns slow
/// outweighs its past after one or two calls.
const HALF_LIFE_MS: u64 = 15_000;

/// A weighted mean of samples that lose weight with time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SpeedAverage {
    sum: f64,
    weight: f64,
    sampled_at: ClockTime,
}

impl SpeedAverage {
    /// Adds a sample; one that is not a positive number is ignored.
    pub fn record(&mut self, now: ClockTime, value: f64, weight: f64) {
        let is_positive = |number: f64| number.is_finite() && number > 0.0;
        if !is_positive(value) || !is_positive(weight) {
            return;
        }
        let kept = match self.is_known(now) {
            true => (-(now.since(self.sampled_at) as f64) / HALF_LIFE_MS as f64).exp2(),
            false => 0.0,
        };
        self.sum = self.sum * kept + value * weight;
        self.weight = self.weight * kept + weight;
        self.sampled_at = now.max(self.sampled_at);
    }

    /// Returns the mean; `None` without a sample of the last minute.
    pub fn mean(&self, now: ClockTime) -> Option<f64> {
        self.is_known(now).then(|| self.sum / self.weight)
    }

    /// Returns the weight of the samples when the newest one was taken; 0 if the mean is not known.
    pub fn weight(&self, now: ClockTime) -> f64 {
        match self.is_known(now) {
            true => self.weight,
            false => 0.0,
        }
    }

    /// Returns when the newest sample was taken.
    pub fn sampled_at(&self) -> ClockTime {
        self.sampled_at
    }

    fn is_known(&self, now: ClockTime) -> bool {
        self.weight > 0.0 && now.since(self.sampled_at) < SPEED_LIFE_MS
    }
}
