//! The `line_budget` module provides the bound on log lines under load.

use std::cell::Cell;

use beechsaddle_core::prelude::*;

/// Calls a second that are logged whatever becomes of them: some hundred lines. Beyond that their
/// lines would be the bulk of what a router does in a burst.
const CALLS_PER_S: u64 = 30;

/// Failed calls a second that are logged beside those. They are what somebody will ask about; a flood
/// of refusals is told by its counters and its first hundred lines of each second.
const FAILURES_PER_S: u64 = 100;

/// Bounds the calls that are logged, by the second.
#[derive(Debug, Default)]
pub(super) struct LineBudget {
    second: Cell<u64>,
    calls: Cell<u64>,
    failures: Cell<u64>,
}

impl LineBudget {
    /// Whether the lines of a call that arrives now are written; it is counted if so.
    pub(super) fn try_take_call(&self, now: ClockTime) -> bool {
        self.begin_second(now);
        try_count(&self.calls, CALLS_PER_S)
    }

    /// Whether the lines of a call that failed are written, though it was not picked at its arrival.
    pub(super) fn try_take_failure(&self, now: ClockTime) -> bool {
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
