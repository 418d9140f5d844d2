//! The `catalogue_change` module provides the durable form of the catalogue.
//!
//! An applied edit is one object, created if absent at the next revision: all edits have one order,
//! one edit of many entries is applied as a whole, and of two racing edits one finds the number
//! taken. A base is the whole catalogue at a revision, so that a router need not read every change.

use serde::{Deserialize, Serialize};

use super::{BudgetEdit, CatalogueEntry, EntryId};
use crate::clock::ClockTime;
use crate::names::OwnerName;

/// One applied edit, at `catalogue/change/<revision, 12 digits>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogueChange {
    /// The revision that the edit made.
    pub revision: u64,
    /// The id of the write, so that an operator whose answer was lost can recognise it.
    pub write_id: String,
    /// Who applied it.
    pub author: OwnerName,
    /// When, by the author's clock.
    pub applied: ClockTime,
    /// What it changed.
    pub edits: Vec<EntryEdit>,
}

/// The change of one entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryEdit {
    /// The entry is added or replaced.
    Put(CatalogueEntry),
    /// The entry is removed.
    Remove(EntryId),
    /// A budget is added, changed or removed; carried out in the ledger.
    Budget(BudgetEdit),
}

/// A part of the whole catalogue, at `catalogue/base/<revision, 12 digits>/<part>`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogueBase {
    /// The revision of the catalogue.
    pub revision: u64,
    /// Entries, each with the revision that last changed it.
    pub entries: Vec<(u64, CatalogueEntry)>,
}

/// The newest base, at `catalogue/head`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogueHead {
    /// Its revision.
    pub revision: u64,
    /// How many parts it has.
    pub parts: u32,
}
