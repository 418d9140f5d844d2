//! The `demand_peak` module provides the largest recent request.

use crate::clock::ClockTime;

/// The largest recent request, by tokens.
#[derive(Clone, Copy, Debug)]
pub(super) struct DemandPeak {
    half_life_ms: u64,
    tokens: u64,
    recorded_at: ClockTime,
}

impl DemandPeak {
    /// Creates an empty peak; `half_life_ms` is that of the average demand it complements.
    pub(super) fn new(half_life_ms: u64) -> Self {
        DemandPeak {
            half_life_ms,
            tokens: 0,
            recorded_at: ClockTime::default(),
        }
    }

    /// Records a request. A smaller one replaces the largest once the largest is two half-lives
    /// old.
    pub(super) fn record(&mut self, now: ClockTime, tokens: u64) {
        let is_old = now.since(self.recorded_at) > 2 * self.half_life_ms;
        if is_old || tokens > self.tokens {
            self.tokens = tokens;
            self.recorded_at = now;
        }
    }

    /// Returns the largest recent request, in tokens; 0 if none was recorded for four half-lives.
    pub(super) fn tokens_at(&self, now: ClockTime) -> u64 {
        match now.since(self.recorded_at) > 4 * self.half_life_ms {
            true => 0,
            false => self.tokens,
        }
    }
}
