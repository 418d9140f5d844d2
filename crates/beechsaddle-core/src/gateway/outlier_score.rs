//! The `outlier_score` module provides the share of a target's recent attempts that failed.

use super::DemandRate;
use crate::clock::ClockTime;

/// Half-life of failures, in milliseconds: a target that recovers is back in use within seconds.
const HALF_LIFE_MS: u64 = 4_000;

/// Number of assumed successes, so that a single failure of a target with little traffic has little
/// weight.
const ASSUMED_SUCCESSES: f64 = 3.0;

/// The recent failure rate of one target.
#[derive(Clone, Copy, Debug)]
pub struct OutlierScore {
    attempts: DemandRate,
    failures: DemandRate,
}

impl OutlierScore {
    /// Creates a score without failures.
    pub fn new(now: ClockTime) -> Self {
        OutlierScore {
            attempts: DemandRate::new(HALF_LIFE_MS, now),
            failures: DemandRate::new(HALF_LIFE_MS, now),
        }
    }

    /// Records the end of an attempt.
    pub fn record(&mut self, now: ClockTime, is_failure: bool) {
        self.attempts.add(now, 1.0);
        if is_failure {
            self.failures.add(now, 1.0);
        }
    }

    /// Returns the share of recent attempts that failed, from 0 to 1.
    pub fn failure_share(&self, now: ClockTime) -> f64 {
        let attempts = self.attempts.level_at(now) + ASSUMED_SUCCESSES;
        self.failures.level_at(now) / attempts
    }
}
