//! The `demand_meter` module provides the measured demand on a budget.

use crate::clock::ClockTime;

/// Length of a measurement window, in milliseconds.
const WINDOW_MS: u64 = 1_000;

/// Minimum time for which the largest reservation is retained, in milliseconds; an idle grant is
/// returned after twice this time.
const BOUND_SPAN_MS: u64 = 30_000;

/// Averages the tokens that a budget's calls use and reserve.
#[derive(Debug, Default)]
pub(super) struct DemandMeter {
    window_start: ClockTime,
    window_tokens: u64,
    window_bound: u64,
    rate: u64,
    bound: u64,
    bound_start: ClockTime,
    span_bound: u64,
    earlier_bound: u64,
}

impl DemandMeter {
    /// Records used tokens.
    pub(super) fn record_usage(&mut self, now: ClockTime, tokens: u64) {
        self.roll(now);
        self.window_tokens += tokens;
    }

    /// Records the size of a requested reservation.
    pub(super) fn record_bound(&mut self, now: ClockTime, bound: u64) {
        self.roll(now);
        self.window_bound = self.window_bound.max(bound);
        self.bound = self.bound.max(bound);
        self.span_bound = self.span_bound.max(bound);
    }

    /// Returns the usage in tokens per second, averaged over the last few seconds.
    pub(super) fn rate(&self) -> u64 {
        self.rate
    }

    /// Returns the largest recent reservation, decaying by an eighth per window.
    pub(super) fn bound(&self) -> u64 {
        self.bound
    }

    /// Returns the largest reservation of the last one to two spans of `BOUND_SPAN_MS`.
    pub(super) fn peak_bound(&self) -> u64 {
        self.span_bound.max(self.earlier_bound)
    }

    /// Closes the windows that have elapsed. The rate follows rising demand at once and falling
    /// demand slowly, since too small a grant refuses requests while too large a one is returned.
    pub(super) fn roll(&mut self, now: ClockTime) {
        self.roll_bound(now);
        let elapsed_ms = now.since(self.window_start);
        if elapsed_ms < WINDOW_MS {
            return;
        }
        let windows = elapsed_ms / WINDOW_MS;
        let measured = self.window_tokens / windows;
        self.rate = if measured > self.rate {
            measured
        } else {
            let decay = windows.min(32);
            (0..decay).fold(self.rate, |rate, _| {
                rate - rate.saturating_sub(measured).div_ceil(8)
            })
        };
        let decayed = (0..windows.min(32)).fold(self.bound, |bound, _| bound - bound / 8);
        self.bound = decayed.max(self.window_bound);
        self.window_tokens = 0;
        self.window_bound = 0;
        self.window_start = now;
    }

    fn roll_bound(&mut self, now: ClockTime) {
        let elapsed_ms = now.since(self.bound_start);
        if elapsed_ms < BOUND_SPAN_MS {
            return;
        }
        self.earlier_bound = match elapsed_ms < 2 * BOUND_SPAN_MS {
            true => self.span_bound,
            false => 0,
        };
        self.span_bound = 0;
        self.bound_start = now;
    }
}
