//! The `edit_plan` module provides the three-way comparison of an operator's files with the fleet.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use beechsaddle_core::catalogue::{BudgetDeclaration, CatalogueChange, EntryEdit};
use beechsaddle_core::prelude::*;

use super::declared_item::is_same;
use super::{CatalogueHistory, DeclaredItem, ItemId};

/// The inputs of a plan.
#[derive(Clone, Copy, Debug)]
pub struct EditInputs<'a> {
    /// The items that the files declare.
    pub declared: &'a BTreeMap<ItemId, DeclaredItem>,
    /// The catalogue at the base of the edit and the changes after it.
    pub history: &'a CatalogueHistory,
    /// Revisions after the base that were applied from these files.
    pub applied: &'a BTreeSet<u64>,
    /// The declared form of each budget's account in the ledger.
    pub ledger: &'a BTreeMap<BudgetName, BudgetDeclaration>,
    /// Budgets that were removed and not declared again.
    pub removed: &'a BTreeSet<BudgetName>,
}

/// The changes that an operator's files make.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EditPlan {
    /// The edits, ordered by item id.
    pub edits: Vec<EntryEdit>,
    /// Items that these files and other operators both edited.
    pub conflicts: Vec<EditConflict>,
    /// Changes by other operators that these files lack.
    pub missing: Vec<MissingEdit>,
    /// Budgets whose change is committed as declared but not yet written to the ledger.
    pub pending_budgets: Vec<BudgetName>,
}

impl EditPlan {
    /// Whether the files match the fleet once the plan is carried out.
    pub fn ends_in_sync(&self) -> bool {
        self.conflicts.is_empty() && self.missing.is_empty()
    }

    /// Whether there is nothing to carry out.
    pub fn is_done(&self) -> bool {
        self.edits.is_empty() && self.conflicts.is_empty() && self.pending_budgets.is_empty()
    }
}

/// A change by another operator that these files lack.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MissingEdit {
    pub item: ItemId,
    /// The author of the edit.
    pub author: OwnerName,
    /// The revision that the edit made.
    pub revision: u64,
}

impl fmt::Display for MissingEdit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} was changed by {} in revision {}; these files do not have it yet",
            self.item, self.author, self.revision
        )
    }
}

/// An item that these files and another operator both edited.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EditConflict {
    pub item: ItemId,
    /// The owner of the item according to the other edit.
    pub owner: OwnerName,
    /// The author of the other edit.
    pub author: OwnerName,
    pub revision: u64,
    /// The base revision of this edit.
    pub base: u64,
}

impl fmt::Display for EditConflict {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "conflict: {} (owner {}) was changed by {} in revision {}; your edit is based on \
             revision {}",
            self.item, self.owner, self.author, self.revision, self.base
        )
    }
}

/// Plans an edit by a three-way comparison of the files, their base and the current state.
pub fn plan_edits(inputs: EditInputs<'_>) -> EditPlan {
    let mut planner = EditPlanner::new(inputs);
    for id in planner.ids() {
        planner.plan(id);
    }
    planner.plan
}

struct EditPlanner<'a> {
    inputs: EditInputs<'a>,
    base: BTreeMap<ItemId, DeclaredItem>,
    newest: BTreeMap<ItemId, DeclaredItem>,
    /// All edits of each item after the base.
    item_edits: BTreeMap<ItemId, Vec<(&'a CatalogueChange, &'a EntryEdit)>>,
    plan: EditPlan,
}

impl<'a> EditPlanner<'a> {
    fn new(inputs: EditInputs<'a>) -> Self {
        let mut item_edits: BTreeMap<ItemId, Vec<(&CatalogueChange, &EntryEdit)>> = BTreeMap::new();
        for change in &inputs.history.changes {
            for edit in &change.edits {
                let id = ItemId::of_edit(edit);
                item_edits.entry(id).or_default().push((change, edit));
            }
        }
        EditPlanner {
            base: CatalogueHistory::items_of(&inputs.history.base),
            newest: CatalogueHistory::items_of(&inputs.history.newest),
            item_edits,
            inputs,
            plan: EditPlan::default(),
        }
    }

    fn ids(&self) -> BTreeSet<ItemId> {
        let entries = self.inputs.declared.keys().chain(self.base.keys());
        let entries = entries.chain(self.newest.keys()).cloned();
        let budgets = self.inputs.ledger.keys().cloned().map(ItemId::Budget);
        entries
            .chain(budgets)
            .chain(self.item_edits.keys().cloned())
            .collect()
    }

    fn plan(&mut self, id: ItemId) {
        let own_item = self.inputs.declared.get(&id).cloned();
        let current_item = self.current_state(&id);
        if own_item.is_none() && self.is_retired(&id) {
            return;
        }
        if is_same(own_item.as_ref(), current_item.as_ref()) {
            self.record_pending_budget(&id, own_item.as_ref());
            return;
        }
        let item_edits = self.item_edits.get(&id).cloned().unwrap_or_default();
        let others = item_edits
            .iter()
            .rev()
            .find(|(change, _)| !self.inputs.applied.contains(&change.revision));
        let Some((change, _)) = others else {
            let edit = id.edit(current_item.as_ref(), own_item.as_ref());
            self.plan.edits.push(edit);
            return;
        };
        let common_ancestor = self.common_ancestor(&id, &item_edits);
        if is_same(own_item.as_ref(), common_ancestor.as_ref()) {
            // Others changed the item and these files did not: their change stays.
            self.plan.missing.push(MissingEdit {
                item: id,
                author: change.author.clone(),
                revision: change.revision,
            });
            return;
        }
        let owner = current_item
            .as_ref()
            .or(common_ancestor.as_ref())
            .or(own_item.as_ref());
        let owner = owner.map_or_else(|| change.author.clone(), |item| item.owner().clone());
        self.plan.conflicts.push(EditConflict {
            item: id,
            owner,
            author: change.author.clone(),
            revision: change.revision,
            base: self.inputs.history.base.revision(),
        });
    }

    /// Whether a budget is removed and no change after the base declares it again. Its account
    /// remains as the record of what was spent, and files that lack the budget match it.
    fn is_retired(&self, id: &ItemId) -> bool {
        let ItemId::Budget(name) = id else {
            return false;
        };
        let item_edits = self
            .item_edits
            .get(id)
            .map(Vec::as_slice)
            .unwrap_or_default();
        let declared = item_edits.last().is_some_and(
            |(_, edit)| matches!(edit, EntryEdit::Budget(edit) if edit.after.is_some()),
        );
        !declared && self.inputs.removed.contains(name)
    }

    /// Returns the current state of an item. For a budget that changed after the base this is the
    /// state in the change, since the ledger is written after the commit.
    fn current_state(&self, id: &ItemId) -> Option<DeclaredItem> {
        let ItemId::Budget(name) = id else {
            return self.newest.get(id).cloned();
        };
        let item_edits = self
            .item_edits
            .get(id)
            .map(Vec::as_slice)
            .unwrap_or_default();
        match item_edits.last() {
            Some((_, EntryEdit::Budget(edit))) => edit.after.clone().map(DeclaredItem::Budget),
            Some((_, EntryEdit::Put(_) | EntryEdit::Remove(_))) | None => {
                let held = self.inputs.ledger.get(name);
                held.cloned().map(DeclaredItem::Budget)
            }
        }
    }

    /// Returns the state that these files last had in common with the fleet: the one last applied
    /// from them, or the one at the base.
    fn common_ancestor(
        &self,
        id: &ItemId,
        item_edits: &[(&CatalogueChange, &EntryEdit)],
    ) -> Option<DeclaredItem> {
        let own = item_edits
            .iter()
            .rev()
            .find(|(change, _)| self.inputs.applied.contains(&change.revision));
        match (own, item_edits.first()) {
            (Some((_, EntryEdit::Put(entry))), _) => Some(DeclaredItem::Entry(entry.clone())),
            (Some((_, EntryEdit::Remove(_))), _) => None,
            (Some((_, EntryEdit::Budget(edit))), _) => edit.after.clone().map(DeclaredItem::Budget),
            (None, Some((_, EntryEdit::Budget(edit)))) => {
                edit.before.clone().map(DeclaredItem::Budget)
            }
            (None, _) => self.base.get(id).cloned(),
        }
    }

    fn record_pending_budget(&mut self, id: &ItemId, own_item: Option<&DeclaredItem>) {
        let ItemId::Budget(name) = id else {
            return;
        };
        let held = self.inputs.ledger.get(name).cloned();
        let held = held.map(DeclaredItem::Budget);
        if !is_same(own_item, held.as_ref()) {
            self.plan.pending_budgets.push(name.clone());
        }
    }
}
