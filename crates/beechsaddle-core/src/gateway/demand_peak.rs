//! The `demand_peak` module provides the largest request of the last while.

use crate::clock::ClockTime;

/// The largest recent request.
#[derive(Clone, Copy, Debug)]
pub(super) struct DemandPeak {
    half_life_ms: u64,
    tokens: u64,
    noted_at: ClockTime,
}

impl DemandPeak {
    /// No request so far; `half_life_ms` is that of the average demand beside it.
    pub(super) fn new(half_life_ms: u64) -> Self {
        DemandPeak {
            half_life_ms,
            tokens: 0,
            noted_at: ClockTime::default(),
        }
    }

    /// Notes a request. A smaller one takes the place of the largest once that is old.
    pub(super) fn note(&mut self, now: ClockTime, tokens: u64) {
        let is_old = now.since(self.noted_at) > 2 * self.half_life_ms;
        if is_old || tokens > self.tokens {
            self.tokens = tokens;
            self.noted_at = now;
        }
    }

    /// The largest recent request, in tokens; 0 where none was noted for long.
    pub(super) fn tokens_at(&self, now: ClockTime) -> u64 {
        match now.since(self.noted_at) > 4 * self.half_life_ms {
            true => 0,
            false => self.tokens,
        }
    }
}
