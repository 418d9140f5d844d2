//! The `declared_places` module provides where the parts of a catalogue were declared.

use std::collections::BTreeMap;

use beechsaddle_core::catalogue::EntryId;
use beechsaddle_core::prelude::*;

use super::EntryPlace;

/// Where entries and budgets were declared.
#[derive(Debug, Default)]
pub(super) struct DeclaredPlaces {
    pub entries: BTreeMap<EntryId, EntryPlace>,
    pub budgets: BTreeMap<BudgetName, EntryPlace>,
}
