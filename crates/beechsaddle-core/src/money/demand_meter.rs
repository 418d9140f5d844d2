//! The `demand_meter` module provides how fast a budget is spent.

use crate::clock::ClockTime;

/// How long one measurement takes, in milliseconds.
const WINDOW_MS: u64 = 1_000;

/// How long the largest reservation is kept at least, in milliseconds; twice that is the time after
/// which an idle grant is given back.
const BOUND_SPAN_MS: u64 = 30_000;

/// Averages the tokens that a budget's calls use, and how much they reserve.
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
    /// Notes tokens that were used.
    pub(super) fn note_usage(&mut self, now: ClockTime, tokens: u64) {
        self.roll(now);
        self.window_tokens += tokens;
    }

    /// Notes a reservation that was asked for.
    pub(super) fn note_bound(&mut self, now: ClockTime, bound: u64) {
        self.roll(now);
        self.window_bound = self.window_bound.max(bound);
        self.bound = self.bound.max(bound);
        self.span_bound = self.span_bound.max(bound);
    }

    /// Tokens a second, averaged over the last few seconds.
    pub(super) fn rate(&self) -> u64 {
        self.rate
    }

    /// The largest reservation of late.
    pub(super) fn bound(&self) -> u64 {
        self.bound
    }

    /// The largest reservation of the last one to two spans.
    pub(super) fn lasting_bound(&self) -> u64 {
        self.span_bound.max(self.earlier_bound)
    }

    /// Ends the windows that have passed. Rising demand is followed at once, falling demand slowly,
    /// since a grant that is too small refuses requests and one that is too large comes back.
    pub(super) fn roll(&mut self, now: ClockTime) {
        self.roll_bound(now);
        let elapsed_ms = now.since(self.window_start);
        if elapsed_ms < WINDOW_MS {
            return;
        }
        let windows = elapsed_ms / WINDOW_MS;
        let seen = self.window_tokens / windows;
        self.rate = if seen > self.rate {
            seen
        } else {
            let decay = windows.min(32);
            (0..decay).fold(self.rate, |rate, _| {
                rate - rate.saturating_sub(seen).div_ceil(8)
            })
        };
        let kept = (0..windows.min(32)).fold(self.bound, |bound, _| bound - bound / 8);
        self.bound = kept.max(self.window_bound);
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
