//! The `retry_decision` module provides what follows a failed attempt.

use crate::refusal::CallRefusal;

/// What to do after a failed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try another target now.
    Retry,
    /// Give the caller this final answer.
    Refuse {
        /// The answer.
        refusal: CallRefusal,
        /// Whether only the retry budget stood against another attempt.
        budget_empty: bool,
    },
    /// Bytes went to the caller already: break off the answer visibly.
    Abort,
}
