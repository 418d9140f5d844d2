//! The `retry_budget` module provides a bound on retries as a share of recent requests.

use super::WindowSum;
use crate::clock::ClockTime;

/// The span over which requests and retries are compared, in milliseconds.
const BUDGET_SPAN_MS: u64 = 10_000;

/// Bounds the retries of a router.
///
/// When every target fails, retrying each call three times makes three times the load at the
/// moment when the targets can take the least, and keeps them from coming back. Retries as a share
/// of requests bound the load at any failure rate, and still cover a single bad target.
#[derive(Debug)]
pub struct RetryBudget {
    share_permille: u64,
    floor: u64,
    requests: WindowSum,
    retries: WindowSum,
}

impl RetryBudget {
    /// A budget of `share_permille` thousandths of the requests of the last ten seconds, and of
    /// `floor` retries in ten seconds when there are few requests.
    pub fn new(share_permille: u64, floor: u64) -> Self {
        RetryBudget {
            share_permille,
            floor,
            requests: WindowSum::new(BUDGET_SPAN_MS),
            retries: WindowSum::new(BUDGET_SPAN_MS),
        }
    }

    /// Notes the first attempt of a call.
    pub fn requested(&mut self, now: ClockTime) {
        self.requests.add(now, 1);
    }

    /// Takes one retry, unless the budget is used up. Tells whether it did.
    pub fn try_take(&mut self, now: ClockTime) -> bool {
        let allowed = self.requests.sum(now) * self.share_permille / 1_000;
        if self.retries.sum(now) >= allowed.max(self.floor) {
            return false;
        }
        self.retries.add(now, 1);
        true
    }
}
