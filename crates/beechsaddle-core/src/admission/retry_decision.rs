//! The `retry_decision` module provides the outcome of the retry decision.

use crate::refusal::CallRefusal;

/// The action after a failed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try another target now.
    Retry,
    /// Refuse the call.
    Refuse {
        /// The answer to the caller.
        refusal: CallRefusal,
        /// Whether the exhausted retry budget was the only reason.
        budget_empty: bool,
    },
    /// Part of the answer was already sent: cut it off so that the caller notices.
    Abort,
}
