//! The `log_sampler` module provides a rate limit for log lines of calls.

use std::cell::Cell;

use beechsaddle_core::prelude::*;

/// Number of calls per second that are logged regardless of their outcome: some hundred lines. Above that,
/// logging would be most of a router's work in a burst.
const CALLS_PER_S: u64 = 30;

/// Number of further failed calls per second that are logged, since failures are what operators look up.
/// Counters cover the rest of a flood of refusals.
const FAILURES_PER_S: u64 = 100;

/// Limits the number of calls that are logged per second.
#[derive(Debug, Default)]
pub(super) struct LogSampler {
    second: Cell<u64>,
    calls: Cell<u64>,
    failures: Cell<u64>,
}

impl LogSampler {
    /// Whether to log a call that arrives now; counts it if so.
    pub(super) fn try_sample_call(&self, now: ClockTime) -> bool {
        self.begin_second(now);
        try_count(&self.calls, CALLS_PER_S)
    }

    /// Whether to log a failed call that was not sampled at its arrival; counts it if so.
    pub(super) fn try_sample_failure(&self, now: ClockTime) -> bool {
        self.begin_second(now);
        try_count(&self.failures, FAILURES_PER_S)
    }

    fn begin_second(&self, now: ClockTime) {
        let second = now.as_millis() / 1_000;
        if self.second.replace(second) != second {
            self.calls.set(0);
            self.failures.set(0);
        }
    }
}

fn try_count(count: &Cell<u64>, most: u64) -> bool {
    let fits = count.get() < most;
    if fits {
        count.set(count.get() + 1);
    }
    fits
}
