//! The `declared_catalogue` module provides what a directory declares.

use std::collections::BTreeMap;

use beechsaddle_core::catalogue::{BudgetDeclaration, CatalogueEntry, EntryId};
use beechsaddle_core::prelude::*;

/// What a directory declares.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DeclaredCatalogue {
    /// Workspaces, services and models.
    pub entries: BTreeMap<EntryId, CatalogueEntry>,
    /// Budgets.
    pub budgets: BTreeMap<BudgetName, BudgetDeclaration>,
}

/// Where something was declared: a file by its number, and a byte offset in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EntryPlace {
    /// The number of the file in the order of names.
    pub file: usize,
    /// The byte offset.
    pub offset: usize,
}
