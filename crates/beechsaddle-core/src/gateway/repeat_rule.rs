//! The `repeat_rule` module provides the rules for retrying a request after attempts without a
//! usable answer.

use super::RouteKind;

/// The end of an attempt that returned no usable answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptEnd {
    /// No connection was made; nothing of the request was sent.
    Unsent,
    /// The target reported that it did not run the request, and never will.
    NotRun,
    /// The target reported a failure.
    Failed,
    /// The connection broke, or the answer did not match the request.
    Broken,
    /// Nothing was received for too long.
    Silent,
}

impl AttemptEnd {
    /// Whether the request may have run, or may still run.
    pub fn may_have_run(self) -> bool {
        match self {
            AttemptEnd::Unsent | AttemptEnd::NotRun => false,
            AttemptEnd::Failed | AttemptEnd::Broken | AttemptEnd::Silent => true,
        }
    }

    /// Whether a target saw the request, so that another attempt is one more arrival.
    pub fn is_arrival(self) -> bool {
        self != AttemptEnd::Unsent
    }

    /// Returns the name of the end in logs and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            AttemptEnd::Unsent => "unsent",
            AttemptEnd::NotRun => "not_run",
            AttemptEnd::Failed => "failed",
            AttemptEnd::Broken => "broken",
            AttemptEnd::Silent => "silent",
        }
    }
}

/// The attempts of one request so far.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AttemptHistory {
    sent: u32,
    unsent: u32,
    may_have_run: bool,
}

/// Number of failed connections that are allowed for one request. Each may take a connect timeout.
const UNSENT_MAX: u32 = 4;

impl AttemptHistory {
    /// Records the end of an attempt.
    pub fn record(&mut self, end: AttemptEnd) {
        match end.is_arrival() {
            true => self.sent += 1,
            false => self.unsent += 1,
        }
        self.may_have_run |= end.may_have_run();
    }

    /// Returns the number of targets that the request was sent to.
    pub fn sent(&self) -> u32 {
        self.sent
    }

    /// Whether any attempt may have run.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Whether the rules allow another attempt, before the retry budget is checked.
    ///
    /// A request that may run only once and may have run is never sent again: the caller learns
    /// that the outcome is unknown. This needs no stored record, since one attempt of a caller is
    /// one request on one connection of one router.
    pub fn allows_another(&self, kind: RouteKind, attempts_max: u32) -> bool {
        let is_safe = kind.may_repeat() || !self.may_have_run;
        is_safe && self.sent < attempts_max && self.unsent < UNSENT_MAX
    }
}
