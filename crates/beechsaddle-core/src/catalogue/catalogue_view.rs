//! The `catalogue_view` module provides the catalogue in force at one router.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::shared_names::SharedNames;
use super::{
    CatalogueBase, CatalogueChange, CatalogueEntry, EntryEdit, EntryId, EntryKind, ModelEntry,
    ServiceEntry, WorkspaceEntry,
};
use crate::call::KeyDigest;
use crate::names::{ModelName, ServiceName, WorkspaceName};

/// The catalogue at one revision. The revision only increases.
#[derive(Clone, Debug, Default)]
pub struct CatalogueView {
    revision: u64,
    workspaces: BTreeMap<WorkspaceName, (u64, Arc<WorkspaceEntry>)>,
    services: BTreeMap<ServiceName, (u64, Arc<ServiceEntry>)>,
    models: BTreeMap<ModelName, (u64, Arc<ModelEntry>)>,
    keys: BTreeMap<KeyDigest, WorkspaceName>,
    names: SharedNames,
}

impl CatalogueView {
    /// Creates an empty catalogue at revision zero, which admits no call.
    pub fn new() -> Self {
        CatalogueView::default()
    }

    /// The revision in effect; zero when there is none.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the workspace that a key belongs to.
    pub fn workspace_of(&self, digest: &KeyDigest) -> Option<Arc<WorkspaceEntry>> {
        let name = self.keys.get(digest)?;
        self.workspace(name)
    }

    pub fn workspace(&self, name: &WorkspaceName) -> Option<Arc<WorkspaceEntry>> {
        self.workspaces
            .get(name)
            .map(|(_, entry)| Arc::clone(entry))
    }

    pub fn service(&self, name: &ServiceName) -> Option<Arc<ServiceEntry>> {
        self.services.get(name).map(|(_, entry)| Arc::clone(entry))
    }

    pub fn model(&self, name: &ModelName) -> Option<Arc<ModelEntry>> {
        self.models.get(name).map(|(_, entry)| Arc::clone(entry))
    }

    pub fn models(&self) -> impl Iterator<Item = &Arc<ModelEntry>> {
        self.models.values().map(|(_, entry)| entry)
    }

    pub fn services(&self) -> impl Iterator<Item = &Arc<ServiceEntry>> {
        self.services.values().map(|(_, entry)| entry)
    }

    /// Returns all entries with the revision of their last change, in the order of their ids.
    pub fn entries(&self) -> BTreeMap<EntryId, (u64, CatalogueEntry)> {
        let workspaces = self
            .workspaces
            .values()
            .map(|(revision, entry)| (*revision, CatalogueEntry::Workspace((**entry).clone())));
        let services = self
            .services
            .values()
            .map(|(revision, entry)| (*revision, CatalogueEntry::Service((**entry).clone())));
        let models = self
            .models
            .values()
            .map(|(revision, entry)| (*revision, CatalogueEntry::Model((**entry).clone())));
        workspaces
            .chain(services)
            .chain(models)
            .map(|(revision, entry)| (entry.id(), (revision, entry)))
            .collect()
    }

    /// Returns the whole catalogue, for a router too far behind for single changes.
    pub fn base(&self) -> CatalogueBase {
        CatalogueBase {
            revision: self.revision,
            entries: self.entries().into_values().collect(),
        }
    }

    /// Replaces the view by a base if that is newer. Returns whether it was.
    pub fn load_base(&mut self, parts: impl IntoIterator<Item = CatalogueBase>) -> bool {
        let mut view = CatalogueView::new();
        for part in parts {
            view.revision = view.revision.max(part.revision);
            for (revision, entry) in part.entries {
                view.put(revision, entry);
            }
        }
        // An older base comes from a peer that lags or from a router that was cut off. It would
        // restore replaced entries.
        if view.revision <= self.revision {
            return false;
        }
        *self = view;
        true
    }

    /// Applies the change that creates the next revision. Returns whether it did: an older change
    /// is ignored, and one after a gap has to wait for those before it.
    pub fn apply(&mut self, change: &CatalogueChange) -> bool {
        if change.revision != self.revision + 1 {
            return false;
        }
        for edit in &change.edits {
            match edit {
                EntryEdit::Put(entry) => self.put(change.revision, entry.clone()),
                EntryEdit::Remove(id) => self.remove(id),
                EntryEdit::Budget(_) => {}
            }
        }
        self.revision = change.revision;
        true
    }

    fn put(&mut self, revision: u64, mut entry: CatalogueEntry) {
        self.remove(&entry.id());
        self.names.share(&mut entry);
        match entry {
            CatalogueEntry::Workspace(entry) => {
                for digest in &entry.keys {
                    self.keys.insert(*digest, entry.name.clone());
                }
                self.workspaces
                    .insert(entry.name.clone(), (revision, Arc::new(entry)));
            }
            CatalogueEntry::Service(entry) => {
                self.services
                    .insert(entry.name.clone(), (revision, Arc::new(entry)));
            }
            CatalogueEntry::Model(entry) => {
                self.models
                    .insert(entry.name.clone(), (revision, Arc::new(entry)));
            }
        }
    }

    fn remove(&mut self, id: &EntryId) {
        match id.kind {
            EntryKind::Workspace => {
                if let Some((_, entry)) = self.workspaces.remove(id.name.as_str()) {
                    self.remove_keys(&entry);
                }
            }
            EntryKind::Service => {
                self.services.remove(id.name.as_str());
            }
            EntryKind::Model => {
                self.models.remove(id.name.as_str());
            }
        }
    }

    /// Removes the workspace's keys by lookup instead of a scan of all keys. A key that was since
    /// given to another workspace stays with that.
    fn remove_keys(&mut self, entry: &WorkspaceEntry) {
        for digest in &entry.keys {
            if self.keys.get(digest) == Some(&entry.name) {
                self.keys.remove(digest);
            }
        }
    }
}
