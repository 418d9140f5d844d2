//! The `edit_plan` module provides what an operator's files change, and what they would undo.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use beechsaddle_core::catalogue::{BudgetDeclaration, CatalogueChange, EntryEdit};
use beechsaddle_core::prelude::*;

use super::declared_item::is_same;
use super::{CatalogueHistory, DeclaredItem, ItemId};

/// What an edit is planned from.
#[derive(Clone, Copy, Debug)]
pub struct EditScene<'a> {
    /// What the files declare.
    pub declared: &'a BTreeMap<ItemId, DeclaredItem>,
    /// The catalogue at the base of the edit and the changes after it.
    pub history: &'a CatalogueHistory,
    /// Revisions after the base that were applied from these files.
    pub applied: &'a BTreeSet<u64>,
    /// What the ledger holds of each budget.
    pub ledger: &'a BTreeMap<BudgetName, BudgetDeclaration>,
    /// Budgets that were removed and not declared again.
    pub removed: &'a BTreeSet<BudgetName>,
}

/// What an operator's files change.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EditPlan {
    /// The changes, in the order of ids.
    pub edits: Vec<EntryEdit>,
    /// Things that were edited here and by others.
    pub conflicts: Vec<EditConflict>,
    /// Things that others changed and these files do not have yet.
    pub missing: Vec<MissingEdit>,
    /// Budgets that are as declared in the order of changes, but not yet in the ledger.
    pub unbooked: Vec<BudgetName>,
}

impl EditPlan {
    /// Whether the files will declare what is in force once the plan is carried out.
    pub fn ends_in_step(&self) -> bool {
        self.conflicts.is_empty() && self.missing.is_empty()
    }

    /// Whether nothing is left to do.
    pub fn is_done(&self) -> bool {
        self.edits.is_empty() && self.conflicts.is_empty() && self.unbooked.is_empty()
    }
}

/// A thing that others changed and these files do not have yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MissingEdit {
    /// The thing.
    pub item: ItemId,
    /// Who applied the edit.
    pub author: OwnerName,
    /// The revision that it made.
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

/// A thing that was edited here and by others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EditConflict {
    /// The thing.
    pub item: ItemId,
    /// Who answers for it, by the other edit.
    pub owner: OwnerName,
    /// Who applied the other edit.
    pub author: OwnerName,
    /// The revision that the other edit made.
    pub revision: u64,
    /// The base of the edit here.
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

/// Plans an edit: a three-way comparison of the files, their base and what is in force.
pub fn plan_edits(scene: EditScene<'_>) -> EditPlan {
    let mut planner = EditPlanner::new(scene);
    for id in planner.ids() {
        planner.plan(id);
    }
    planner.plan
}

struct EditPlanner<'a> {
    scene: EditScene<'a>,
    base: BTreeMap<ItemId, DeclaredItem>,
    newest: BTreeMap<ItemId, DeclaredItem>,
    /// All changes of each thing after the base.
    touches: BTreeMap<ItemId, Vec<(&'a CatalogueChange, &'a EntryEdit)>>,
    plan: EditPlan,
}

impl<'a> EditPlanner<'a> {
    fn new(scene: EditScene<'a>) -> Self {
        let mut touches: BTreeMap<ItemId, Vec<(&CatalogueChange, &EntryEdit)>> = BTreeMap::new();
        for change in &scene.history.changes {
            for edit in &change.edits {
                let id = ItemId::of_edit(edit);
                touches.entry(id).or_default().push((change, edit));
            }
        }
        EditPlanner {
            base: CatalogueHistory::items_of(&scene.history.base),
            newest: CatalogueHistory::items_of(&scene.history.newest),
            touches,
            scene,
            plan: EditPlan::default(),
        }
    }

    fn ids(&self) -> BTreeSet<ItemId> {
        let entries = self.scene.declared.keys().chain(self.base.keys());
        let entries = entries.chain(self.newest.keys()).cloned();
        let budgets = self.scene.ledger.keys().cloned().map(ItemId::Budget);
        entries
            .chain(budgets)
            .chain(self.touches.keys().cloned())
            .collect()
    }

    fn plan(&mut self, id: ItemId) {
        let mine = self.scene.declared.get(&id).cloned();
        let theirs = self.in_force(&id);
        if mine.is_none() && self.is_retired(&id) {
            return;
        }
        if is_same(mine.as_ref(), theirs.as_ref()) {
            self.note_unbooked(&id, mine.as_ref());
            return;
        }
        let touches = self.touches.get(&id).cloned().unwrap_or_default();
        let others = touches
            .iter()
            .rev()
            .find(|(change, _)| !self.scene.applied.contains(&change.revision));
        let Some((change, _)) = others else {
            let edit = id.edit(theirs.as_ref(), mine.as_ref());
            self.plan.edits.push(edit);
            return;
        };
        let known = self.known(&id, &touches);
        if is_same(mine.as_ref(), known.as_ref()) {
            // Others changed it and these files did not: it is theirs, and it stays.
            self.plan.missing.push(MissingEdit {
                item: id,
                author: change.author.clone(),
                revision: change.revision,
            });
            return;
        }
        let owner = theirs.as_ref().or(known.as_ref()).or(mine.as_ref());
        let owner = owner.map_or_else(|| change.author.clone(), |item| item.owner().clone());
        self.plan.conflicts.push(EditConflict {
            item: id,
            owner,
            author: change.author.clone(),
            revision: change.revision,
            base: self.scene.history.base.revision(),
        });
    }

    /// Whether a budget is removed and no change after the base says otherwise. Its account stays as
    /// the record of what was spent, and its files need not: it is the same as one that is not
    /// there.
    fn is_retired(&self, id: &ItemId) -> bool {
        let ItemId::Budget(name) = id else {
            return false;
        };
        let touches = self.touches.get(id).map(Vec::as_slice).unwrap_or_default();
        let declared = touches.last().is_some_and(
            |(_, edit)| matches!(edit, EntryEdit::Budget(edit) if edit.after.is_some()),
        );
        !declared && self.scene.removed.contains(name)
    }

    /// What is in force: for a budget that was changed after the base, what the change says, since
    /// the ledger may follow a moment later.
    fn in_force(&self, id: &ItemId) -> Option<DeclaredItem> {
        let ItemId::Budget(name) = id else {
            return self.newest.get(id).cloned();
        };
        let touches = self.touches.get(id).map(Vec::as_slice).unwrap_or_default();
        match touches.last() {
            Some((_, EntryEdit::Budget(edit))) => edit.after.clone().map(DeclaredItem::Budget),
            Some((_, EntryEdit::Put(_) | EntryEdit::Remove(_))) | None => {
                let held = self.scene.ledger.get(name);
                held.cloned().map(DeclaredItem::Budget)
            }
        }
    }

    /// What these files last had in common with the fleet: what was applied from them, or the base.
    fn known(
        &self,
        id: &ItemId,
        touches: &[(&CatalogueChange, &EntryEdit)],
    ) -> Option<DeclaredItem> {
        let own = touches
            .iter()
            .rev()
            .find(|(change, _)| self.scene.applied.contains(&change.revision));
        match (own, touches.first()) {
            (Some((_, EntryEdit::Put(entry))), _) => Some(DeclaredItem::Entry(entry.clone())),
            (Some((_, EntryEdit::Remove(_))), _) => None,
            (Some((_, EntryEdit::Budget(edit))), _) => edit.after.clone().map(DeclaredItem::Budget),
            (None, Some((_, EntryEdit::Budget(edit)))) => {
                edit.before.clone().map(DeclaredItem::Budget)
            }
            (None, _) => self.base.get(id).cloned(),
        }
    }

    fn note_unbooked(&mut self, id: &ItemId, mine: Option<&DeclaredItem>) {
        let ItemId::Budget(name) = id else {
            return;
        };
        let held = self.scene.ledger.get(name).cloned();
        let held = held.map(DeclaredItem::Budget);
        if !is_same(mine, held.as_ref()) {
            self.plan.unbooked.push(name.clone());
        }
    }
}
