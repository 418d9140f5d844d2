//! The `once` module provides dedup records of calls that may not be repeated.

mod dedup_shard;

pub use dedup_shard::{DedupRecord, DedupShard};
