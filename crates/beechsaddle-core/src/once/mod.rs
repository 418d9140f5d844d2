//! The `once` module provides dedup records of calls that may not be repeated.

mod commit_reply;
mod dedup_shard;
mod once_desk;
mod once_options;
mod open_record;
mod platform_away;
mod record_outcome;
mod record_verdict;
mod shard_committer;
mod shard_view;

pub use dedup_shard::{DedupRecord, DedupShard};
pub use once_desk::OnceDesk;
pub use once_options::OnceOptions;
