//! Random edits and applies of two operators with lost responses.

mod operator_common;

use std::collections::{BTreeMap, BTreeSet};

use beechsaddle::catalogue_files::{BaseFile, DeclaredCatalogue};
use beechsaddle::operator::{ItemId, MissingEdit, OperatorError, read_declared};
use beechsaddle_core::catalogue::{
    BudgetDeclaration, CatalogueEntry, EntryClass, EntryHeader, EntryId, EntryKind, EntryLimits,
    ServiceEntry, ServiceKind, change_key,
};
use beechsaddle_core::names::{BudgetName, OwnerName, ServiceName, TopUpId, WorkspaceName};
use beechsaddle_core::objects::PlatformObject;
use quickcheck::{Arbitrary, Gen, QuickCheck};

use operator_common::{MemoryStore, WriteFault, apply, block_on};

/// A step of an operator.
#[derive(Clone, Copy, Debug)]
enum OperatorStep {
    /// Sets the cost of a service.
    Cost { service: u8, cost: u8 },
    /// Removes a service.
    Remove { service: u8 },
    /// Adds a top-up to a budget.
    TopUp { budget: u8 },
    /// Withdraws the first top-up of a budget.
    Withdraw { budget: u8 },
    /// Applies the files.
    Apply { fault: Option<bool> },
    /// Replaces the files by the committed catalogue.
    Pull,
}

impl Arbitrary for OperatorStep {
    fn arbitrary(source: &mut Gen) -> Self {
        let number = u8::arbitrary(source);
        let item = u8::arbitrary(source) % 3;
        match u8::arbitrary(source) % 10 {
            0..=2 => OperatorStep::Cost {
                service: item,
                cost: number % 4,
            },
            3 => OperatorStep::Remove { service: item },
            4 => OperatorStep::TopUp { budget: item },
            5 => OperatorStep::Withdraw { budget: item },
            6..=7 => OperatorStep::Apply { fault: None },
            8 => OperatorStep::Apply {
                fault: Some(bool::arbitrary(source)),
            },
            _ => OperatorStep::Pull,
        }
    }
}

/// The files of an operator and the revisions known to it.
#[derive(Clone, Debug, Default)]
struct OperatorState {
    files: DeclaredCatalogue,
    base: BaseFile,
    seen: u64,
    own: BTreeSet<u64>,
}

#[derive(Debug, Default)]
struct OperatorWorld {
    store: MemoryStore,
    operators: [OperatorState; 2],
    top_ups: u64,
    newest: u64,
}

const AUTHORS: [&str; 2] = ["ana", "mato"];

impl OperatorWorld {
    async fn step(&mut self, index: usize, step: OperatorStep) {
        let files = &mut self.operators[index].files;
        match step {
            OperatorStep::Cost { service, cost } => {
                let entry = service_entry(service, cost);
                files.entries.insert(entry.id(), entry);
            }
            OperatorStep::Remove { service } => {
                files.entries.remove(&service_id(service));
            }
            OperatorStep::TopUp { budget } => {
                self.top_ups += 1;
                let id = TopUpId::new(format!("t{}", self.top_ups));
                let declared = files
                    .budgets
                    .entry(budget_name(budget))
                    .or_insert_with(|| empty_budget(budget));
                declared.top_ups.insert(id, 10);
            }
            OperatorStep::Withdraw { budget } => {
                if let Some(declared) = files.budgets.get_mut(&budget_name(budget)) {
                    declared.top_ups.pop_first();
                }
            }
            OperatorStep::Apply { fault } => self.apply(index, fault).await,
            OperatorStep::Pull => self.pull(index).await,
        }
    }

    async fn apply(&mut self, index: usize, fault: Option<bool>) {
        if let Some(lost) = fault {
            let fault = match lost {
                true => WriteFault::AnswerLost,
                false => WriteFault::RequestLost,
            };
            self.store.fault("catalogue/change/", fault);
        }
        let operator = self.operators[index].clone();
        let result = apply(&self.store, AUTHORS[index], &operator.files, &operator.base).await;
        match result {
            Ok(outcome) => {
                self.check_commits(index, outcome.revision);
                self.operators[index].base = outcome.base;
                self.check_committed(index, outcome.missing).await;
            }
            Err(OperatorError::Conflicts(_) | OperatorError::Refusals(_)) => {
                self.pull(index).await;
            }
            Err(error) => panic!("{error}"),
        }
    }

    /// Checks that the author of each new change knew the previous change of each item, by pulling
    /// or making it.
    fn check_commits(&mut self, index: usize, revision: u64) {
        for revision in self.newest + 1..=revision {
            let (author, items) = self.change(revision);
            assert_eq!(author, AUTHORS[index]);
            for item in items {
                let last = (1..revision)
                    .rev()
                    .find(|earlier| self.change(*earlier).1.contains(&item));
                let operator = &self.operators[index];
                let known =
                    last.is_none_or(|last| last <= operator.seen || operator.own.contains(&last));
                assert!(
                    known,
                    "revision {revision} overwrites the unseen {last:?}: {item}"
                );
            }
            self.operators[index].own.insert(revision);
        }
        self.newest = self.newest.max(revision);
    }

    /// Checks that accepted items are committed, except for those that others changed since.
    async fn check_committed(&mut self, index: usize, missing: Vec<MissingEdit>) {
        let (revision, committed) = read_declared(&self.store).await.expect("committed");
        let missing: BTreeSet<ItemId> = missing.into_iter().map(|edit| edit.item).collect();
        let own_items = items(&self.operators[index].files);
        let committed_items = items(&committed);
        for id in own_items.keys().chain(committed_items.keys()) {
            if !missing.contains(id) {
                assert_eq!(own_items.get(id), committed_items.get(id), "{id}");
            }
        }
        // Files that equal the committed catalogue contain all of its changes.
        if own_items == committed_items {
            self.operators[index].seen = revision;
        }
    }

    async fn pull(&mut self, index: usize) {
        let (revision, files) = read_declared(&self.store).await.expect("committed");
        let operator = &mut self.operators[index];
        operator.seen = revision;
        operator.files = files;
        operator.base = BaseFile {
            revision,
            ..BaseFile::default()
        };
    }

    fn change(&self, revision: u64) -> (String, Vec<ItemId>) {
        match self.store.get(change_key(revision).as_str()) {
            Some(PlatformObject::Change(change)) => {
                let items = change.edits.iter().map(ItemId::of_edit);
                (change.author.to_string(), items.collect())
            }
            other => panic!("{other:?}"),
        }
    }
}

/// Returns all items as text. A budget without tokens equals an absent one.
fn items(files: &DeclaredCatalogue) -> BTreeMap<ItemId, String> {
    let entries = files
        .entries
        .iter()
        .map(|(id, entry)| (ItemId::Entry(id.clone()), format!("{entry:?}")));
    let budgets = files
        .budgets
        .iter()
        .filter(|(_, budget)| !budget.top_ups.is_empty())
        .map(|(name, budget)| (ItemId::Budget(name.clone()), format!("{budget:?}")));
    entries.chain(budgets).collect()
}

fn service_id(service: u8) -> EntryId {
    EntryId {
        kind: EntryKind::Service,
        name: format!("s{service}"),
    }
}

fn service_entry(service: u8, cost: u8) -> CatalogueEntry {
    CatalogueEntry::Service(ServiceEntry {
        header: EntryHeader {
            owner: OwnerName::new("team"),
            class: EntryClass::Standard,
            limits: EntryLimits::default(),
        },
        name: ServiceName::new(format!("s{service}")),
        kind: ServiceKind::Plain,
        repeatable: false,
        call_cost: u64::from(cost),
        head_timeout_ms: 1_000,
    })
}

fn budget_name(budget: u8) -> BudgetName {
    BudgetName::new(format!("b{budget}"))
}

fn empty_budget(budget: u8) -> BudgetDeclaration {
    BudgetDeclaration {
        name: budget_name(budget),
        owner: OwnerName::new("team"),
        workspace: WorkspaceName::new("w"),
        top_ups: BTreeMap::new(),
    }
}

fn edits_are_never_lost(steps: Vec<(bool, OperatorStep)>) -> bool {
    block_on(async {
        let mut world = OperatorWorld::default();
        for (first, step) in steps {
            world.step(usize::from(first), step).await;
        }
        // Both operators synchronize their files and must converge on the committed catalogue.
        for index in [0, 1] {
            world.apply(index, None).await;
        }
        for index in [0, 1] {
            world.pull(index).await;
            world.apply(index, None).await;
        }
        let [ana, mato] = &world.operators;
        items(&ana.files) == items(&mato.files) && ana.base == mato.base
    })
}

// Two operators edit and apply in random order, and some responses are lost. No operator overwrites
// a change that it has not seen, accepted edits are committed, and both operators end with the same
// files.
#[test]
fn apply_random_edits_of_two_operators_converge() {
    QuickCheck::new()
        .tests(400)
        .quickcheck(edits_are_never_lost as fn(Vec<(bool, OperatorStep)>) -> bool);
}
