//! The `declared_catalogue` module provides the catalogue that a directory declares.

use std::collections::BTreeMap;

use beechsaddle_core::catalogue::{BudgetDeclaration, CatalogueEntry, EntryId};
use beechsaddle_core::prelude::*;

/// The catalogue that a directory declares.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DeclaredCatalogue {
    /// Workspaces, services and models.
    pub entries: BTreeMap<EntryId, CatalogueEntry>,
    pub budgets: BTreeMap<BudgetName, BudgetDeclaration>,
}

/// The position of a declaration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EntryPosition {
    /// The index of the file, in the order of names.
    pub file: usize,
    /// The byte offset in the file.
    pub offset: usize,
}
