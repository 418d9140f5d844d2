//! The `outlier_score` module provides the share of a target's recent attempts that failed.

use super::DemandRate;
use crate::clock::ClockTime;

/// How fast failures are forgotten: a target that recovers is back in use within seconds.
const HALF_LIFE_MS: u64 = 4_000;

/// Attempts that are assumed to have gone well, so that one failure of a quiet target says little.
const ASSUMED_SUCCESSES: f64 = 3.0;

/// Recent failures of one target.
#[derive(Clone, Copy, Debug)]
pub struct OutlierScore {
    attempts: DemandRate,
    failures: DemandRate,
}

impl OutlierScore {
    /// A score without failures.
    pub fn new(now: ClockTime) -> Self {
        OutlierScore {
            attempts: DemandRate::new(HALF_LIFE_MS, now),
            failures: DemandRate::new(HALF_LIFE_MS, now),
        }
    }

    /// Notes the end of an attempt.
    pub fn note(&mut self, now: ClockTime, is_failure: bool) {
        self.attempts.add(now, 1.0);
        if is_failure {
            self.failures.add(now, 1.0);
        }
    }

    /// The share of recent attempts that failed, from 0 to 1.
    pub fn failure_share(&self, now: ClockTime) -> f64 {
        let attempts = self.attempts.level_at(now) + ASSUMED_SUCCESSES;
        self.failures.level_at(now) / attempts
    }
}
