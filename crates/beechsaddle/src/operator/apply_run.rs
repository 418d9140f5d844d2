//! The `apply_run` module provides the apply of an operator's catalogue files.

use std::collections::{BTreeMap, BTreeSet};

use beechsaddle_core::catalogue::{CatalogueChange, EntryEdit, change_key};
use beechsaddle_core::hash::stable_hash;
use beechsaddle_core::objects::{FleetLayout, PlatformObject};
use beechsaddle_core::platform::WriteGuard;
use beechsaddle_wire::encode_object;

use super::base_writer::refresh_base;
use super::catalogue_history::read_change;
use super::ledger_snapshot::{DesiredBudgets, ensure_layout, read_ledger, write_budgets};
use super::{
    ApplyOptions, ApplyOutcome, CatalogueHistory, DeclaredItem, EditInputs, EditPlan, ItemId,
    LedgerSnapshot, ObjectStore, OperatorError, Result, StoreCaller, WriteOutcome, plan_edits,
};
use crate::catalogue_files::{BaseFile, DeclaredCatalogue};

/// The number of times an edit is planned when other edits take the next revision first.
const COMMIT_ATTEMPTS: u32 = 20;

/// Applies the catalogue that a directory declares.
///
/// The change is one object, created only if absent, at the next revision. When two operators
/// compete for a revision, the one that creates the object wins and the other plans again on top of
/// it. Budgets are written to the ledger after the change is committed, in idempotent writes.
#[derive(Debug)]
pub struct ApplyRun<'a, S> {
    caller: StoreCaller<'a, S>,
    options: ApplyOptions,
    declared: BTreeMap<ItemId, DeclaredItem>,
    base: BaseFile,
    write_id: String,
}

/// The state that one attempt read, and the plan made from it.
struct ApplyAttempt {
    history: CatalogueHistory,
    applied: BTreeSet<u64>,
    earlier: Option<u64>,
    plan: EditPlan,
    ledger: LedgerSnapshot,
}

/// The result of a commit.
enum CommitOutcome {
    Committed,
    /// Another edit was committed at this revision.
    Taken,
}

impl<'a, S: ObjectStore> ApplyRun<'a, S> {
    /// Creates an apply of `declared`, whose files were last in sync with the fleet at `base`.
    pub fn new(
        store: &'a S,
        options: ApplyOptions,
        declared: &DeclaredCatalogue,
        base: BaseFile,
    ) -> Self {
        let declared = DeclaredItem::all_of(declared);
        ApplyRun {
            caller: StoreCaller::new(store),
            write_id: write_id_of(&options, &declared, &base),
            options,
            declared,
            base,
        }
    }

    pub async fn run(&self) -> Result<ApplyOutcome> {
        let layout = ensure_layout(&self.caller, self.options.layout).await?;
        for _ in 0..COMMIT_ATTEMPTS {
            let mut attempt = self.prepare(layout).await?;
            self.check(&attempt)?;
            if attempt.plan.edits.is_empty() {
                let revision = attempt.history.newest.revision();
                self.write_ledger(layout, revision, &attempt).await?;
                return Ok(self.outcome(attempt, None));
            }
            let change = self.change_of(&attempt);
            match self.commit(&change).await? {
                CommitOutcome::Taken => {}
                CommitOutcome::Committed => {
                    attempt.applied.insert(change.revision);
                    self.write_ledger(layout, change.revision, &attempt).await?;
                    attempt.history.newest.apply(&change);
                    // The base only shortens later reads. The change is committed without it, so a
                    // failure here is not a failure of the apply.
                    let _ = refresh_base(&self.caller, &attempt.history.newest).await;
                    return Ok(self.outcome(attempt, Some(&change)));
                }
            }
        }
        Err(OperatorError::Contention)
    }

    async fn prepare(&self, layout: FleetLayout) -> Result<ApplyAttempt> {
        let history = CatalogueHistory::read(&self.caller, self.base.revision).await?;
        let ledger = LedgerSnapshot::read(&self.caller, layout).await?;
        // The same files were applied on the same base before, and the response was lost.
        let earlier = history
            .changes
            .iter()
            .find(|change| change.write_id == self.write_id)
            .map(|change| change.revision);
        let mut applied = self.base.applied.clone();
        applied.extend(earlier);
        let plan = plan_edits(EditInputs {
            declared: &self.declared,
            history: &history,
            applied: &applied,
            ledger: &ledger.declarations(),
            removed: &ledger.removed(),
        });
        Ok(ApplyAttempt {
            history,
            applied,
            earlier,
            plan,
            ledger,
        })
    }

    fn check(&self, attempt: &ApplyAttempt) -> Result<()> {
        if !attempt.plan.conflicts.is_empty() {
            return Err(OperatorError::Conflicts(attempt.plan.conflicts.clone()));
        }
        let refusals = attempt.ledger.check(&self.desired(&attempt.plan));
        if !refusals.is_empty() {
            return Err(OperatorError::Refusals(refusals));
        }
        Ok(())
    }

    fn change_of(&self, attempt: &ApplyAttempt) -> CatalogueChange {
        CatalogueChange {
            revision: attempt.history.newest.revision() + 1,
            write_id: self.write_id.clone(),
            author: self.options.author.clone(),
            applied: self.options.now,
            edits: attempt.plan.edits.clone(),
        }
    }

    /// Commits a change. If the response is lost, the object at this revision is read back: it is
    /// never overwritten, so the change found there holds the revision. If there is none, the same
    /// write is sent again, and the first of the two to arrive takes effect.
    async fn commit(&self, change: &CatalogueChange) -> Result<CommitOutcome> {
        let revision = change.revision;
        let object = PlatformObject::Change(change.clone());
        if encode_object(&object).is_err() {
            let edits = change.edits.len();
            return Err(OperatorError::TooLarge { edits });
        }
        let key = change_key(revision);
        let mut uncertain = false;
        for _ in 0..COMMIT_ATTEMPTS {
            let written = self
                .caller
                .write(&key, object.clone(), WriteGuard::Absent)
                .await;
            match written {
                Ok(WriteOutcome::Written) => return Ok(CommitOutcome::Committed),
                Ok(WriteOutcome::Conflict | WriteOutcome::Unknown) => uncertain = true,
                Err(_) if uncertain => return Err(OperatorError::OutcomeUnknown { revision }),
                Err(error) => return Err(error),
            }
            let found = read_change(&self.caller, revision).await;
            match found {
                Ok(Some(found)) if found.write_id == self.write_id => {
                    return Ok(CommitOutcome::Committed);
                }
                Ok(Some(_)) => return Ok(CommitOutcome::Taken),
                Ok(None) => {}
                Err(_) => return Err(OperatorError::OutcomeUnknown { revision }),
            }
        }
        Err(OperatorError::OutcomeUnknown { revision })
    }

    async fn write_ledger(
        &self,
        layout: FleetLayout,
        revision: u64,
        attempt: &ApplyAttempt,
    ) -> Result<()> {
        let desired = self.desired(&attempt.plan);
        let result = write_budgets(&self.caller, layout, &self.write_id, &desired).await;
        match result {
            Ok(refusals) if refusals.is_empty() => Ok(()),
            Ok(refusals) => Err(OperatorError::PartlyRefused {
                revision,
                refusals,
                base: self.retained_base(attempt),
            }),
            Err(_) => Err(OperatorError::LedgerBehind {
                revision,
                base: self.retained_base(attempt),
            }),
        }
    }

    /// Returns the budgets that a plan changes, with their declared state.
    fn desired(&self, plan: &EditPlan) -> DesiredBudgets {
        let edited = plan.edits.iter().filter_map(|edit| match edit {
            EntryEdit::Budget(edit) => Some(edit.name.clone()),
            EntryEdit::Put(_) | EntryEdit::Remove(_) => None,
        });
        edited
            .chain(plan.pending_budgets.iter().cloned())
            .map(|name| {
                let item = self.declared.get(&ItemId::Budget(name.clone()));
                let budget = item.and_then(DeclaredItem::budget).cloned();
                (name, budget)
            })
            .collect()
    }

    /// Returns the unchanged base of the files, with the revisions applied from them since.
    fn retained_base(&self, attempt: &ApplyAttempt) -> BaseFile {
        BaseFile {
            revision: self.base.revision,
            applied: attempt.applied.clone(),
        }
    }

    fn outcome(&self, attempt: ApplyAttempt, change: Option<&CatalogueChange>) -> ApplyOutcome {
        let revision = attempt.history.newest.revision();
        // The base advances only when the files contain all changes by others. Otherwise the next
        // apply would take the missing entries for removed ones.
        let base = match attempt.plan.ends_in_sync() {
            true => BaseFile {
                revision,
                applied: BTreeSet::new(),
            },
            false => self.retained_base(&attempt),
        };
        ApplyOutcome {
            revision,
            edits: change.map_or(0, |change| change.edits.len()),
            earlier: attempt.earlier,
            missing: attempt.plan.missing,
            base,
        }
    }
}

/// Returns the plan that applying `declared` would carry out now.
pub async fn diff_catalogue<S: ObjectStore>(
    store: &S,
    declared: &DeclaredCatalogue,
    base: &BaseFile,
) -> Result<EditPlan> {
    let caller = StoreCaller::new(store);
    let history = CatalogueHistory::read(&caller, base.revision).await?;
    let ledger = read_ledger(&caller).await?;
    Ok(plan_edits(EditInputs {
        declared: &DeclaredItem::all_of(declared),
        history: &history,
        applied: &base.applied,
        ledger: &ledger.declarations(),
        removed: &ledger.removed(),
    }))
}

/// Returns the id of an apply. It is the same for the same files, base and author, so that a repeat
/// after a lost response recognises the change that it committed before.
fn write_id_of(
    options: &ApplyOptions,
    declared: &BTreeMap<ItemId, DeclaredItem>,
    base: &BaseFile,
) -> String {
    let content = format!("{}\n{base:?}\n{declared:?}", options.author);
    format!("{}-{:016x}", options.author, stable_hash(content))
}

/// Returns the newest revision of the fleet, zero if it has no catalogue.
pub async fn newest_revision<S: ObjectStore>(store: &S) -> Result<u64> {
    let history = CatalogueHistory::read_newest(&StoreCaller::new(store)).await?;
    Ok(history.newest.revision())
}

/// Returns the newest revision and the catalogue committed at it.
pub async fn read_declared<S: ObjectStore>(store: &S) -> Result<(u64, DeclaredCatalogue)> {
    let caller = StoreCaller::new(store);
    let history = CatalogueHistory::read_newest(&caller).await?;
    let ledger = read_ledger(&caller).await?;
    let mut budgets = ledger.declarations();
    // The account of a removed budget remains only as the record of what was spent.
    for name in ledger.removed() {
        budgets.remove(&name);
    }
    // A budget without top-ups equals an absent one, unless it is its workspace's default for calls
    // that name no budget.
    budgets.retain(|name, budget| {
        let entry = history.newest.workspace(&budget.workspace);
        let is_default = entry.is_some_and(|entry| entry.budget.as_ref() == Some(name));
        is_default || !budget.top_ups.is_empty()
    });
    let entries = history.newest.entries();
    let catalogue = DeclaredCatalogue {
        entries: entries
            .into_iter()
            .map(|(id, (_, entry))| (id, entry))
            .collect(),
        budgets,
    };
    Ok((history.newest.revision(), catalogue))
}
