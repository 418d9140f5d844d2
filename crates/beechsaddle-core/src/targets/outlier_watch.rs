//! The `outlier_watch` module provides passive ejection: calls tell which targets are bad.

use super::TargetOptions;
use crate::call::AttemptFailure;
use crate::clock::ClockTime;

/// What own calls tell of one target.
#[derive(Debug, Default)]
pub struct OutlierWatch {
    failures_in_row: u32,
    ejections: u32,
    ejected_until: Option<ClockTime>,
    last_ejected: ClockTime,
    busy_until: ClockTime,
}

impl OutlierWatch {
    /// Whether the target is ejected.
    pub fn is_ejected(&self, now: ClockTime) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Whether the target said lately that it is busy.
    pub fn is_busy(&self, now: ClockTime) -> bool {
        now < self.busy_until
    }

    /// A call got its answer.
    pub fn succeeded(&mut self) {
        self.failures_in_row = 0;
    }

    /// A call failed. Tells whether the target should be ejected for it.
    pub fn failed(
        &mut self,
        now: ClockTime,
        failure: AttemptFailure,
        options: &TargetOptions,
    ) -> bool {
        match failure {
            AttemptFailure::TargetBusy => {
                // Ejecting a target for being busy would push its load onto the others, which are
                // busy as well, one after the other. It only gets a pause.
                self.busy_until = now.plus_ms(options.busy_ms);
                false
            }
            AttemptFailure::ConnectFailed
            | AttemptFailure::ConnectionLost
            | AttemptFailure::TimedOut
            | AttemptFailure::ServerError
            | AttemptFailure::WrongAttempt
            | AttemptFailure::BadAnswer => {
                self.failures_in_row = self.failures_in_row.saturating_add(1);
                self.failures_in_row >= options.eject_after
            }
        }
    }

    /// Ejects the target, each time for longer.
    pub fn eject(&mut self, now: ClockTime, options: &TargetOptions) {
        // A target that was well for long starts over. Answers alone do not clear it: a slow target
        // answers as well, and would come back every few seconds to be found slow again.
        if now.since(self.last_ejected) > options.eject_max_ms * 2 {
            self.ejections = 0;
        }
        self.last_ejected = now;
        let doublings = self.ejections.min(16);
        let span = options.eject_base_ms.saturating_mul(1 << doublings);
        self.ejected_until = Some(now.plus_ms(span.min(options.eject_max_ms)));
        self.ejections = self.ejections.saturating_add(1);
        self.failures_in_row = 0;
    }

    /// Ends an ejection whose time is over. Tells whether one ended.
    pub fn take_returned(&mut self, now: ClockTime) -> bool {
        let returned = self.ejected_until.is_some_and(|until| now >= until);
        if returned {
            self.ejected_until = None;
        }
        returned
    }
}
