//! An in-memory platform and example catalogues for the tests of operators' commands.
#![allow(dead_code)]

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::future::Future;

use beechsaddle::catalogue_files::{BaseFile, DeclaredCatalogue, read_catalogue_texts};
use beechsaddle::operator::{ApplyOptions, ApplyOutcome, ApplyRun, ObjectStore, Result};
use beechsaddle_core::accounting::BudgetAccount;
use beechsaddle_core::clock::ClockTime;
use beechsaddle_core::names::{BudgetName, ObjectKey, OwnerName};
use beechsaddle_core::objects::{FleetLayout, PlatformObject};
use beechsaddle_core::platform::{PlatformCall, PlatformReply, StoredObject, WriteGuard};

/// A fault of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteFault {
    /// The write takes effect, and its response is lost.
    AnswerLost,
    /// The write does not take effect, and its response is lost.
    RequestLost,
}

#[derive(Debug, Default)]
struct StoreState {
    revision: u64,
    objects: BTreeMap<ObjectKey, (u64, PlatformObject)>,
    /// Faults of the next writes to keys with the given prefix.
    faults: VecDeque<(String, WriteFault)>,
    /// Objects that another operator writes directly before the next write to the same key.
    concurrent_writes: VecDeque<(ObjectKey, PlatformObject)>,
    /// Whether the platform becomes unreachable with the next fault.
    fails_after_fault: bool,
    is_unreachable: bool,
}

/// An in-memory platform.
#[derive(Debug, Default)]
pub struct MemoryStore {
    state: RefCell<StoreState>,
}

impl MemoryStore {
    pub fn fault(&self, prefix: &str, fault: WriteFault) {
        let mut state = self.state.borrow_mut();
        state.faults.push_back((prefix.to_string(), fault));
    }

    /// Makes another operator create `key` directly before the next write to it.
    pub fn insert_before_write(&self, key: &str, object: PlatformObject) {
        let mut state = self.state.borrow_mut();
        state
            .concurrent_writes
            .push_back((ObjectKey::new(key), object));
    }

    /// Makes the platform unreachable after the next fault.
    pub fn fail_after_fault(&self) {
        self.state.borrow_mut().fails_after_fault = true;
    }

    pub fn recover(&self) {
        let mut state = self.state.borrow_mut();
        state.is_unreachable = false;
        state.fails_after_fault = false;
    }

    pub fn get(&self, key: &str) -> Option<PlatformObject> {
        let state = self.state.borrow();
        state.objects.get(key).map(|(_, object)| object.clone())
    }

    pub fn put(&self, key: &str, object: PlatformObject) {
        let mut state = self.state.borrow_mut();
        state.revision += 1;
        let version = state.revision;
        state.objects.insert(ObjectKey::new(key), (version, object));
    }

    pub fn account(&self, budget: &str) -> Option<BudgetAccount> {
        let state = self.state.borrow();
        state.objects.values().find_map(|(_, object)| match object {
            PlatformObject::Ledger(ledger) => ledger.budgets.get(budget).cloned(),
            _ => None,
        })
    }

    /// Changes an account as a router would.
    pub fn edit_account(&self, budget: &str, edit: impl Fn(&mut BudgetAccount)) {
        let mut state = self.state.borrow_mut();
        state.revision += 1;
        let revision = state.revision;
        for (version, object) in state.objects.values_mut() {
            if let PlatformObject::Ledger(ledger) = object
                && let Some(account) = ledger.budgets.get_mut(&BudgetName::new(budget))
            {
                edit(account);
                *version = revision;
            }
        }
    }

    fn read(&self, key: &ObjectKey) -> PlatformReply {
        match self.state.borrow().objects.get(key) {
            None => PlatformReply::Absent,
            Some((version, object)) => PlatformReply::Found(StoredObject {
                key: key.clone(),
                version: *version,
                object: Some(Box::new(object.clone())),
            }),
        }
    }

    fn write(&self, key: &ObjectKey, object: &PlatformObject, guard: WriteGuard) -> PlatformReply {
        let mut state = self.state.borrow_mut();
        let is_raced = state
            .concurrent_writes
            .front()
            .is_some_and(|(raced_key, _)| raced_key == key);
        if is_raced && let Some((raced_key, other)) = state.concurrent_writes.pop_front() {
            state.revision += 1;
            let version = state.revision;
            state.objects.insert(raced_key, (version, other));
        }
        let is_faulty = state
            .faults
            .front()
            .is_some_and(|(prefix, _)| key.as_str().starts_with(prefix));
        let fault = match is_faulty {
            true => state.faults.pop_front().map(|(_, fault)| fault),
            false => None,
        };
        state.is_unreachable |= fault.is_some() && state.fails_after_fault;
        if fault == Some(WriteFault::RequestLost) {
            return PlatformReply::Unknown;
        }
        let current = state.objects.get(key).map(|(version, _)| *version);
        let allowed = match guard {
            WriteGuard::Absent => current.is_none(),
            WriteGuard::Version(version) => current == Some(version),
        };
        if !allowed {
            return PlatformReply::Conflict;
        }
        state.revision += 1;
        let version = state.revision;
        state.objects.insert(key.clone(), (version, object.clone()));
        match fault {
            Some(WriteFault::AnswerLost) => PlatformReply::Unknown,
            Some(WriteFault::RequestLost) | None => PlatformReply::Written { version },
        }
    }

    fn list(&self, prefix: &ObjectKey, after: Option<&ObjectKey>) -> PlatformReply {
        let state = self.state.borrow();
        let objects = state.objects.iter().filter(|(key, _)| {
            key.as_str().starts_with(prefix.as_str()) && after.is_none_or(|after| *key > after)
        });
        PlatformReply::Listed {
            objects: objects
                .map(|(key, (version, _))| StoredObject {
                    key: key.clone(),
                    version: *version,
                    object: None,
                })
                .take(3)
                .collect(),
            revision: state.revision,
        }
    }
}

impl ObjectStore for MemoryStore {
    async fn call(&self, call: &PlatformCall) -> PlatformReply {
        if self.state.borrow().is_unreachable {
            return PlatformReply::Unreachable;
        }
        match call {
            PlatformCall::Read { key } => self.read(key),
            PlatformCall::Write { key, object, guard } => self.write(key, object, *guard),
            PlatformCall::List { prefix, after } => self.list(prefix, after.as_ref()),
            PlatformCall::Delete { .. } | PlatformCall::Watch { .. } => PlatformReply::Invalid,
        }
    }
}

/// Runs a future to completion on a paused clock, without real waiting.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("runtime")
        .block_on(future)
}

pub fn declared(text: &str) -> DeclaredCatalogue {
    read_catalogue_texts([("c.toml".to_string(), text.to_string())]).expect("catalogue")
}

pub fn base(revision: u64) -> BaseFile {
    BaseFile {
        revision,
        ..BaseFile::default()
    }
}

pub fn options(author: &str) -> ApplyOptions {
    ApplyOptions {
        author: OwnerName::new(author),
        now: ClockTime::from_millis(1_700_000_000_000),
        layout: FleetLayout {
            ledger_shards: 4,
            dedup_shards: 2,
        },
    }
}

pub async fn apply(
    store: &MemoryStore,
    author: &str,
    catalogue: &DeclaredCatalogue,
    base: &BaseFile,
) -> Result<ApplyOutcome> {
    let run = ApplyRun::new(store, options(author), catalogue, base.clone());
    run.run().await
}

/// Returns a small catalogue with the given owner and top-ups of its workspace.
pub fn small(owner: &str, top_ups: &str) -> String {
    format!(
        r#"
[[workspace]]
name = "pekara"
owner = "{owner}"
keys = ["sha256:{digest}"]
budget = "pekara-main"
services = ["pomocnik"]
models = ["listing"]

[[budget]]
name = "pekara-main"
owner = "{owner}"
workspace = "pekara"
top_up = [{top_ups}]

[[service]]
name = "pomocnik"
owner = "ana"
kind = "engine"

[[model]]
name = "listing"
owner = "ana"
service = "pomocnik"
"#,
        digest = "ab".repeat(32)
    )
}
