//! The `catalogue_log` module provides the latest changes for peers with an older revision.

use std::collections::VecDeque;

use super::CatalogueChange;

/// The maximum number of edits in all retained changes, which bounds the log's memory.
const MAX_EDITS: usize = 4_096;

/// The latest changes, without gaps.
#[derive(Debug)]
pub(super) struct CatalogueLog {
    changes: VecDeque<CatalogueChange>,
    edits: usize,
    capacity: usize,
}

impl CatalogueLog {
    /// Creates a log of at most `capacity` changes.
    pub fn new(capacity: usize) -> Self {
        CatalogueLog {
            changes: VecDeque::new(),
            edits: 0,
            capacity,
        }
    }

    /// Appends an applied change and drops the oldest beyond the limits.
    pub fn push(&mut self, change: CatalogueChange) {
        self.edits += change.edits.len();
        self.changes.push_back(change);
        while self.changes.len() > self.capacity || self.edits > MAX_EDITS {
            let Some(oldest) = self.changes.pop_front() else {
                break;
            };
            self.edits -= oldest.edits.len();
        }
    }

    /// Drops all changes after a base was loaded.
    pub fn clear(&mut self) {
        self.changes.clear();
        self.edits = 0;
    }

    /// Returns at most `count` changes after a revision; `None` when one of them is no longer
    /// retained.
    pub fn after(&self, revision: u64, count: usize) -> Option<Vec<CatalogueChange>> {
        let oldest = self.changes.front()?;
        if oldest.revision > revision + 1 {
            return None;
        }
        let newer = self
            .changes
            .iter()
            .filter(|change| change.revision > revision);
        Some(newer.take(count).cloned().collect())
    }
}
