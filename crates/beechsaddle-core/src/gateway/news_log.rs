//! The `news_log` module provides the latest changes of one kind of objects, for routers that follow another
//! router instead of the store.

use std::collections::VecDeque;
use std::sync::Arc;

/// How many batches are kept. Whoever is further behind asks the store for all objects; at a batch every
/// 0.4 s this is half a minute, longer than a router may be cut off and still catch up by changes.
const BATCHES_MAX: usize = 64;

/// How many bytes of batches are kept: a few of the largest configurations, a small part of a host's memory.
const BYTES_MAX: usize = 2 * 1_024 * 1_024;

/// Changes that the store told together, encoded once for all that ask.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewsBatch {
    /// The revision that they lead to.
    pub revision: u64,
    /// The changes.
    pub body: Arc<[u8]>,
}

/// What a log has for one that knows everything up to a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NewsReply {
    /// Changes, the oldest first.
    News(Vec<NewsBatch>),
    /// Nothing newer is known.
    Nothing,
    /// Changes after that revision are not kept.
    Gone,
}

/// The latest changes of one kind of objects, without a gap.
#[derive(Clone, Debug, Default)]
pub struct NewsLog {
    batches: VecDeque<NewsBatch>,
    bytes: usize,
    start: u64,
    revision: u64,
}

impl NewsLog {
    /// Begins anew at a revision: what came before is not known.
    pub fn restart(&mut self, revision: u64) {
        self.batches.clear();
        self.bytes = 0;
        self.start = revision;
        self.revision = revision;
    }

    /// The newest revision that is known; 0 before the first.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Adds changes that lead from the newest revision to `revision`.
    pub fn add(&mut self, revision: u64, body: impl Into<Arc<[u8]>>) {
        if revision <= self.revision {
            return;
        }
        let batch = NewsBatch {
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

    /// Notes that nothing changed up to a revision.
    pub fn note_unchanged(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// The changes after a revision.
    pub fn since(&self, revision: u64) -> NewsReply {
        if self.revision == 0 || revision < self.start {
            return NewsReply::Gone;
        }
        let newer = self
            .batches
            .iter()
            .filter(|batch| batch.revision > revision);
        let newer: Vec<_> = newer.cloned().collect();
        match newer.is_empty() {
            true => NewsReply::Nothing,
            false => NewsReply::News(newer),
        }
    }

    fn drop_oldest(&mut self) {
        if let Some(batch) = self.batches.pop_front() {
            self.bytes -= batch.body.len();
            self.start = batch.revision;
        }
    }
}
