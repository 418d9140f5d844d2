//! The `repeat_rule` module provides the rules for retrying a request after attempts without a
//! usable answer.

use super::RouteKind;

/// The end of an attempt that returned no usable answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptEnd {
    /// No connection was made; nothing of the request was sent.
    Unsent,
    /// The target's host refused the connection: no process serves the address.
    Refused,
    /// The router reaches no target, neither by itself nor through another router.
    NoPath,
    /// The target was withdrawn before anything was sent to it.
    Withdrawn,
    /// The target asked for rest before anything was sent to it.
    Resting,
    /// Another process has the target's address, and did not run the request.
    Misdirected,
    /// The target reported that it did not run the request, and never will.
    NotRun,
    /// The target reported a failure.
    Failed,
    /// The connection broke, or the answer did not match the request.
    Broken,
    /// Nothing was received for too long.
    Silent,
    /// Another attempt of the request answered first, and this one was cancelled.
    Superseded,
}

impl AttemptEnd {
    /// Whether the request may have run, or may still run.
    pub fn may_have_run(self) -> bool {
        match self {
            AttemptEnd::Unsent
            | AttemptEnd::Refused
            | AttemptEnd::NoPath
            | AttemptEnd::Withdrawn
            | AttemptEnd::Resting
            | AttemptEnd::Misdirected
            | AttemptEnd::NotRun => false,
            AttemptEnd::Failed
            | AttemptEnd::Broken
            | AttemptEnd::Silent
            | AttemptEnd::Superseded => true,
        }
    }

    /// Whether a target saw the request, so that another attempt is one more arrival.
    pub fn is_arrival(self) -> bool {
        match self {
            AttemptEnd::Unsent
            | AttemptEnd::Refused
            | AttemptEnd::NoPath
            | AttemptEnd::Withdrawn
            | AttemptEnd::Resting => false,
            AttemptEnd::Misdirected
            | AttemptEnd::NotRun
            | AttemptEnd::Failed
            | AttemptEnd::Broken
            | AttemptEnd::Silent
            | AttemptEnd::Superseded => true,
        }
    }

    /// Returns the name of the end in logs and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            AttemptEnd::Unsent => "unsent",
            AttemptEnd::Refused => "refused",
            AttemptEnd::NoPath => "no_path",
            AttemptEnd::Withdrawn => "withdrawn",
            AttemptEnd::Resting => "resting",
            AttemptEnd::Misdirected => "misdirected",
            AttemptEnd::NotRun => "not_run",
            AttemptEnd::Failed => "failed",
            AttemptEnd::Broken => "broken",
            AttemptEnd::Silent => "silent",
            AttemptEnd::Superseded => "superseded",
        }
    }
}

/// The attempts of one request so far.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AttemptHistory {
    sent: u32,
    unsent: u32,
    refused: u32,
    misdirected: u32,
    may_have_run: bool,
}

/// Number of failed connections that are allowed for one request. Each may take a connect timeout.
const UNSENT_MAX: u32 = 4;

/// Number of misdirected attempts that are allowed for one request. The target that was chosen has
/// not seen the request, so they use up none of the route's attempts; each is charged to the retry
/// budget.
const MISDIRECTED_MAX: u32 = 3;

/// Number of refused connections that are allowed for one request. Each takes one round trip, so
/// that a request reaches a running target although most of a service's targets have just crashed.
const REFUSED_MAX: u32 = 16;

impl AttemptHistory {
    /// Records the end of an attempt.
    pub fn record(&mut self, end: AttemptEnd) {
        match end {
            AttemptEnd::Refused => self.refused += 1,
            AttemptEnd::Misdirected => self.misdirected += 1,
            _ if end.is_arrival() => self.sent += 1,
            _ => self.unsent += 1,
        }
        self.may_have_run |= end.may_have_run();
    }

    /// Returns the number of targets that the request was sent to.
    pub fn sent(&self) -> u32 {
        self.sent
    }

    /// Returns the number of attempts that reached any process.
    pub fn arrivals(&self) -> u32 {
        self.sent + self.misdirected
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
        let may_connect = self.unsent < UNSENT_MAX && self.refused < REFUSED_MAX;
        let may_send = self.sent < attempts_max && self.misdirected < MISDIRECTED_MAX;
        is_safe && may_send && may_connect
    }
}
