//! The `change_relay` module provides the latest changes known to this router, for itself and for
//! the routers that follow it.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};

use beechsaddle_core::gateway::{ChangeLog, ChangeReply, SourceSelector};
use beechsaddle_platform::{ObjectKind, StoreChanges, StoreListing};
use tokio::sync::Notify;

use super::config_follow::ConfigLinks;
use super::config_relay::ConfigRelay;

/// The known changes of one kind of objects.
#[derive(Debug, Default)]
struct KindHistory {
    log: ChangeLog,
    /// The revision of each object, to find what a listing changes.
    revisions: BTreeMap<String, u64>,
}

/// The known changes, and the choice of the router to follow.
#[derive(Default)]
pub(in crate::gateway) struct ChangeRelay {
    /// The choice of the store or a router to follow.
    pub(in crate::gateway) choice: RefCell<SourceSelector>,
    /// Wakes requests of routers that follow this one.
    pub(in crate::gateway) changed: Notify,
    /// The latest versions of the configuration.
    pub(super) configs: ConfigRelay,
    /// The following of the configuration through other routers.
    pub(super) config_links: ConfigLinks,
    kinds: RefCell<BTreeMap<ObjectKind, KindHistory>>,
    /// Kinds that this router currently watches in the store.
    watched: RefCell<BTreeSet<ObjectKind>>,
}

impl ChangeRelay {
    /// Records the first listing of a kind.
    pub(in crate::gateway) fn begin(&self, kind: ObjectKind, listing: &StoreListing) {
        let mut kinds = self.kinds.borrow_mut();
        let known = kinds.entry(kind).or_default();
        known.log.restart(listing.revision);
        known.revisions = listing.revisions();
    }

    /// Records a later listing; its differences are relayed.
    ///
    /// # Errors
    ///
    /// Returns an error if the changes cannot be encoded; routers that follow this one then ask the
    /// store.
    pub(in crate::gateway) fn try_record_listing(
        &self,
        kind: ObjectKind,
        listing: &StoreListing,
    ) -> Result<(), serde_json::Error> {
        let mut kinds = self.kinds.borrow_mut();
        let known = kinds.entry(kind).or_default();
        let changes = listing.changes_since(&known.revisions);
        known.revisions = listing.revisions();
        self.add(kind, known, &changes)
    }

    /// Records changes to be relayed.
    ///
    /// # Errors
    ///
    /// Returns an error if they cannot be encoded; routers that follow this one then ask the store.
    pub(in crate::gateway) fn try_record_changes(
        &self,
        kind: ObjectKind,
        changes: &StoreChanges,
    ) -> Result<(), serde_json::Error> {
        let mut kinds = self.kinds.borrow_mut();
        let known = kinds.entry(kind).or_default();
        for event in &changes.events {
            let object = &event.object;
            match event.is_removed {
                true => known.revisions.remove(object.name()),
                false => known
                    .revisions
                    .insert(object.name().to_owned(), object.revision()),
            };
        }
        self.add(kind, known, changes)
    }

    fn add(
        &self,
        kind: ObjectKind,
        known: &mut KindHistory,
        changes: &StoreChanges,
    ) -> Result<(), serde_json::Error> {
        // Configurations are relayed as differences between the versions that were applied.
        let is_empty = changes.events.is_empty() && changes.unreadable.is_empty();
        if is_empty || kind == ObjectKind::Config {
            known.log.record_unchanged(changes.revision);
            return Ok(());
        }
        match changes.try_encode() {
            Ok(body) => known.log.add(changes.revision, body),
            // A log with a gap would hide changes.
            Err(error) => {
                known.log.restart(changes.revision);
                return Err(error);
            }
        }
        self.changed.notify_waiters();
        Ok(())
    }

    /// Sets whether this router watches a kind in the store.
    ///
    /// An answer of the store does not show whether anything changed: only a router that watches a
    /// kind may report that nothing did.
    pub(in crate::gateway) fn set_watched(&self, kind: ObjectKind, is_watched: bool) {
        let mut watched = self.watched.borrow_mut();
        match is_watched {
            true => watched.insert(kind),
            false => watched.remove(&kind),
        };
        self.changed.notify_waiters();
    }

    /// Returns whether this router watches a kind in the store.
    pub(in crate::gateway) fn is_watched(&self, kind: ObjectKind) -> bool {
        self.watched.borrow().contains(&kind)
    }

    /// Returns the changes of a kind after a revision.
    pub(in crate::gateway) fn since(&self, kind: ObjectKind, revision: u64) -> ChangeReply {
        let kinds = self.kinds.borrow();
        kinds
            .get(&kind)
            .map_or(ChangeReply::Gone, |known| known.log.since(revision))
    }

    /// Returns the newest known revision of a kind; 0 before the first listing.
    pub(in crate::gateway) fn revision(&self, kind: ObjectKind) -> u64 {
        let kinds = self.kinds.borrow();
        kinds.get(&kind).map_or(0, |known| known.log.revision())
    }
}
