//! The `completion_log` module provides the record of prompt parts whose requests ran to completion
//! lately.

use std::collections::BTreeSet;

use super::SuspectKey;
use crate::clock::ClockTime;

/// How long a completion is remembered at least, in milliseconds. A part that begins to crash
/// targets, for example with a release of their software, is suspected that much later.
const SPAN_MS: u64 = 10_000;

/// The largest number of parts in each half of the record. Beyond it, completions are remembered
/// for a shorter time.
const PARTS_MAX: usize = 8_192;

/// The parts whose requests ran to completion at this router lately.
///
/// A part that crashes each target that runs it never completes. Most parts on a target that
/// crashes are in use elsewhere at the time and complete all the while, so that they need not be
/// suspected.
#[derive(Clone, Debug, Default)]
pub struct CompletionLog {
    recent: BTreeSet<SuspectKey>,
    older: BTreeSet<SuspectKey>,
    began_at: ClockTime,
}

impl CompletionLog {
    /// Records that a request with the part ran to completion.
    pub fn record(&mut self, now: ClockTime, part: SuspectKey) {
        self.advance(now);
        self.recent.insert(part);
    }

    /// Whether a request with the part completed lately.
    pub fn contains(&mut self, now: ClockTime, part: SuspectKey) -> bool {
        self.advance(now);
        self.recent.contains(&part) || self.older.contains(&part)
    }

    fn advance(&mut self, now: ClockTime) {
        let age_ms = now.since(self.began_at);
        if age_ms < SPAN_MS && self.recent.len() < PARTS_MAX {
            return;
        }
        self.older = std::mem::take(&mut self.recent);
        if age_ms >= 2 * SPAN_MS {
            self.older.clear();
        }
        self.began_at = now;
    }
}
