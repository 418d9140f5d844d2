//! The `crash_verdict` module provides the decisions on suspects, and on requests by all that they may
//! be suspected for.

use super::SuspectKey;

/// The decision on a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashVerdict {
    /// Requests are routed normally.
    Clear,
    /// The suspect may have crashed targets, but fewer than would have it refused.
    Suspected,
    /// The suspect may have crashed nearly enough targets, or enough but all at once, long ago, or
    /// always together with another suspect: one request at a time is tried in the whole fleet.
    OnTrial,
    /// Requests are refused.
    Blocked {
        /// The remaining time of the refusal, in milliseconds.
        left_ms: u64,
    },
}

/// The decision on a request by all that it may be suspected for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CrashDecision {
    /// The request is routed.
    Admitted,
    /// The request is routed if it may be the trial of each of these.
    OnTrial(Vec<SuspectKey>),
    /// The request is refused because of this suspect.
    Refused { key: SuspectKey, left_ms: u64 },
}
