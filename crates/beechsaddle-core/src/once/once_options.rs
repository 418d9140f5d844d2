//! The `once_options` module provides the settings of dedup records.

/// Settings of the [`OnceDesk`](super::OnceDesk).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OnceOptions {
    /// How many shards the records are spread over. All routers of the fleet must have the same
    /// number: a key in two shards could run twice. It comes from the fleet's layout object.
    pub shard_count: u32,
    /// The least time between two commits of one shard by one router, in milliseconds; records
    /// that arrive meanwhile share the next commit.
    pub commit_period_ms: u64,
    /// How long a call waits for its record, in milliseconds; then it is refused as not run.
    pub record_timeout_ms: u64,
    /// After how many milliseconds without an answer of the picked router the entry router
    /// commits a record itself.
    pub handover_ms: u64,
    /// How long a key is kept from running again, in milliseconds, counted from its record.
    pub retention_ms: u64,
    /// How long a released record keeps its call from being recorded again by a late message, in
    /// milliseconds.
    pub tombstone_ms: u64,
    /// How many records a shard holds; further keys are refused until old records expire.
    pub max_records: usize,
    /// How many calls of this router may wait for a record or for its release.
    pub max_open: usize,
    /// How long the platform is left alone after it could not be reached, in milliseconds; also
    /// the `Retry-After` of the refusals meanwhile.
    pub away_backoff_ms: u64,
}

impl Default for OnceOptions {
    /// The defaults; `docs/ONCE.md` works out their sizes.
    fn default() -> Self {
        OnceOptions {
            shard_count: 512,
            commit_period_ms: 50,
            record_timeout_ms: 1_500,
            handover_ms: 400,
            retention_ms: 24 * 60 * 60 * 1_000,
            tombstone_ms: 10 * 60 * 1_000,
            max_records: 3_000,
            max_open: 4_096,
            away_backoff_ms: 1_000,
        }
    }
}
