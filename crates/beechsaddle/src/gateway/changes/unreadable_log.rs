//! The `unreadable_log` module provides the record of the store's objects that cannot be decoded, so
//! that each is reported once and not with every listing.

use std::cell::RefCell;
use std::collections::BTreeMap;

use beechsaddle_platform::{ObjectKind, StoreListing};

use super::store_follow::kind_name;
use crate::gateway::gateway_metrics::OutcomeLabel;
use crate::gateway::gateway_state::GatewayState;

/// The objects that cannot be decoded, with the error of each.
#[derive(Debug, Default)]
pub(in crate::gateway) struct UnreadableLog {
    kinds: RefCell<BTreeMap<ObjectKind, BTreeMap<String, String>>>,
}

impl UnreadableLog {
    /// Records that an object cannot be decoded; returns whether this error is new.
    fn record(&self, kind: ObjectKind, name: &str, error: &str) -> bool {
        let mut kinds = self.kinds.borrow_mut();
        let known = kinds.entry(kind).or_default();
        let earlier = known.insert(name.to_owned(), error.to_owned());
        earlier.is_none_or(|earlier| earlier != error)
    }

    /// Records that an object was decoded or removed.
    pub(in crate::gateway) fn forget(&self, kind: ObjectKind, name: &str) {
        if let Some(known) = self.kinds.borrow_mut().get_mut(&kind) {
            known.remove(name);
        }
    }

    /// Forgets the objects of a kind that a listing lacks.
    pub(in crate::gateway) fn retain_listed(&self, kind: ObjectKind, listing: &StoreListing) {
        let mut kinds = self.kinds.borrow_mut();
        let Some(known) = kinds.get_mut(&kind).filter(|known| !known.is_empty()) else {
            return;
        };
        let objects = listing.objects.iter().map(|object| object.name());
        let unreadable = listing.unreadable.iter();
        let names = objects.chain(unreadable.map(|object| object.name.as_str()));
        let listed = names.filter_map(|name| known.remove_entry(name));
        let listed = listed.collect();
        *known = listed;
    }
}

/// Counts an object that cannot be decoded; returns whether it has to be logged.
pub(super) fn note_unreadable(
    state: &GatewayState,
    kind: ObjectKind,
    name: &str,
    error: &str,
) -> bool {
    let is_new = state.unreadable.record(kind, name, error);
    if is_new {
        let label = OutcomeLabel {
            what: kind_name(kind),
        };
        state.metrics.objects_unreadable.get_or_create(&label).inc();
    }
    is_new
}
