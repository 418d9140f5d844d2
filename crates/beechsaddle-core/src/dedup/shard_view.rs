//! The `shard_view` module provides a dedup shard as one router last read or wrote it.

use std::collections::BTreeMap;

use super::{DedupOptions, DedupRecord, DedupShard};
use crate::names::{CallId, RequestKey};

/// The shard size in bytes at which no further key is added. The platform stores up to 1,000,000;
/// the remainder is reserved for releases, which must always fit.
const FULL_BYTES: usize = 700_000;

/// The shard size in bytes at which nothing more is added.
const LIMIT_BYTES: usize = 950_000;

/// The CBOR size of a record without its names, in bytes: field names, numbers and headers, rounded
/// up.
const RECORD_BYTES: usize = 140;

/// The records of one shard, with the time at which each was created at the latest.
#[derive(Clone, Debug, Default)]
pub(super) struct ShardView {
    /// The version of the object; `None` when it does not exist.
    pub(super) version: Option<u64>,
    holders: BTreeMap<RequestKey, CachedHolder>,
    releases: BTreeMap<CallId, CachedRelease>,
    bytes: usize,
}

/// The call that may dispatch a key.
#[derive(Clone, Debug)]
struct CachedHolder {
    call: CallId,
    /// The latest possible creation time in the manager's elapsed time, in milliseconds. Negative
    /// for a record that is older than the manager.
    created_ms: i64,
}

/// A call that released its key.
#[derive(Clone, Debug)]
struct CachedRelease {
    key: RequestKey,
    created_ms: i64,
}

impl ShardView {
    /// Loads the object as read at `elapsed_ms` of the manager's elapsed time.
    pub(super) fn read_object(&mut self, version: u64, shard: DedupShard, elapsed_ms: i64) {
        let holders = std::mem::take(&mut self.holders);
        let releases = std::mem::take(&mut self.releases);
        self.bytes = 0;
        for record in shard.records {
            let stored_ms = elapsed_ms.saturating_sub_unsigned(record.age_ms);
            let DedupRecord { key, call, .. } = record;
            let known_ms = if record.released {
                releases.get(&call).map(|cached| cached.created_ms)
            } else {
                holders
                    .get(&key)
                    .filter(|cached| cached.call == call)
                    .map(|cached| cached.created_ms)
            };
            // The last writer may have observed the record for a shorter time than this router.
            let created_ms = known_ms.map_or(stored_ms, |known_ms| known_ms.min(stored_ms));
            if record.released {
                self.put_release(key, call, created_ms);
            } else {
                self.put_holder(key, call, created_ms);
            }
        }
        self.version = Some(version);
    }

    /// Returns the object with these records.
    pub(super) fn to_object(&self, write_id: String, elapsed_ms: i64) -> DedupShard {
        let holders = self.holders.iter().map(|(key, cached)| DedupRecord {
            key: key.clone(),
            call: cached.call.clone(),
            age_ms: age_ms(cached.created_ms, elapsed_ms),
            released: false,
        });
        let releases = self.releases.iter().map(|(call, cached)| DedupRecord {
            key: cached.key.clone(),
            call: call.clone(),
            age_ms: age_ms(cached.created_ms, elapsed_ms),
            released: true,
        });
        let records = holders.chain(releases).collect();
        DedupShard { write_id, records }
    }

    /// Drops records past their retention.
    pub(super) fn expire(&mut self, options: &DedupOptions, elapsed_ms: i64) {
        self.holders
            .retain(|_, cached| age_ms(cached.created_ms, elapsed_ms) < options.retention_ms);
        self.releases
            .retain(|_, cached| age_ms(cached.created_ms, elapsed_ms) < options.tombstone_ms);
        let holders = self.holders.iter().map(|(key, cached)| (key, &cached.call));
        let releases = self
            .releases
            .iter()
            .map(|(call, cached)| (&cached.key, call));
        self.bytes = holders
            .chain(releases)
            .map(|(key, call)| record_bytes(key, call))
            .sum();
    }

    /// Returns the call that may dispatch `key`.
    pub(super) fn holder(&self, key: &RequestKey) -> Option<&CallId> {
        self.holders.get(key).map(|cached| &cached.call)
    }

    /// Whether `call` released its key.
    pub(super) fn is_released(&self, call: &CallId) -> bool {
        self.releases.contains_key(call)
    }

    /// Gives `key`, which must be free, to `call`.
    pub(super) fn take(&mut self, key: &RequestKey, call: &CallId, elapsed_ms: i64) {
        self.put_holder(key.clone(), call.clone(), elapsed_ms);
    }

    /// Records that `call` released `key`, whether it held the key or not.
    pub(super) fn release(&mut self, key: &RequestKey, call: &CallId, elapsed_ms: i64) {
        if self.holder(key) == Some(call) {
            self.holders.remove(key);
            self.bytes -= record_bytes(key, call);
        }
        self.put_release(key.clone(), call.clone(), elapsed_ms);
    }

    /// Whether no further key may be taken.
    pub(super) fn is_full(&self, options: &DedupOptions) -> bool {
        self.holders.len() >= options.max_records || self.bytes >= FULL_BYTES
    }

    /// Whether the shard has no room for a release.
    pub(super) fn is_at_limit(&self) -> bool {
        self.bytes >= LIMIT_BYTES
    }

    fn put_holder(&mut self, key: RequestKey, call: CallId, created_ms: i64) {
        self.bytes += record_bytes(&key, &call);
        self.holders.insert(key, CachedHolder { call, created_ms });
    }

    fn put_release(&mut self, key: RequestKey, call: CallId, created_ms: i64) {
        self.bytes += record_bytes(&key, &call);
        self.releases
            .insert(call, CachedRelease { key, created_ms });
    }
}

fn age_ms(created_ms: i64, elapsed_ms: i64) -> u64 {
    u64::try_from(elapsed_ms.saturating_sub(created_ms)).unwrap_or(0)
}

fn record_bytes(key: &RequestKey, call: &CallId) -> usize {
    let names = [
        key.workspace.as_str(),
        key.text.as_str(),
        call.router.host.as_str(),
    ];
    RECORD_BYTES + names.iter().map(|name| name.len()).sum::<usize>()
}
