//! The `catalogue_log` module provides the latest changes, for peers that are behind.

use std::collections::VecDeque;

use super::CatalogueChange;

/// The most entries in all kept changes together: bounds the memory that the log takes.
const EDITS_MAX: usize = 4_096;

/// The latest changes, without gaps.
#[derive(Debug)]
pub(super) struct CatalogueLog {
    changes: VecDeque<CatalogueChange>,
    edits: usize,
    length: usize,
}

impl CatalogueLog {
    /// A log of at most `length` changes.
    pub fn new(length: usize) -> Self {
        CatalogueLog {
            changes: VecDeque::new(),
            edits: 0,
            length,
        }
    }

    /// Adds the change that was just applied.
    pub fn push(&mut self, change: CatalogueChange) {
        self.edits += change.edits.len();
        self.changes.push_back(change);
        while self.changes.len() > self.length || self.edits > EDITS_MAX {
            let Some(oldest) = self.changes.pop_front() else {
                break;
            };
            self.edits -= oldest.edits.len();
        }
    }

    /// Forgets all changes, after a base took their place.
    pub fn clear(&mut self) {
        self.changes.clear();
        self.edits = 0;
    }

    /// The changes after a revision, at most `count`; `None` when they are not all kept.
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
