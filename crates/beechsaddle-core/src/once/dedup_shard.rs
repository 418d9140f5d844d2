//! The `dedup_shard` module provides the durable records of dispatched calls.

use serde::{Deserialize, Serialize};

use crate::names::{CallId, RequestKey};

/// Some dedup records, at `dedup/<shard>`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DedupShard {
    /// The id of the last write, for those who read the object to find out who wrote it. Writers
    /// recognise their own records by the call.
    pub write_id: String,
    /// The records: one for each key that a call holds, and one for each call that gave its key up.
    pub records: Vec<DedupRecord>,
}

/// The right to dispatch one not-repeatable key, held by one call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DedupRecord {
    /// The key.
    pub key: RequestKey,
    /// The call that may dispatch it.
    pub call: CallId,
    /// How old the record is at least, in milliseconds, as of the shard's last write. Committers
    /// add only time that they have themselves watched pass, so that no two clocks are compared.
    pub age_ms: u64,
    /// Whether the call gave its right up without dispatching: any other call may take the key, and
    /// this one never gets it again.
    #[serde(default, skip_serializing_if = "is_false")]
    pub released: bool,
}

fn is_false(value: &bool) -> bool {
    !*value
}
