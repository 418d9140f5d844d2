//! The `dedup` module provides dedup records for calls that may not be repeated.

mod commit_reply;
mod dedup_manager;
mod dedup_options;
mod dedup_shard;
mod open_record;
mod platform_availability;
mod record_outcome;
mod record_verdict;
mod shard_committer;
mod shard_view;

pub use dedup_manager::DedupManager;
pub use dedup_options::DedupOptions;
pub use dedup_shard::{DedupRecord, DedupShard};
