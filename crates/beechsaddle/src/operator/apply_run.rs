//! The `apply_run` module provides the applying of an operator's files.

use std::collections::{BTreeMap, BTreeSet};

use beechsaddle_core::catalogue::{CatalogueChange, EntryEdit, change_key};
use beechsaddle_core::hash::stable_hash;
use beechsaddle_core::objects::{FleetLayout, PlatformObject};
use beechsaddle_core::platform::WriteGuard;
use beechsaddle_wire::encode_object;

use super::base_writer::refresh_base;
use super::catalogue_history::read_change;
use super::ledger_book::{WantedBudgets, book_budgets, ensure_layout, read_book};
use super::{
    ApplyOptions, ApplyOutcome, CatalogueHistory, DeclaredItem, EditPlan, EditScene, ItemId,
    LedgerBook, ObjectStore, OperatorError, Result, StoreCaller, WriteOutcome, plan_edits,
};
use crate::catalogue_files::{BaseFile, DeclaredCatalogue};

/// How often an edit is planned anew because another one came first.
const COMMIT_TRIES: u32 = 20;

/// Applies what a directory declares.
///
/// The change is one object, created if absent at the next revision: whoever creates it is first,
/// and the other plans anew on top of it. Budgets are written to the ledger after the change is
/// committed, in writes that can be repeated.
#[derive(Debug)]
pub struct ApplyRun<'a, S> {
    caller: StoreCaller<'a, S>,
    options: ApplyOptions,
    declared: BTreeMap<ItemId, DeclaredItem>,
    base: BaseFile,
    write_id: String,
}

/// What was read and planned in one try.
struct ApplyTry {
    history: CatalogueHistory,
    applied: BTreeSet<u64>,
    earlier: Option<u64>,
    plan: EditPlan,
    book: LedgerBook,
}

/// What became of a commit.
enum CommitOutcome {
    Committed,
    /// Another edit has this revision.
    Taken,
}

impl<'a, S: ObjectStore> ApplyRun<'a, S> {
    /// Prepares to apply `declared`, which was last in step with the fleet at `base`.
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

    /// Applies it.
    pub async fn run(&self) -> Result<ApplyOutcome> {
        let layout = ensure_layout(&self.caller, self.options.layout).await?;
        for _ in 0..COMMIT_TRIES {
            let mut attempt = self.prepare(layout).await?;
            self.check(&attempt)?;
            if attempt.plan.edits.is_empty() {
                let revision = attempt.history.newest.revision();
                self.book(layout, revision, &attempt).await?;
                return Ok(self.outcome(attempt, None));
            }
            let change = self.change_of(&attempt);
            match self.commit(&change).await? {
                CommitOutcome::Taken => {}
                CommitOutcome::Committed => {
                    attempt.applied.insert(change.revision);
                    self.book(layout, change.revision, &attempt).await?;
                    attempt.history.newest.apply(&change);
                    // A base only saves reading; the change holds without it, so that a failure
                    // here must not make the apply look failed.
                    let _ = refresh_base(&self.caller, &attempt.history.newest).await;
                    return Ok(self.outcome(attempt, Some(&change)));
                }
            }
        }
        Err(OperatorError::Busy)
    }

    async fn prepare(&self, layout: FleetLayout) -> Result<ApplyTry> {
        let history = CatalogueHistory::read(&self.caller, self.base.revision).await?;
        let book = LedgerBook::read(&self.caller, layout).await?;
        // The same files on the same base were applied before, and the answer did not arrive.
        let earlier = history
            .changes
            .iter()
            .find(|change| change.write_id == self.write_id)
            .map(|change| change.revision);
        let mut applied = self.base.applied.clone();
        applied.extend(earlier);
        let plan = plan_edits(EditScene {
            declared: &self.declared,
            history: &history,
            applied: &applied,
            ledger: &book.declarations(),
            removed: &book.removed(),
        });
        Ok(ApplyTry {
            history,
            applied,
            earlier,
            plan,
            book,
        })
    }

    fn check(&self, attempt: &ApplyTry) -> Result<()> {
        if !attempt.plan.conflicts.is_empty() {
            return Err(OperatorError::Conflicts(attempt.plan.conflicts.clone()));
        }
        let refusals = attempt.book.check(&self.wanted(&attempt.plan));
        if !refusals.is_empty() {
            return Err(OperatorError::Refusals(refusals));
        }
        Ok(())
    }

    fn change_of(&self, attempt: &ApplyTry) -> CatalogueChange {
        CatalogueChange {
            revision: attempt.history.newest.revision() + 1,
            write_id: self.write_id.clone(),
            author: self.options.author.clone(),
            applied: self.options.now,
            edits: attempt.plan.edits.clone(),
        }
    }

    /// Commits a change. When the answer is lost, reading back tells: an object that was created
    /// under this revision never changes, so that whoever is found there has it for good. When
    /// nothing is found there, the same write is made again, and whichever of the two arrives first
    /// wins.
    async fn commit(&self, change: &CatalogueChange) -> Result<CommitOutcome> {
        let revision = change.revision;
        let object = PlatformObject::Change(change.clone());
        if encode_object(&object).is_err() {
            let edits = change.edits.len();
            return Err(OperatorError::TooLarge { edits });
        }
        let key = change_key(revision);
        let mut uncertain = false;
        for _ in 0..COMMIT_TRIES {
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

    async fn book(&self, layout: FleetLayout, revision: u64, attempt: &ApplyTry) -> Result<()> {
        let wanted = self.wanted(&attempt.plan);
        let booked = book_budgets(&self.caller, layout, &self.write_id, &wanted).await;
        match booked {
            Ok(refusals) if refusals.is_empty() => Ok(()),
            Ok(refusals) => Err(OperatorError::PartlyRefused {
                revision,
                refusals,
                base: self.kept_base(attempt),
            }),
            Err(_) => Err(OperatorError::LedgerBehind {
                revision,
                base: self.kept_base(attempt),
            }),
        }
    }

    /// The budgets that a plan changes, as they shall be.
    fn wanted(&self, plan: &EditPlan) -> WantedBudgets {
        let edited = plan.edits.iter().filter_map(|edit| match edit {
            EntryEdit::Budget(edit) => Some(edit.name.clone()),
            EntryEdit::Put(_) | EntryEdit::Remove(_) => None,
        });
        edited
            .chain(plan.unbooked.iter().cloned())
            .map(|name| {
                let item = self.declared.get(&ItemId::Budget(name.clone()));
                let budget = item.and_then(DeclaredItem::budget).cloned();
                (name, budget)
            })
            .collect()
    }

    /// The base that the files had, with what was applied from them since.
    fn kept_base(&self, attempt: &ApplyTry) -> BaseFile {
        BaseFile {
            revision: self.base.revision,
            applied: attempt.applied.clone(),
        }
    }

    fn outcome(&self, attempt: ApplyTry, change: Option<&CatalogueChange>) -> ApplyOutcome {
        let revision = attempt.history.newest.revision();
        // The base only moves on when the files have all that others applied. Else what they lack
        // would look like something that was removed here.
        let base = match attempt.plan.ends_in_step() {
            true => BaseFile {
                revision,
                applied: BTreeSet::new(),
            },
            false => self.kept_base(&attempt),
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

/// What applying `declared` would do now.
pub async fn diff_catalogue<S: ObjectStore>(
    store: &S,
    declared: &DeclaredCatalogue,
    base: &BaseFile,
) -> Result<EditPlan> {
    let caller = StoreCaller::new(store);
    let history = CatalogueHistory::read(&caller, base.revision).await?;
    let book = read_book(&caller).await?;
    Ok(plan_edits(EditScene {
        declared: &DeclaredItem::all_of(declared),
        history: &history,
        applied: &base.applied,
        ledger: &book.declarations(),
        removed: &book.removed(),
    }))
}

/// The id of an apply: the same for the same files on the same base by the same author, so that a
/// repeat after a lost answer recognises the change that it made the first time.
fn write_id_of(
    options: &ApplyOptions,
    declared: &BTreeMap<ItemId, DeclaredItem>,
    base: &BaseFile,
) -> String {
    let content = format!("{}\n{base:?}\n{declared:?}", options.author);
    format!("{}-{:016x}", options.author, stable_hash(content))
}

/// The newest revision of the fleet; zero when it has no catalogue.
pub async fn newest_revision<S: ObjectStore>(store: &S) -> Result<u64> {
    let history = CatalogueHistory::read_newest(&StoreCaller::new(store)).await?;
    Ok(history.newest.revision())
}

/// The newest revision and what is committed at it.
pub async fn read_declared<S: ObjectStore>(store: &S) -> Result<(u64, DeclaredCatalogue)> {
    let caller = StoreCaller::new(store);
    let history = CatalogueHistory::read_newest(&caller).await?;
    let book = read_book(&caller).await?;
    let mut budgets = book.declarations();
    // The account of a removed budget is only the record of what was spent.
    for name in book.removed() {
        budgets.remove(&name);
    }
    // A budget without top-ups is the same as none, unless calls use it that name none.
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
