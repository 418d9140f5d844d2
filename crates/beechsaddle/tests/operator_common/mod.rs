//! A platform in memory and catalogues in text, for the tests of operators' commands.
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

/// What goes wrong with a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteFault {
    /// It takes effect, and its answer is lost.
    AnswerLost,
    /// It does not take effect, and its answer is lost.
    RequestLost,
}

#[derive(Debug, Default)]
struct StoreState {
    revision: u64,
    objects: BTreeMap<ObjectKey, (u64, PlatformObject)>,
    /// Faults of the next writes to keys that begin with the text.
    faults: VecDeque<(String, WriteFault)>,
    /// What another operator writes right before the next write to the same key.
    races: VecDeque<(ObjectKey, PlatformObject)>,
    /// Whether no call is answered from the next lost answer on.
    dies: bool,
    dead: bool,
}

/// A platform in memory.
#[derive(Debug, Default)]
pub struct MemoryStore {
    state: RefCell<StoreState>,
}

impl MemoryStore {
    pub fn fault(&self, prefix: &str, fault: WriteFault) {
        let mut state = self.state.borrow_mut();
        state.faults.push_back((prefix.to_string(), fault));
    }

    /// Right before the next write to `key` somebody else creates it.
    pub fn race(&self, key: &str, object: PlatformObject) {
        let mut state = self.state.borrow_mut();
        state.races.push_back((ObjectKey::new(key), object));
    }

    /// After the next lost answer the platform is away.
    pub fn die_after_fault(&self) {
        self.state.borrow_mut().dies = true;
    }

    pub fn heal(&self) {
        let mut state = self.state.borrow_mut();
        state.dead = false;
        state.dies = false;
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
        let raced = state.races.front().is_some_and(|(raced, _)| raced == key);
        if raced && let Some((raced, other)) = state.races.pop_front() {
            state.revision += 1;
            let version = state.revision;
            state.objects.insert(raced, (version, other));
        }
        let faulty = state
            .faults
            .front()
            .is_some_and(|(prefix, _)| key.as_str().starts_with(prefix));
        let fault = match faulty {
            true => state.faults.pop_front().map(|(_, fault)| fault),
            false => None,
        };
        state.dead |= fault.is_some() && state.dies;
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
        if self.state.borrow().dead {
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

/// Runs to the end on a clock that needs no waiting.
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

/// A small catalogue; the texts replace the owner of the workspace and its top-ups.
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
