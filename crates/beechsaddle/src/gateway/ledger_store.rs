//! The `ledger_store` module provides ledgers as objects of the platform's store.

use std::fmt::Write;
use std::rc::Rc;

use beechsaddle_core::gateway::{BudgetLedger, LedgerChange, TokenTransfer};
use beechsaddle_core::prelude::*;
use beechsaddle_core::report::LogLevel;
use beechsaddle_platform::{ObjectKind, StoreFailure, StoreObject};
use serde_json::Value;

use super::gateway_state::GatewayState;
use super::store_call::StoreCall;

/// A ledger as it lies in the store.
#[derive(Clone, Debug)]
pub(super) struct StoredLedger {
    /// The revision of its last change.
    pub(super) revision: u64,
    /// The ledger.
    pub(super) ledger: BudgetLedger,
}

/// What came of a write.
#[derive(Debug)]
pub(super) enum WriteOutcome {
    /// It is done.
    Done(StoredLedger),
    /// Another write came first, perhaps an earlier try of this one.
    Overtaken {
        /// The ledger as it is.
        ledger: StoredLedger,
        /// Whether the change is in it.
        has_change: bool,
    },
    /// Nothing is known of it, or nothing was done.
    Failed(StoreFailure),
}

/// Reads and writes ledgers.
pub(super) struct LedgerStore {
    state: Rc<GatewayState>,
}

impl LedgerStore {
    /// Ledgers in the store of a gateway.
    pub(super) fn new(state: Rc<GatewayState>) -> Self {
        LedgerStore { state }
    }

    /// Finds a ledger, or makes an empty one where there is none.
    ///
    /// One that is some seconds old will do, for a tenth of the price: a write that is made from it meets the
    /// newest, which comes with the refusal.
    pub(super) async fn find_or_create(
        &self,
        workspace: &WorkspaceName,
    ) -> Result<StoredLedger, StoreFailure> {
        match self.read_stale(workspace).await {
            Err(StoreFailure::Missing) => self.create(&object_name(workspace)).await,
            found => found,
        }
    }

    /// Reads a ledger as it is now.
    pub(super) async fn read(
        &self,
        workspace: &WorkspaceName,
    ) -> Result<StoredLedger, StoreFailure> {
        let name = object_name(workspace);
        let started = self.state.now();
        let read = self.state.store.read(ObjectKind::Budgets, &name).await;
        self.state
            .note_store_call(StoreCall::ReadLedger, started, &read);
        self.decode(&read?)
    }

    async fn create(&self, name: &str) -> Result<StoredLedger, StoreFailure> {
        let empty = encode(&BudgetLedger::default())?;
        let started = self.state.now();
        let kind = ObjectKind::Budgets;
        let created = self.state.store.create(kind, name, &empty).await;
        self.state
            .note_store_call(StoreCall::Register, started, &created);
        match created {
            Ok(object) => self.decode(&object),
            Err(StoreFailure::Conflict(Some(object))) => self.decode(&object),
            Err(failure) => Err(failure),
        }
    }

    /// Reads a ledger as it was some seconds ago.
    pub(super) async fn read_stale(
        &self,
        workspace: &WorkspaceName,
    ) -> Result<StoredLedger, StoreFailure> {
        let name = object_name(workspace);
        let started = self.state.now();
        let read = self
            .state
            .store
            .read_stale(ObjectKind::Budgets, &name)
            .await;
        self.state
            .note_store_call(StoreCall::ReadStaleLedger, started, &read);
        self.decode(&read?)
    }

    /// Writes a change on the ledger that it was made from.
    ///
    /// A write without an answer may be done now, later or never. The same write, on the same
    /// revision, is tried until the store tells: at most one of the tries can be done, since each
    /// changes the revision that all of them ask for.
    pub(super) async fn write(
        &self,
        workspace: &WorkspaceName,
        known: &StoredLedger,
        change: LedgerChange,
    ) -> WriteOutcome {
        let router = self.state.escrow.borrow().router().to_owned();
        let ledger = known.ledger.with_change(&router, change);
        let spec = match encode(&ledger) {
            Ok(spec) => spec,
            Err(failure) => return WriteOutcome::Failed(failure),
        };
        let name = object_name(workspace);
        let started = self.state.now();
        let kind = ObjectKind::Budgets;
        let revision = known.revision;
        let written = self.state.store.replace(kind, &name, revision, &spec).await;
        self.state
            .note_store_call(StoreCall::WriteLedger, started, &written);
        match written {
            Ok(object) => {
                self.log_change(workspace, change, known, &ledger, object.revision());
                WriteOutcome::Done(StoredLedger {
                    revision: object.revision(),
                    ledger,
                })
            }
            Err(StoreFailure::Conflict(Some(object))) => match self.decode(&object) {
                Ok(stored) => WriteOutcome::Overtaken {
                    has_change: stored.ledger.has_change(&router, change.number),
                    ledger: stored,
                },
                Err(failure) => WriteOutcome::Failed(failure),
            },
            Err(failure) => WriteOutcome::Failed(failure),
        }
    }

    fn decode(&self, object: &StoreObject) -> Result<StoredLedger, StoreFailure> {
        match serde_json::from_value(object.spec.clone()) {
            Ok(ledger) => Ok(StoredLedger {
                revision: object.revision(),
                ledger,
            }),
            Err(error) => {
                let fields = [
                    ("object", object.name().to_owned()),
                    ("revision", object.revision().to_string()),
                    ("error", error.to_string()),
                ];
                let report = &self.state.report;
                report.log(LogLevel::Error, "ledger_unreadable", fields);
                Err(StoreFailure::Malformed(error.to_string()))
            }
        }
    }

    fn log_change(
        &self,
        workspace: &WorkspaceName,
        change: LedgerChange,
        known: &StoredLedger,
        ledger: &BudgetLedger,
        revision: u64,
    ) {
        let (what, tokens) = match change.transfer {
            TokenTransfer::Take(tokens) => ("take", tokens),
            TokenTransfer::GiveBack(tokens) => ("give_back", tokens),
        };
        let recovered = known.ledger.recovered_in(ledger, change);
        self.state.metrics.tokens_recovered.inc_by(recovered);
        let fields = [
            ("workspace", workspace.to_string()),
            ("number", change.number.to_string()),
            ("transfer", what.to_owned()),
            ("tokens", tokens.to_string()),
            ("taken", ledger.taken.to_string()),
            ("idle", change.idle.to_string()),
            ("lost", ledger.lost.to_string()),
            (
                "deferred",
                change.deferred.map_or(0, |cover| cover.tokens).to_string(),
            ),
            ("recovered", recovered.to_string()),
            ("revision", revision.to_string()),
        ];
        let report = &self.state.report;
        report.log(LogLevel::Info, "ledger_written", fields);
    }
}

fn encode(ledger: &BudgetLedger) -> Result<Value, StoreFailure> {
    serde_json::to_value(ledger).map_err(|error| StoreFailure::Malformed(error.to_string()))
}

/// The object of a workspace's ledger. Characters that could mean something in a path are spelled
/// by their numbers, so that no two workspaces share a ledger.
fn object_name(workspace: &WorkspaceName) -> String {
    let mut name = "ledger-".to_owned();
    for byte in workspace.as_str().bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' => name.push(char::from(byte)),
            // Writing to a string cannot fail.
            _ => drop(write!(name, "_{byte:02x}")),
        }
    }
    name
}
