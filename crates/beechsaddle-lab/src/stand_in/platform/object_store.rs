//! The `object_store` module provides versioned objects in memory.

use std::collections::BTreeMap;
use std::ops::Bound;

use bytes::Bytes;

/// How many objects a list or a watch answers with at most.
const PAGE_OBJECTS: usize = 1000;

/// How many bytes of values a watch answers with at most, unless one object alone is larger.
const PAGE_BYTES: usize = 4_000_000;

/// Objects by key, and the last change of each by revision.
#[derive(Debug, Default)]
pub struct ObjectStore {
    revision: u64,
    objects: BTreeMap<String, StoredValue>,
    changes: BTreeMap<u64, String>,
}

/// A value with the revision at which it was written.
#[derive(Clone, Debug)]
pub struct StoredValue {
    /// The revision of the last change.
    pub version: u64,
    /// The value; `None` once deleted.
    pub value: Option<Bytes>,
}

/// The condition of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeGuard {
    /// There is no such object.
    Absent,
    /// The object has this version.
    Version(u64),
}

/// The outcome of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// Changed, at this revision.
    Changed(u64),
    /// The condition did not hold.
    Conflict,
    /// There was nothing to delete.
    Missing,
}

/// Objects and the revision up to which they are complete.
#[derive(Clone, Debug)]
pub struct ObjectPage {
    /// The revision.
    pub revision: u64,
    /// The objects with their keys.
    pub objects: Vec<(String, StoredValue)>,
}

impl ObjectStore {
    /// The object of that key.
    pub fn get(&self, key: &str) -> Option<&StoredValue> {
        self.objects
            .get(key)
            .filter(|stored| stored.value.is_some())
    }

    /// Writes, or deletes when there is no value.
    pub fn change(&mut self, key: &str, value: Option<Bytes>, guard: ChangeGuard) -> ChangeOutcome {
        let version = self.get(key).map(|stored| stored.version);
        let holds = match guard {
            ChangeGuard::Absent => version.is_none(),
            ChangeGuard::Version(wanted) => version == Some(wanted),
        };
        if value.is_none() && version.is_none() {
            return ChangeOutcome::Missing;
        }
        if !holds {
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

    /// The first objects under a prefix after a key, in key order.
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

    /// What changed under a prefix after a revision, oldest first.
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
                // The page ends before this object, so the next watch has to start before it.
                page.revision = revision - 1;
                break;
            }
            page.objects.push((key.clone(), stored.clone()));
        }
        page
    }
}
