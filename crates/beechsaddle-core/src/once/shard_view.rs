//! The `shard_view` module provides a dedup shard as one router last saw it.

use std::collections::BTreeMap;

use super::{DedupRecord, DedupShard, OnceOptions};
use crate::names::{CallId, RequestKey};

/// The size of a shard in bytes from which on no key is added: the platform holds 1,000,000, and
/// the rest is for releases, which must always find room.
const FULL_BYTES: usize = 700_000;

/// The size of a shard in bytes from which on nothing is added.
const LIMIT_BYTES: usize = 950_000;

/// What a record takes in CBOR besides its names: field names, numbers and headers, rounded up.
const RECORD_BYTES: usize = 140;

/// The records of one shard, with the time since when each was watched.
#[derive(Clone, Debug, Default)]
pub(super) struct ShardView {
    /// The version of the object; `None` when there is none.
    pub(super) version: Option<u64>,
    holders: BTreeMap<RequestKey, SeenHolder>,
    releases: BTreeMap<CallId, SeenRelease>,
    bytes: usize,
}

/// The call that may dispatch a key.
#[derive(Clone, Debug)]
struct SeenHolder {
    call: CallId,
    /// The latest time, on the desk's own count of time, at which the record can have been made.
    /// Negative for a record that is older than the desk.
    born_ms: i64,
}

/// A call that gave its key up.
#[derive(Clone, Debug)]
struct SeenRelease {
    key: RequestKey,
    born_ms: i64,
}

impl ShardView {
    /// Takes in the object as read, `watched_ms` on the desk's own count of time.
    pub(super) fn read_object(&mut self, version: u64, shard: DedupShard, watched_ms: i64) {
        let holders = std::mem::take(&mut self.holders);
        let releases = std::mem::take(&mut self.releases);
        self.bytes = 0;
        for record in shard.records {
            let told_ms = watched_ms.saturating_sub_unsigned(record.age_ms);
            let DedupRecord { key, call, .. } = record;
            let known_ms = if record.released {
                releases.get(&call).map(|seen| seen.born_ms)
            } else {
                holders
                    .get(&key)
                    .filter(|seen| seen.call == call)
                    .map(|seen| seen.born_ms)
            };
            // The last writer may have watched the record for a shorter time than this router.
            let born_ms = known_ms.map_or(told_ms, |known_ms| known_ms.min(told_ms));
            if record.released {
                self.put_release(key, call, born_ms);
            } else {
                self.put_holder(key, call, born_ms);
            }
        }
        self.version = Some(version);
    }

    /// The object that has these records.
    pub(super) fn to_object(&self, write_id: String, watched_ms: i64) -> DedupShard {
        let holders = self.holders.iter().map(|(key, seen)| DedupRecord {
            key: key.clone(),
            call: seen.call.clone(),
            age_ms: age_ms(seen.born_ms, watched_ms),
            released: false,
        });
        let releases = self.releases.iter().map(|(call, seen)| DedupRecord {
            key: seen.key.clone(),
            call: call.clone(),
            age_ms: age_ms(seen.born_ms, watched_ms),
            released: true,
        });
        let records = holders.chain(releases).collect();
        DedupShard { write_id, records }
    }

    /// Drops records that have outlived their use.
    pub(super) fn expire(&mut self, options: &OnceOptions, watched_ms: i64) {
        self.holders
            .retain(|_, seen| age_ms(seen.born_ms, watched_ms) < options.retention_ms);
        self.releases
            .retain(|_, seen| age_ms(seen.born_ms, watched_ms) < options.tombstone_ms);
        let holders = self.holders.iter().map(|(key, seen)| (key, &seen.call));
        let releases = self.releases.iter().map(|(call, seen)| (&seen.key, call));
        self.bytes = holders
            .chain(releases)
            .map(|(key, call)| record_bytes(key, call))
            .sum();
    }

    /// The call that may dispatch `key`.
    pub(super) fn holder(&self, key: &RequestKey) -> Option<&CallId> {
        self.holders.get(key).map(|seen| &seen.call)
    }

    /// Whether `call` gave its key up.
    pub(super) fn is_released(&self, call: &CallId) -> bool {
        self.releases.contains_key(call)
    }

    /// Gives `key`, which nobody has, to `call`.
    pub(super) fn take(&mut self, key: &RequestKey, call: &CallId, watched_ms: i64) {
        self.put_holder(key.clone(), call.clone(), watched_ms);
    }

    /// Notes that `call` gave `key` up, whether it had it or not.
    pub(super) fn release(&mut self, key: &RequestKey, call: &CallId, watched_ms: i64) {
        if self.holder(key) == Some(call) {
            self.holders.remove(key);
            self.bytes -= record_bytes(key, call);
        }
        self.put_release(key.clone(), call.clone(), watched_ms);
    }

    /// Whether no further key may be taken.
    pub(super) fn is_full(&self, options: &OnceOptions) -> bool {
        self.holders.len() >= options.max_records || self.bytes >= FULL_BYTES
    }

    /// Whether not even a release finds room.
    pub(super) fn is_at_limit(&self) -> bool {
        self.bytes >= LIMIT_BYTES
    }

    fn put_holder(&mut self, key: RequestKey, call: CallId, born_ms: i64) {
        self.bytes += record_bytes(&key, &call);
        self.holders.insert(key, SeenHolder { call, born_ms });
    }

    fn put_release(&mut self, key: RequestKey, call: CallId, born_ms: i64) {
        self.bytes += record_bytes(&key, &call);
        self.releases.insert(call, SeenRelease { key, born_ms });
    }
}

fn age_ms(born_ms: i64, watched_ms: i64) -> u64 {
    u64::try_from(watched_ms.saturating_sub(born_ms)).unwrap_or(0)
}

fn record_bytes(key: &RequestKey, call: &CallId) -> usize {
    let names = [
        key.workspace.as_str(),
        key.text.as_str(),
        call.router.host.as_str(),
    ];
    RECORD_BYTES + names.iter().map(|name| name.len()).sum::<usize>()
}
