//! The `change_log` module provides the latest changes of one kind of objects, for routers that
//! follow another router instead of the store.

use std::collections::VecDeque;
use std::sync::Arc;

/// The largest number of retained batches. A follower that is further behind lists all objects from
/// the store; at one batch every 0.4 s this is half a minute, longer than most partitions from
/// which a router can still catch up by changes.
const BATCHES_MAX: usize = 64;

/// The largest number of retained bytes: a few of the largest configurations, a small part of a
/// host's memory.
const BYTES_MAX: usize = 2 * 1_024 * 1_024;

/// Changes that the store returned together, encoded once for all followers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeBatch {
    /// The revision after the changes.
    pub revision: u64,
    /// The encoded changes.
    pub body: Arc<[u8]>,
}

/// The answer to a follower that knows everything up to a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeReply {
    /// Changes, the oldest first.
    Changes(Vec<ChangeBatch>),
    /// No newer changes are known.
    Nothing,
    /// Changes after that revision are no longer retained.
    Gone,
}

/// The latest changes of one kind of objects, without gaps.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    batches: VecDeque<ChangeBatch>,
    bytes: usize,
    start: u64,
    revision: u64,
}

impl ChangeLog {
    /// Clears the log and starts it at a revision.
    pub fn restart(&mut self, revision: u64) {
        self.batches.clear();
        self.bytes = 0;
        self.start = revision;
        self.revision = revision;
    }

    /// Returns the newest known revision; 0 before the first.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Adds changes that lead from the newest revision to `revision`.
    pub fn add(&mut self, revision: u64, body: impl Into<Arc<[u8]>>) {
        if revision <= self.revision {
            return;
        }
        let batch = ChangeBatch {
            revision,
            body: body.into(),
        };
        self.revision = revision;
        self.bytes += batch.body.len();
        self.batches.push_back(batch);
        while self.batches.len() > BATCHES_MAX || self.bytes > BYTES_MAX {
            self.drop_oldest();
        }
    }

    /// Records that nothing changed up to a revision.
    pub fn record_unchanged(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Returns the changes after a revision.
    pub fn since(&self, revision: u64) -> ChangeReply {
        if self.revision == 0 || revision < self.start {
            return ChangeReply::Gone;
        }
        let newer = self
            .batches
            .iter()
            .filter(|batch| batch.revision > revision);
        let newer: Vec<_> = newer.cloned().collect();
        match newer.is_empty() {
            true => ChangeReply::Nothing,
            false => ChangeReply::Changes(newer),
        }
    }

    fn drop_oldest(&mut self) {
        if let Some(batch) = self.batches.pop_front() {
            self.bytes -= batch.body.len();
            self.start = batch.revision;
        }
    }
}
