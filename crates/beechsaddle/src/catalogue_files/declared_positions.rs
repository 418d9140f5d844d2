//! The `declared_positions` module provides the positions of a catalogue's declarations.

use std::collections::BTreeMap;

use beechsaddle_core::catalogue::EntryId;
use beechsaddle_core::prelude::*;

use super::EntryPosition;

/// The positions of entries and budgets in the files.
#[derive(Debug, Default)]
pub(super) struct DeclaredPositions {
    pub entries: BTreeMap<EntryId, EntryPosition>,
    pub budgets: BTreeMap<BudgetName, EntryPosition>,
}
