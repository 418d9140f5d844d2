//! The `catalogue_change` module provides the durable form of the catalogue.
//!
//! An applied edit is one object, created only if absent at the next revision: all edits have one
//! order, an edit of many entries is atomic, and of two racing edits the second fails because its
//! revision exists. A base is the whole catalogue at a revision, so that a router need not read
//! every change.

use serde::{Deserialize, Serialize};

use super::{BudgetEdit, CatalogueEntry, EntryId};
use crate::clock::ClockTime;
use crate::names::OwnerName;

/// One applied edit, stored at `catalogue/change/<revision, 12 digits>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogueChange {
    /// The revision that the edit creates.
    pub revision: u64,
    /// The id of the write, by which an operator recognises an edit whose reply was lost.
    pub write_id: String,
    /// The operator who applied the edit.
    pub author: OwnerName,
    /// The time of the edit by the author's clock.
    pub applied: ClockTime,
    pub edits: Vec<EntryEdit>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryEdit {
    /// The entry is added or replaced.
    Put(CatalogueEntry),
    /// The entry is removed.
    Remove(EntryId),
    /// A budget is added, changed or removed; carried out in the ledger.
    Budget(BudgetEdit),
}

/// A part of the whole catalogue, stored at `catalogue/base/<revision, 12 digits>/<part>`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogueBase {
    pub revision: u64,
    /// Entries, each with the revision of its last change.
    pub entries: Vec<(u64, CatalogueEntry)>,
}

/// The newest base, stored at `catalogue/head`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogueHead {
    pub revision: u64,
    /// The number of parts of the base.
    pub parts: u32,
}
