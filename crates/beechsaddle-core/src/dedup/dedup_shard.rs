//! The `dedup_shard` module provides the durable records of dispatched calls.

use serde::{Deserialize, Serialize};

use crate::names::{CallId, RequestKey};

/// The dedup records of one shard, stored at `dedup/<shard>`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DedupShard {
    /// The id of the last write, for readers that need to know its origin. Writers recognise their
    /// own records by the call.
    pub write_id: String,
    /// One record for each key that a call holds, and one for each call that released its key.
    pub records: Vec<DedupRecord>,
}

/// The right to dispatch one not-repeatable key, held by one call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DedupRecord {
    pub key: RequestKey,
    /// The call that may dispatch the key.
    pub call: CallId,
    /// The minimum age of the record at the shard's last write, in milliseconds. Committers add
    /// only time that they observed themselves, so that clocks of two hosts are never compared.
    pub age_ms: u64,
    /// Whether the call released the key without dispatching: any other call may take the key, and
    /// this call never gets it again.
    #[serde(default, skip_serializing_if = "is_false")]
    pub released: bool,
}

fn is_false(value: &bool) -> bool {
    !*value
}
