//! The `fault_store` module provides the platform's objects and the history of writes.

use std::collections::BTreeMap;

use beechsaddle_core::accounting::{BillRecord, BudgetAccount, BudgetLedger};
use beechsaddle_core::objects::PlatformObject;
use beechsaddle_core::platform::{PlatformCall, PlatformReply, StoredObject, WriteGuard};
use beechsaddle_core::prelude::*;

/// The objects of a platform without faults, with a log of violated invariants.
#[derive(Default)]
pub struct FaultStore {
    objects: BTreeMap<ObjectKey, (u64, PlatformObject)>,
    pub revision: u64,
    /// Every bill that was ever written to a journal.
    pub bills: Vec<BillRecord>,
    /// Invariants that a write violated.
    pub faults: Vec<String>,
}

impl FaultStore {
    /// Carries out a call other than a watch.
    pub fn serve(&mut self, call: PlatformCall) -> PlatformReply {
        match call {
            PlatformCall::Read { key } => match self.objects.get(&key) {
                Some((version, object)) => {
                    PlatformReply::Found(stored(&key, *version, Some(object)))
                }
                None => PlatformReply::Absent,
            },
            PlatformCall::Write { key, object, guard } => self.write(&key, *object, guard),
            PlatformCall::Delete { key, version } => {
                if self.version(&key) != Some(version) {
                    return PlatformReply::Conflict;
                }
                self.objects.remove(&key);
                PlatformReply::Deleted
            }
            PlatformCall::List { prefix, after } => PlatformReply::Listed {
                objects: self
                    .changed(&prefix, 0, false)
                    .into_iter()
                    .filter(|object| after.as_ref().is_none_or(|after| object.key > *after))
                    .collect(),
                revision: self.revision,
            },
            PlatformCall::Watch { .. } => PlatformReply::Invalid,
        }
    }

    /// Returns the objects under a prefix that are newer than a revision.
    pub fn changed(&self, prefix: &ObjectKey, after: u64, with_value: bool) -> Vec<StoredObject> {
        self.objects
            .iter()
            .filter(|(key, (version, _))| {
                key.as_str().starts_with(prefix.as_str()) && *version > after
            })
            .map(|(key, (version, object))| stored(key, *version, with_value.then_some(object)))
            .collect()
    }

    /// Writes without a condition, like an operator's tool that read just before.
    pub fn put(&mut self, key: &str, object: PlatformObject) {
        self.revision += 1;
        self.objects.insert(key.into(), (self.revision, object));
    }

    /// Adds a top-up to the budget.
    pub fn top_up(&mut self, id: &str, tokens: u64) {
        let mut ledger = self.ledger();
        let account = ledger.budgets.entry("main".into());
        let account = account.or_insert_with(|| BudgetAccount::new("verlag".into(), "ana".into()));
        account.top_up(&id.into(), tokens);
        let key = BudgetLedger::object_key(0);
        self.put(key.as_str(), PlatformObject::Ledger(ledger));
    }

    /// Returns the budget's account.
    pub fn account(&self) -> BudgetAccount {
        self.ledger().budgets["main"].clone()
    }

    fn ledger(&self) -> BudgetLedger {
        match self.objects.get(BudgetLedger::object_key(0).as_str()) {
            Some((_, PlatformObject::Ledger(ledger))) => ledger.clone(),
            _ => BudgetLedger::default(),
        }
    }

    fn version(&self, key: &ObjectKey) -> Option<u64> {
        self.objects.get(key).map(|(version, _)| *version)
    }

    fn write(
        &mut self,
        key: &ObjectKey,
        object: PlatformObject,
        guard: WriteGuard,
    ) -> PlatformReply {
        let holds = match guard {
            WriteGuard::Absent => self.version(key).is_none(),
            WriteGuard::Version(expected) => self.version(key) == Some(expected),
        };
        if !holds {
            return PlatformReply::Conflict;
        }
        match &object {
            PlatformObject::Ledger(ledger) => {
                if let Err(error) = ledger.check_invariant() {
                    self.faults.push(format!("ledger: {error}"));
                }
            }
            PlatformObject::Segment(segment) => self.bills.extend(segment.bills.clone()),
            _ => {}
        }
        self.put(key.as_str(), object);
        PlatformReply::Written {
            version: self.revision,
        }
    }
}

fn stored(key: &ObjectKey, version: u64, object: Option<&PlatformObject>) -> StoredObject {
    StoredObject {
        key: key.clone(),
        version,
        object: object.map(|object| Box::new(object.clone())),
    }
}
