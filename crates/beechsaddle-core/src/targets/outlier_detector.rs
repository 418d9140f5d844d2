//! The `outlier_detector` module provides passive outlier detection from the outcomes of calls.

use super::TargetOptions;
use crate::call::AttemptFailure;
use crate::clock::ClockTime;

/// The outcomes of this router's calls to one target.
#[derive(Debug, Default)]
pub struct OutlierDetector {
    consecutive_failures: u32,
    ejections: u32,
    ejected_until: Option<ClockTime>,
    last_ejected_at: ClockTime,
    busy_until: ClockTime,
}

impl OutlierDetector {
    pub fn is_ejected(&self, now: ClockTime) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Whether the target recently refused a call as busy.
    pub fn is_busy(&self, now: ClockTime) -> bool {
        now < self.busy_until
    }

    /// Records a successful call.
    pub fn succeeded(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Records a failed call. Returns whether the target should be ejected.
    pub fn failed(
        &mut self,
        now: ClockTime,
        failure: AttemptFailure,
        options: &TargetOptions,
    ) -> bool {
        match failure {
            AttemptFailure::TargetBusy => {
                // Ejecting a busy target would move its load to the others, which are busy too,
                // until all are ejected. The target is only avoided for a short time.
                self.busy_until = now.plus_ms(options.busy_ms);
                false
            }
            AttemptFailure::ConnectFailed
            | AttemptFailure::ConnectionLost
            | AttemptFailure::TimedOut
            | AttemptFailure::ServerError
            | AttemptFailure::WrongAttempt
            | AttemptFailure::BadAnswer => {
                self.consecutive_failures = self.consecutive_failures.saturating_add(1);
                self.consecutive_failures >= options.eject_after
            }
        }
    }

    /// Ejects the target, for twice as long each time.
    pub fn eject(&mut self, now: ClockTime, options: &TargetOptions) {
        // The ejection time starts over after a long period without ejections. Successful answers
        // alone do not reset it: a slow target also answers, and would return every few seconds to
        // be ejected again.
        if now.since(self.last_ejected_at) > options.eject_max_ms * 2 {
            self.ejections = 0;
        }
        self.last_ejected_at = now;
        let doublings = self.ejections.min(16);
        let duration_ms = options.eject_base_ms.saturating_mul(1 << doublings);
        self.ejected_until = Some(now.plus_ms(duration_ms.min(options.eject_max_ms)));
        self.ejections = self.ejections.saturating_add(1);
        self.consecutive_failures = 0;
    }

    /// Ends an ejection whose time has passed. Returns whether one ended.
    pub fn take_expired_ejection(&mut self, now: ClockTime) -> bool {
        let expired = self.ejected_until.is_some_and(|until| now >= until);
        if expired {
            self.ejected_until = None;
        }
        expired
    }
}
