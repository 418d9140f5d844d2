//! The `planned_call` module provides a call that the load tool will send.

use std::time::Duration;

use super::CallKind;

/// A call whose parameters are all fixed in advance, so that a load is reproducible from its seed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedCall {
    /// Sequence number of the call in its run.
    pub number: u64,
    /// Planned sending time, from the start of the run.
    pub offset: Duration,
    pub kind: CallKind,
    /// Index of the workspace that sends it.
    pub workspace: usize,
    /// Its idempotency key, which is also the mark that its response must contain.
    pub key: String,
    /// Index of the shared prompt prefix within the workspace.
    pub prefix: u64,
    /// Maximum number of tokens to generate.
    pub max_tokens: u64,
}
