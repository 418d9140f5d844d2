//! The `dedup_options` module provides the settings of dedup records.

/// Settings of the [`DedupManager`](super::DedupManager).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DedupOptions {
    /// How many shards hold the records. The number comes from the fleet's layout object and must
    /// be the same on all routers: a key in two shards could run twice.
    pub shard_count: u32,
    /// The shortest time between two commits of one shard by one router, in milliseconds; records
    /// that arrive in between share the next commit.
    pub commit_period_ms: u64,
    /// How long a call waits for its record before it is refused as not run, in milliseconds.
    pub record_timeout_ms: u64,
    /// How long the entry router waits for the committer's reply before it commits a record itself,
    /// in milliseconds.
    pub handover_ms: u64,
    /// How long a key is barred from running again, in milliseconds, counted from its record.
    pub retention_ms: u64,
    /// How long a released record prevents a late message from recording its call again, in
    /// milliseconds.
    pub tombstone_ms: u64,
    /// The largest number of records in a shard; further keys are refused until old records expire.
    pub max_records: usize,
    /// The largest number of calls of this router that wait for a record or its release.
    pub max_open: usize,
    /// How long no platform calls are made after the platform was unreachable, in milliseconds;
    /// also the `Retry-After` of refusals during that time.
    pub unavailable_backoff_ms: u64,
}

impl Default for DedupOptions {
    /// The defaults; `docs/ONCE.md` derives their sizes.
    fn default() -> Self {
        DedupOptions {
            shard_count: 512,
            commit_period_ms: 50,
            record_timeout_ms: 1_500,
            handover_ms: 400,
            retention_ms: 24 * 60 * 60 * 1_000,
            tombstone_ms: 10 * 60 * 1_000,
            max_records: 3_000,
            max_open: 4_096,
            unavailable_backoff_ms: 1_000,
        }
    }
}
