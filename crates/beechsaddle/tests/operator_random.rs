//! Two operators who edit and apply in any order, while answers get lost.

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

/// What an operator does next.
#[derive(Clone, Copy, Debug)]
enum OperatorStep {
    /// Sets what a service costs.
    Cost { service: u8, cost: u8 },
    /// Removes a service.
    Remove { service: u8 },
    /// Adds a top-up to a budget.
    TopUp { budget: u8 },
    /// Takes a budget's first top-up out.
    Withdraw { budget: u8 },
    /// Applies the files.
    Apply { fault: Option<bool> },
    /// Takes what is committed into the files.
    Pull,
}

impl Arbitrary for OperatorStep {
    fn arbitrary(source: &mut Gen) -> Self {
        let number = u8::arbitrary(source);
        let which = u8::arbitrary(source) % 3;
        match u8::arbitrary(source) % 10 {
            0..=2 => OperatorStep::Cost {
                service: which,
                cost: number % 4,
            },
            3 => OperatorStep::Remove { service: which },
            4 => OperatorStep::TopUp { budget: which },
            5 => OperatorStep::Withdraw { budget: which },
            6..=7 => OperatorStep::Apply { fault: None },
            8 => OperatorStep::Apply {
                fault: Some(bool::arbitrary(source)),
            },
            _ => OperatorStep::Pull,
        }
    }
}

/// An operator's files and what the operator has seen.
#[derive(Clone, Debug, Default)]
struct OperatorDesk {
    files: DeclaredCatalogue,
    base: BaseFile,
    seen: u64,
    own: BTreeSet<u64>,
}

#[derive(Debug, Default)]
struct OperatorWorld {
    store: MemoryStore,
    operators: [OperatorDesk; 2],
    top_ups: u64,
    newest: u64,
}

const AUTHORS: [&str; 2] = ["ana", "mato"];

impl OperatorWorld {
    async fn step(&mut self, who: usize, step: OperatorStep) {
        let files = &mut self.operators[who].files;
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
            OperatorStep::Apply { fault } => self.apply(who, fault).await,
            OperatorStep::Pull => self.pull(who).await,
        }
    }

    async fn apply(&mut self, who: usize, fault: Option<bool>) {
        if let Some(lost) = fault {
            let fault = match lost {
                true => WriteFault::AnswerLost,
                false => WriteFault::RequestLost,
            };
            self.store.fault("catalogue/change/", fault);
        }
        let operator = self.operators[who].clone();
        let result = apply(&self.store, AUTHORS[who], &operator.files, &operator.base).await;
        match result {
            Ok(outcome) => {
                self.check_commits(who, outcome.revision);
                self.operators[who].base = outcome.base;
                self.check_in_force(who, outcome.missing).await;
            }
            Err(OperatorError::Conflicts(_) | OperatorError::Refusals(_)) => {
                self.pull(who).await;
            }
            Err(error) => panic!("{error}"),
        }
    }

    /// Whoever changed a thing had seen its last change: pulled it, or made it.
    fn check_commits(&mut self, who: usize, revision: u64) {
        for revision in self.newest + 1..=revision {
            let (author, items) = self.change(revision);
            assert_eq!(author, AUTHORS[who]);
            for item in items {
                let last = (1..revision)
                    .rev()
                    .find(|earlier| self.change(*earlier).1.contains(&item));
                let operator = &self.operators[who];
                let known =
                    last.is_none_or(|last| last <= operator.seen || operator.own.contains(&last));
                assert!(
                    known,
                    "revision {revision} overwrites the unseen {last:?}: {item}"
                );
            }
            self.operators[who].own.insert(revision);
        }
        self.newest = self.newest.max(revision);
    }

    /// What was accepted is committed, but for what others changed since.
    async fn check_in_force(&mut self, who: usize, missing: Vec<MissingEdit>) {
        let (revision, committed) = read_declared(&self.store).await.expect("committed");
        let missing: BTreeSet<ItemId> = missing.into_iter().map(|edit| edit.item).collect();
        let mine = items(&self.operators[who].files);
        let theirs = items(&committed);
        for id in mine.keys().chain(theirs.keys()) {
            if !missing.contains(id) {
                assert_eq!(mine.get(id), theirs.get(id), "{id}");
            }
        }
        // Files that are the same as what is committed show all of it.
        if mine == theirs {
            self.operators[who].seen = revision;
        }
    }

    async fn pull(&mut self, who: usize) {
        let (revision, files) = read_declared(&self.store).await.expect("committed");
        let operator = &mut self.operators[who];
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

/// All things as text; a budget without tokens is the same as none.
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
        // Both bring their files into step: they converge on what is committed.
        for who in [0, 1] {
            world.apply(who, None).await;
        }
        for who in [0, 1] {
            world.pull(who).await;
            world.apply(who, None).await;
        }
        let [ana, mato] = &world.operators;
        items(&ana.files) == items(&mato.files) && ana.base == mato.base
    })
}

// Two operators edit and apply in any order; some answers are lost. Nobody overwrites a change that
// was not seen, what is accepted is committed, and both end with the same files.
#[test]
fn apply_random_edits_of_two_operators_converge() {
    QuickCheck::new()
        .tests(400)
        .quickcheck(edits_are_never_lost as fn(Vec<(bool, OperatorStep)>) -> bool);
}
