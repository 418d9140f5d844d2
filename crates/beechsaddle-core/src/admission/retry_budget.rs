//! The `retry_budget` module provides a limit on retries as a share of recent requests.

use super::WindowSum;
use crate::clock::ClockTime;

/// The window over which requests and retries are counted, in milliseconds.
const BUDGET_SPAN_MS: u64 = 10_000;

/// Limits the retries of a router.
///
/// When all targets fail, three attempts per call would triple the load when the targets can handle
/// the least, and prevent their recovery. A limit relative to requests bounds the load at any
/// failure rate and still allows retries around a single bad target.
#[derive(Debug)]
pub struct RetryBudget {
    share_permille: u64,
    floor: u64,
    requests: WindowSum,
    retries: WindowSum,
}

impl RetryBudget {
    /// Creates a budget of `share_permille` thousandths of the requests of the last ten seconds,
    /// but at least `floor` retries in ten seconds.
    pub fn new(share_permille: u64, floor: u64) -> Self {
        RetryBudget {
            share_permille,
            floor,
            requests: WindowSum::new(BUDGET_SPAN_MS),
            retries: WindowSum::new(BUDGET_SPAN_MS),
        }
    }

    /// Records the first attempt of a call.
    pub fn requested(&mut self, now: ClockTime) {
        self.requests.add(now, 1);
    }

    /// Takes one retry from the budget. Returns `false` if the budget is exhausted.
    pub fn try_take(&mut self, now: ClockTime) -> bool {
        let allowed = self.requests.sum(now) * self.share_permille / 1_000;
        if self.retries.sum(now) >= allowed.max(self.floor) {
            return false;
        }
        self.retries.add(now, 1);
        true
    }
}
