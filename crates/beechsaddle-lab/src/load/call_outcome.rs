//! The `call_outcome` module provides how a call ended for its caller.

use std::time::Duration;

/// How one try of a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The whole answer came, and it bears the call's own mark.
    Answered(AnswerTimes),
    /// A refusal that can be read came.
    Refused(ReadRefusal),
    /// The answer is another call's.
    Crossed,
    /// The answer ended as if it were whole, and is not: the worst kind of truncation.
    Short,
    /// The connection broke, or nothing came in time; the caller knows that it knows nothing.
    Broken,
}

/// When the parts of an answer came, counted from the time at which the call should have been sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerTimes {
    /// To the first token; for calls without a stream the same as `whole`.
    pub first: Duration,
    /// To the end.
    pub whole: Duration,
    /// The longest wait between two tokens.
    pub longest_gap: Duration,
    /// The tokens that the answer says it cost.
    pub tokens: u64,
}

/// A refusal as a caller reads it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadRefusal {
    /// Why.
    pub reason: String,
    /// Whether it says that the call did not run.
    pub not_run: bool,
    /// After how many milliseconds it says that coming back helps.
    pub retry_after_ms: Option<u64>,
    /// The router's id of the call, under which its attempts are known at the targets.
    pub call: String,
}
