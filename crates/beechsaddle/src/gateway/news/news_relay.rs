//! The `news_relay` module provides the latest changes that this router knows, for itself and for those that
//! follow it.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};

use beechsaddle_core::gateway::{ChangeLog, ChangeReply, SourceSelector};
use beechsaddle_platform::{ObjectKind, StoreListing, StoreNews};
use tokio::sync::Notify;

/// What is known of one kind of objects.
#[derive(Debug, Default)]
struct KindNews {
    log: ChangeLog,
    /// The revision of each object, to tell what a listing changes.
    revisions: BTreeMap<String, u64>,
}

/// The changes that this router knows, and whom it follows.
#[derive(Debug, Default)]
pub(in crate::gateway) struct NewsRelay {
    /// Whom this router follows.
    pub(in crate::gateway) choice: RefCell<SourceSelector>,
    /// Wakes those that follow this router.
    pub(in crate::gateway) changed: Notify,
    kinds: RefCell<BTreeMap<ObjectKind, KindNews>>,
    /// Kinds that this router watches in the store now.
    watched: RefCell<BTreeSet<ObjectKind>>,
}

impl NewsRelay {
    /// Takes over the first listing of a kind.
    pub(in crate::gateway) fn begin(&self, kind: ObjectKind, listing: &StoreListing) {
        let mut kinds = self.kinds.borrow_mut();
        let known = kinds.entry(kind).or_default();
        known.log.restart(listing.revision);
        known.revisions = listing.revisions();
    }

    /// Takes over a later listing: what it changes is passed on.
    ///
    /// # Errors
    ///
    /// When the changes cannot be encoded; those that follow then ask the store.
    pub(in crate::gateway) fn try_note_listing(
        &self,
        kind: ObjectKind,
        listing: &StoreListing,
    ) -> Result<(), serde_json::Error> {
        let mut kinds = self.kinds.borrow_mut();
        let known = kinds.entry(kind).or_default();
        let news = listing.changes_since(&known.revisions);
        known.revisions = listing.revisions();
        self.add(known, &news)
    }

    /// Takes over changes that are passed on.
    ///
    /// # Errors
    ///
    /// When they cannot be encoded; those that follow then ask the store.
    pub(in crate::gateway) fn try_note_news(
        &self,
        kind: ObjectKind,
        news: &StoreNews,
    ) -> Result<(), serde_json::Error> {
        let mut kinds = self.kinds.borrow_mut();
        let known = kinds.entry(kind).or_default();
        for event in &news.events {
            let object = &event.object;
            match event.is_removed {
                true => known.revisions.remove(object.name()),
                false => known
                    .revisions
                    .insert(object.name().to_owned(), object.revision()),
            };
        }
        self.add(known, news)
    }

    fn add(&self, known: &mut KindNews, news: &StoreNews) -> Result<(), serde_json::Error> {
        if news.events.is_empty() && news.unreadable.is_empty() {
            known.log.record_unchanged(news.revision);
            return Ok(());
        }
        match news.try_encode() {
            Ok(body) => known.log.add(news.revision, body),
            // A log with a gap would hide changes.
            Err(error) => {
                known.log.restart(news.revision);
                return Err(error);
            }
        }
        self.changed.notify_waiters();
        Ok(())
    }

    /// Notes whether this router watches a kind in the store from now on.
    ///
    /// That the store answers does not tell whether something has changed: only a router that watches a kind may say
    /// that nothing has.
    pub(in crate::gateway) fn note_watched(&self, kind: ObjectKind, is_watched: bool) {
        let mut watched = self.watched.borrow_mut();
        match is_watched {
            true => watched.insert(kind),
            false => watched.remove(&kind),
        };
        self.changed.notify_waiters();
    }

    /// Whether this router watches a kind in the store.
    pub(in crate::gateway) fn is_watched(&self, kind: ObjectKind) -> bool {
        self.watched.borrow().contains(&kind)
    }

    /// What is known of a kind after a revision.
    pub(in crate::gateway) fn since(&self, kind: ObjectKind, revision: u64) -> ChangeReply {
        let kinds = self.kinds.borrow();
        kinds
            .get(&kind)
            .map_or(ChangeReply::Gone, |known| known.log.since(revision))
    }

    /// The newest revision of a kind that is known; 0 before the first.
    pub(in crate::gateway) fn revision(&self, kind: ObjectKind) -> u64 {
        let kinds = self.kinds.borrow();
        kinds.get(&kind).map_or(0, |known| known.log.revision())
    }
}
