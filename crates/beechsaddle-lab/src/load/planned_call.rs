//! The `planned_call` module provides one call that the load tool is going to send.

use std::time::Duration;

use super::CallKind;

/// A call with everything about it fixed in advance, so that one seed gives one load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedCall {
    /// Counts the calls of a run.
    pub number: u64,
    /// When it is sent, after the start of the run.
    pub offset: Duration,
    /// What kind it is.
    pub kind: CallKind,
    /// The index of the workspace that sends it.
    pub workspace: usize,
    /// Its idempotency key, which is also the mark that its answer has to bear.
    pub key: String,
    /// The index of the prompt's shared beginning within the workspace.
    pub opening: u64,
    /// The most tokens that it may generate.
    pub max_tokens: u64,
}
