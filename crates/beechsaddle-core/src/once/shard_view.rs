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

/// Who may dispatch a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum KeyHolder<'a> {
    /// Nobody has taken it.
    Nobody,
    /// This call, and no other.
    Call(&'a CallId),
    /// This call had it and gave it up; any other may take it.
    Released(&'a CallId),
}

/// The records of one shard, with the time since when each was watched.
#[derive(Clone, Debug, Default)]
pub(super) struct ShardView {
    /// The version of the object; `None` when there is none.
    pub(super) version: Option<u64>,
    records: BTreeMap<RequestKey, SeenRecord>,
    bytes: usize,
}

#[derive(Clone, Debug)]
struct SeenRecord {
    call: CallId,
    released: bool,
    /// The latest time, on the desk's own count of time, at which the record can have been made.
    /// Negative for a record that is older than the desk.
    born_ms: i64,
}

impl ShardView {
    /// Takes in the object as read, `watched_ms` on the desk's own count of time.
    pub(super) fn read_object(&mut self, version: u64, shard: DedupShard, watched_ms: i64) {
        let known = std::mem::take(&mut self.records);
        self.bytes = 0;
        for record in shard.records {
            let told = watched_ms.saturating_sub_unsigned(record.age_ms);
            // The writer before us may have seen the record for a shorter time than we have.
            let born_ms = match known.get(&record.key) {
                Some(seen) if seen.is_same(&record) => seen.born_ms.min(told),
                Some(_) | None => told,
            };
            let seen = SeenRecord {
                call: record.call,
                released: record.released,
                born_ms,
            };
            self.put(record.key, seen);
        }
        self.version = Some(version);
    }

    /// The object that has these records.
    pub(super) fn to_object(&self, write_id: String, watched_ms: i64) -> DedupShard {
        let records = self
            .records
            .iter()
            .map(|(key, seen)| DedupRecord {
                key: key.clone(),
                call: seen.call.clone(),
                age_ms: seen.age_ms(watched_ms),
                released: seen.released,
            })
            .collect();
        DedupShard { write_id, records }
    }

    /// Drops records that have outlived their use.
    pub(super) fn expire(&mut self, options: &OnceOptions, watched_ms: i64) {
        let dead: Vec<RequestKey> = self
            .records
            .iter()
            .filter(|(_, seen)| seen.age_ms(watched_ms) >= seen.life_ms(options))
            .map(|(key, _)| key.clone())
            .collect();
        for key in dead {
            self.remove(&key);
        }
    }

    /// Who may dispatch `key`.
    pub(super) fn holder(&self, key: &RequestKey) -> KeyHolder<'_> {
        match self.records.get(key) {
            None => KeyHolder::Nobody,
            Some(seen) if seen.released => KeyHolder::Released(&seen.call),
            Some(seen) => KeyHolder::Call(&seen.call),
        }
    }

    /// Gives `key` to `call`.
    pub(super) fn take(&mut self, key: &RequestKey, call: &CallId, watched_ms: i64) {
        self.remove(key);
        let seen = SeenRecord {
            call: call.clone(),
            released: false,
            born_ms: watched_ms,
        };
        self.put(key.clone(), seen);
    }

    /// Notes that `call` gave `key` up.
    pub(super) fn release(&mut self, key: &RequestKey, call: &CallId, watched_ms: i64) {
        self.remove(key);
        let seen = SeenRecord {
            call: call.clone(),
            released: true,
            born_ms: watched_ms,
        };
        self.put(key.clone(), seen);
    }

    /// Whether no further key may be taken.
    pub(super) fn is_full(&self, options: &OnceOptions) -> bool {
        self.records.len() >= options.max_records || self.bytes >= FULL_BYTES
    }

    /// Whether not even a release finds room.
    pub(super) fn is_at_limit(&self) -> bool {
        self.bytes >= LIMIT_BYTES
    }

    fn put(&mut self, key: RequestKey, seen: SeenRecord) {
        self.bytes += record_bytes(&key, &seen.call);
        self.records.insert(key, seen);
    }

    fn remove(&mut self, key: &RequestKey) {
        if let Some(seen) = self.records.remove(key) {
            self.bytes -= record_bytes(key, &seen.call);
        }
    }
}

impl SeenRecord {
    fn is_same(&self, record: &DedupRecord) -> bool {
        self.call == record.call && self.released == record.released
    }

    fn age_ms(&self, watched_ms: i64) -> u64 {
        u64::try_from(watched_ms.saturating_sub(self.born_ms)).unwrap_or(0)
    }

    fn life_ms(&self, options: &OnceOptions) -> u64 {
        if self.released {
            options.tombstone_ms
        } else {
            options.retention_ms
        }
    }
}

fn record_bytes(key: &RequestKey, call: &CallId) -> usize {
    let names = [
        key.workspace.as_str(),
        key.text.as_str(),
        call.router.host.as_str(),
    ];
    RECORD_BYTES + names.iter().map(|name| name.len()).sum::<usize>()
}
