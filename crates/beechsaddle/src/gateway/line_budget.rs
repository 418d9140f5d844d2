//! The `line_budget` module provides the bound on log lines of calls that went well.

use std::cell::Cell;

use beechsaddle_core::prelude::*;

/// Lines of answered calls in a second. A call that went otherwise is always logged: it is what
/// somebody will ask about, and there is one line of it beside those of its failed attempts.
const LINES_PER_S: u64 = 100;

/// Counts lines by the second.
///
/// Under a burst the lines of calls that went well are the bulk, and writing them takes processor
/// time from the calls. Each call has one line, so that leaving some out keeps the others whole.
#[derive(Debug, Default)]
pub(super) struct LineBudget {
    second: Cell<u64>,
    lines: Cell<u64>,
}

impl LineBudget {
    /// Whether one more line fits into this second; it is counted if so.
    pub(super) fn try_take(&self, now: ClockTime) -> bool {
        let second = now.as_millis() / 1_000;
        if self.second.replace(second) != second {
            self.lines.set(0);
        }
        let lines = self.lines.get();
        self.lines.set(lines + 1);
        lines < LINES_PER_S
    }
}
