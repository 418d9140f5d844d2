//! The `record_verdict` module provides a record on its way to the platform and what came of it.

use crate::clock::ClockTime;
use crate::names::{CallId, RequestKey, RouterIncarnation};
use crate::refusal::CallRefusal;

/// Who asked for a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum RecordAsker {
    /// This router, for a call of its own.
    Own,
    /// Another router, for a call of its own.
    Peer {
        /// The router.
        router: RouterIncarnation,
        /// Where it listens.
        address: String,
    },
}

/// A record that is not yet durable.
#[derive(Clone, Debug)]
pub(super) struct WaitingRecord {
    pub(super) key: RequestKey,
    pub(super) asker: RecordAsker,
    pub(super) since: ClockTime,
    /// Counts the records that were put to the shard's committer.
    pub(super) question: u64,
    /// Whether a write that holds the record was sent and its outcome is not known.
    pub(super) in_doubt: bool,
}

/// What came of a record.
#[derive(Clone, Debug)]
pub(super) struct RecordVerdict {
    pub(super) call: CallId,
    pub(super) record: WaitingRecord,
    pub(super) outcome: Result<(), CallRefusal>,
}
