//! The `declared_item` module provides the items that operators declare.

use std::collections::BTreeMap;
use std::fmt;

use beechsaddle_core::catalogue::{
    BudgetDeclaration, BudgetEdit, CatalogueEntry, EntryEdit, EntryId, EntryKind,
};
use beechsaddle_core::prelude::*;

use crate::catalogue_files::DeclaredCatalogue;

/// Identifies an item that operators declare.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ItemId {
    /// A workspace, service or model.
    Entry(EntryId),
    Budget(BudgetName),
}

impl ItemId {
    /// Returns the id of the item that an edit changes.
    pub fn of_edit(edit: &EntryEdit) -> Self {
        match edit {
            EntryEdit::Put(entry) => ItemId::Entry(entry.id()),
            EntryEdit::Remove(id) => ItemId::Entry(id.clone()),
            EntryEdit::Budget(edit) => ItemId::Budget(edit.name.clone()),
        }
    }

    /// Returns the edit that turns `before` into `after`.
    pub fn edit(&self, before: Option<&DeclaredItem>, after: Option<&DeclaredItem>) -> EntryEdit {
        match (self, after) {
            (_, Some(DeclaredItem::Entry(entry))) => EntryEdit::Put(entry.clone()),
            (ItemId::Entry(id), _) => EntryEdit::Remove(id.clone()),
            (ItemId::Budget(name), after) => EntryEdit::Budget(BudgetEdit {
                name: name.clone(),
                before: before.and_then(DeclaredItem::budget).cloned(),
                after: after.and_then(DeclaredItem::budget).cloned(),
            }),
        }
    }
}

impl fmt::Display for ItemId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ItemId::Entry(id) => {
                let kind = match id.kind {
                    EntryKind::Workspace => "workspace",
                    EntryKind::Service => "service",
                    EntryKind::Model => "model",
                };
                write!(formatter, "{kind} {}", id.name)
            }
            ItemId::Budget(name) => write!(formatter, "budget {name}"),
        }
    }
}

/// An item that operators declare.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DeclaredItem {
    /// A workspace, service or model.
    Entry(CatalogueEntry),
    Budget(BudgetDeclaration),
}

impl DeclaredItem {
    /// Returns the owner who is responsible for it.
    pub fn owner(&self) -> &OwnerName {
        match self {
            DeclaredItem::Entry(entry) => &entry.header().owner,
            DeclaredItem::Budget(budget) => &budget.owner,
        }
    }

    /// Returns the budget declaration, if it is one.
    pub fn budget(&self) -> Option<&BudgetDeclaration> {
        match self {
            DeclaredItem::Entry(_) => None,
            DeclaredItem::Budget(budget) => Some(budget),
        }
    }

    /// Returns all items that a directory declares.
    pub fn all_of(catalogue: &DeclaredCatalogue) -> BTreeMap<ItemId, DeclaredItem> {
        let entries = catalogue.entries.iter().map(|(id, entry)| {
            let item = DeclaredItem::Entry(entry.clone());
            (ItemId::Entry(id.clone()), item)
        });
        let budgets = catalogue.budgets.iter().map(|(name, budget)| {
            let item = DeclaredItem::Budget(budget.clone());
            (ItemId::Budget(name.clone()), item)
        });
        entries.chain(budgets).collect()
    }
}

/// Whether two states of an item are equal. A declared budget without tokens equals an undeclared
/// one: accounts are never deleted, since they record what was spent.
pub(super) fn is_same(left: Option<&DeclaredItem>, right: Option<&DeclaredItem>) -> bool {
    match (left, right) {
        (None, Some(DeclaredItem::Budget(budget))) | (Some(DeclaredItem::Budget(budget)), None) => {
            budget.top_ups.is_empty()
        }
        (left, right) => left == right,
    }
}
