//! The `cached_ledger` module provides what an allocator knows of a ledger in the store: its revision, the
//! age of that knowledge, and when the ledger may be written.

use beechsaddle_core::prelude::*;

/// Minimum interval between two writes of a ledger while no call waits for a write, in
/// milliseconds.
const IDLE_WRITE_INTERVAL_MS: u64 = 2_500;

/// Period over which the first writes of ledgers are spread, in milliseconds. The allocators of a starting
/// fleet read all ledgers at the same time, long before the first calls arrive.
const FIRST_WRITE_JITTER_MS: u64 = 2_000;

/// The cached state of a ledger.
#[derive(Clone, Copy, Debug)]
pub(super) struct CachedLedger {
    /// The newest known revision.
    pub(super) revision: u64,
    /// When that revision was last known to be the newest.
    pub(super) seen_at: ClockTime,
    /// When this router last wrote the ledger; before the first write, the time from which it may write.
    pub(super) written_at: ClockTime,
    /// Whether this router has written the ledger.
    pub(super) is_written: bool,
}

impl CachedLedger {
    /// Creates the entry of a ledger that was just read and not written yet.
    pub(super) fn new(now: ClockTime, revision: u64) -> Self {
        CachedLedger {
            revision,
            seen_at: now,
            written_at: now.plus_ms(rand::random_range(0..=FIRST_WRITE_JITTER_MS)),
            is_written: false,
        }
    }

    /// Whether the ledger may be written although no call waits. The first write is allowed once its random
    /// delay is over.
    pub(super) fn may_write_idle(&self, now: ClockTime) -> bool {
        let interval_ms = match self.is_written {
            true => IDLE_WRITE_INTERVAL_MS,
            false => 1,
        };
        now.since(self.written_at) >= interval_ms
    }
}
