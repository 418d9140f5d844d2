//! The `dedup_shard` module provides the durable records of dispatched calls.

use serde::{Deserialize, Serialize};

use crate::clock::ClockTime;
use crate::names::{CallId, RequestKey};

/// Some dedup records, at `dedup/<shard>`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DedupShard {
    /// The id of the last write, so that a writer whose answer was lost can recognise its write.
    pub write_id: String,
    /// The records.
    pub records: Vec<DedupRecord>,
}

/// The right to dispatch one not-repeatable key, held by one call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DedupRecord {
    /// The key.
    pub key: RequestKey,
    /// The call that may dispatch it.
    pub call: CallId,
    /// When the record was made; old records are dropped after the retention time.
    pub made: ClockTime,
}
