//! The `segment_sweeper` module provides the deletion of segments that no reader needs any more.

use std::collections::{BTreeMap, VecDeque};

use super::journal_name::segment_key;
use crate::clock::ClockTime;
use crate::names::{KeyText, ObjectKey};
use crate::platform::{PlatformCall, PlatformReply};

/// Minimum time between two deletions, in milliseconds, so that they do not crowd out writes.
const SWEEP_PERIOD_MS: u64 = 100;

/// Deletes own segments before the last durable checkpoint, one at a time. A segment that cannot be
/// deleted stays, which is harmless since readers start at the checkpoint.
#[derive(Debug, Default)]
pub(super) struct SegmentSweeper {
    versions: BTreeMap<u64, u64>,
    queue: VecDeque<(ObjectKey, u64)>,
    is_sent: bool,
    sent_at: ClockTime,
}

impl SegmentSweeper {
    /// Records a durable segment.
    pub(super) fn record(&mut self, number: u64, version: u64) {
        self.versions.insert(number, version);
    }

    /// Queues all segments before a durable checkpoint for deletion.
    pub(super) fn sweep_before(&mut self, journal: &KeyText, checkpoint: u64) {
        let retained = self.versions.split_off(&checkpoint);
        let swept = std::mem::replace(&mut self.versions, retained);
        for (number, version) in swept {
            self.queue
                .push_back((segment_key(journal, number), version));
        }
    }

    /// Drops all queued deletions of a closed journal; its segments belong to the router that folds
    /// it.
    pub(super) fn reset(&mut self) {
        self.versions.clear();
        self.queue.clear();
    }

    /// Returns the platform call that is due, if any.
    pub(super) fn next_call(&mut self, now: ClockTime) -> Option<PlatformCall> {
        if self.is_sent || now.since(self.sent_at) < SWEEP_PERIOD_MS {
            return None;
        }
        let (key, version) = self.queue.front()?.clone();
        self.is_sent = true;
        self.sent_at = now;
        Some(PlatformCall::Delete { key, version })
    }

    /// Handles the reply to the call that was sent.
    pub(super) fn on_reply(&mut self, reply: &PlatformReply) {
        self.is_sent = false;
        match reply {
            PlatformReply::Throttled { .. } | PlatformReply::Unreachable => {}
            _ => {
                self.queue.pop_front();
            }
        }
    }
}
