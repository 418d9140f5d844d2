//! The `object_store` module provides an in-memory store of versioned objects.

use std::collections::BTreeMap;
use std::ops::Bound;

use bytes::Bytes;

/// The largest number of objects in one response to a list or a watch.
const PAGE_OBJECTS: usize = 1000;

/// The most bytes of values in one response to a watch, unless a single object is larger.
const PAGE_BYTES: usize = 4_000_000;

/// Objects by key, and their keys by the revision of the last change.
#[derive(Debug, Default)]
pub struct ObjectStore {
    revision: u64,
    objects: BTreeMap<String, StoredValue>,
    changes: BTreeMap<u64, String>,
}

/// A value and the revision at which it was written.
#[derive(Clone, Debug)]
pub struct StoredValue {
    /// The revision of the last change.
    pub version: u64,
    /// The value; `None` after a delete.
    pub value: Option<Bytes>,
}

/// The condition of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeGuard {
    /// The object must not exist.
    Absent,
    /// The object must have this version.
    Version(u64),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// The change was applied at this revision.
    Changed(u64),
    /// The condition failed.
    Conflict,
    /// The object to delete does not exist.
    Missing,
}

/// A page of objects that is complete up to a revision.
#[derive(Clone, Debug)]
pub struct ObjectPage {
    /// The revision up to which the page is complete.
    pub revision: u64,
    /// The objects and their keys.
    pub objects: Vec<(String, StoredValue)>,
}

impl ObjectStore {
    /// Returns an object that exists and is not deleted.
    pub fn get(&self, key: &str) -> Option<&StoredValue> {
        self.objects
            .get(key)
            .filter(|stored| stored.value.is_some())
    }

    /// Writes a value, or deletes the object if there is none.
    pub fn change(&mut self, key: &str, value: Option<Bytes>, guard: ChangeGuard) -> ChangeOutcome {
        let version = self.get(key).map(|stored| stored.version);
        let is_met = match guard {
            ChangeGuard::Absent => version.is_none(),
            ChangeGuard::Version(required) => version == Some(required),
        };
        if value.is_none() && version.is_none() {
            return ChangeOutcome::Missing;
        }
        if !is_met {
            return ChangeOutcome::Conflict;
        }
        self.revision += 1;
        let stored = StoredValue {
            version: self.revision,
            value,
        };
        if let Some(replaced) = self.objects.insert(key.to_owned(), stored) {
            self.changes.remove(&replaced.version);
        }
        self.changes.insert(self.revision, key.to_owned());
        ChangeOutcome::Changed(self.revision)
    }

    /// Returns the first objects under a prefix after a key, in key order.
    pub fn list(&self, prefix: &str, after: Option<&str>) -> ObjectPage {
        let start = match after {
            Some(after) if after >= prefix => Bound::Excluded(after),
            _ => Bound::Included(prefix),
        };
        let objects = self
            .objects
            .range::<str, _>((start, Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(_, stored)| stored.value.is_some())
            .take(PAGE_OBJECTS)
            .map(|(key, stored)| (key.clone(), stored.clone()))
            .collect();
        ObjectPage {
            revision: self.revision,
            objects,
        }
    }

    /// Returns the changes under a prefix after a revision, oldest first.
    pub fn changed_after(&self, prefix: &str, after: u64) -> ObjectPage {
        let mut page = ObjectPage {
            revision: self.revision.max(after),
            objects: Vec::new(),
        };
        let mut bytes = 0;
        let newer = (Bound::Excluded(after), Bound::Unbounded);
        for (revision, key) in self.changes.range(newer) {
            if !key.starts_with(prefix) {
                continue;
            }
            let Some(stored) = self.objects.get(key) else {
                continue;
            };
            bytes += stored.value.as_ref().map_or(0, Bytes::len);
            let full = page.objects.len() == PAGE_OBJECTS || bytes > PAGE_BYTES;
            if full && !page.objects.is_empty() {
                // The page ends before this object, so that the next watch starts with it.
                page.revision = revision - 1;
                break;
            }
            page.objects.push((key.clone(), stored.clone()));
        }
        page
    }
}
