//! The `kept_ledger` module provides what a keeper knows of a ledger in the store: its revision, how old that knowledge
//! is, and when it may be written.

use beechsaddle_core::prelude::*;

/// The shortest time between two writes of a ledger that no call waits for.
const CALM_SPAN_MS: u64 = 2_500;

/// Over how long the first writes of a ledger are spread, in milliseconds. The keepers of a fleet that starts find
/// all ledgers in the same moment, long before callers come.
const FIRST_SPREAD_MS: u64 = 2_000;

/// A ledger as it was last seen, and when.
#[derive(Clone, Copy, Debug)]
pub(super) struct KeptLedger {
    /// The newest revision that is known.
    pub(super) revision: u64,
    /// When it was known to be the newest.
    pub(super) seen_at: ClockTime,
    /// When it was last written here; before that, when it may be.
    pub(super) written_at: ClockTime,
    /// Whether it was written here.
    pub(super) is_written: bool,
}

impl KeptLedger {
    /// A ledger that was found now and not written yet.
    pub(super) fn new(now: ClockTime, revision: u64) -> Self {
        KeptLedger {
            revision,
            seen_at: now,
            written_at: now.plus_ms(rand::random_range(0..=FIRST_SPREAD_MS)),
            is_written: false,
        }
    }

    /// Whether it may be written although no call waits. One that was not written yet may be once the spread
    /// that was drawn for it is over.
    pub(super) fn is_calm(&self, now: ClockTime) -> bool {
        let span_ms = match self.is_written {
            true => CALM_SPAN_MS,
            false => 1,
        };
        now.since(self.written_at) >= span_ms
    }
}
