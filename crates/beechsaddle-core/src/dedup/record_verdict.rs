//! The `record_verdict` module provides records that wait for a commit, and the outcomes of
//! commits.

use crate::clock::ClockTime;
use crate::names::{CallId, RequestKey, RouterIncarnation};
use crate::refusal::CallRefusal;

/// The router that requested a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum RecordOrigin {
    /// This router, for its own call.
    Own,
    /// Another router, for its own call.
    Peer {
        router: RouterIncarnation,
        /// The router's peer address.
        address: String,
    },
}

/// A record that is not yet durable.
#[derive(Clone, Debug)]
pub(super) struct WaitingRecord {
    pub(super) key: RequestKey,
    pub(super) origin: RecordOrigin,
    pub(super) since: ClockTime,
    /// The record's position in the order in which the shard's committer received them.
    pub(super) sequence: u64,
    /// Whether a write with the record was sent and its outcome is unknown.
    pub(super) write_unknown: bool,
}

/// The outcome of a record's commit.
#[derive(Clone, Debug)]
pub(super) struct RecordVerdict {
    pub(super) call: CallId,
    pub(super) record: WaitingRecord,
    pub(super) outcome: Result<(), CallRefusal>,
}
