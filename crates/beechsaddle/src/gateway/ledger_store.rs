//! The `ledger_store` module provides access to ledgers, which are objects of the platform's store.

use std::fmt::Write;
use std::rc::Rc;

use beechsaddle_core::gateway::{LedgerChange, TokenTransfer, WorkspaceLedger};
use beechsaddle_core::prelude::*;
use beechsaddle_core::report::LogLevel;
use beechsaddle_platform::{ObjectKind, StoreFailure, StoreObject};
use serde_json::Value;

use super::gateway_state::GatewayState;
use super::store_call::StoreCall;

/// A ledger and its revision in the store.
#[derive(Clone, Debug)]
pub(super) struct StoredLedger {
    /// The revision of its last change.
    pub(super) revision: u64,
    pub(super) ledger: WorkspaceLedger,
}

/// The outcome of a write.
#[derive(Debug)]
pub(super) enum WriteOutcome {
    /// The write succeeded.
    Done(StoredLedger),
    /// Another write came first, possibly an earlier attempt of the same write.
    Superseded {
        /// The current ledger.
        ledger: StoredLedger,
        /// Whether it contains the change.
        has_change: bool,
    },
    /// The write failed, or its outcome is unknown.
    Failed(StoreFailure),
}

/// Reads and writes ledgers.
pub(super) struct LedgerStore {
    state: Rc<GatewayState>,
}

impl LedgerStore {
    /// Creates access to the ledgers in the store of a gateway.
    pub(super) fn new(state: Rc<GatewayState>) -> Self {
        LedgerStore { state }
    }

    /// Reads a ledger, or creates an empty one if there is none.
    ///
    /// A stale read suffices, at a tenth of the cost: a write that is based on it conflicts, and the
    /// conflict returns the newest ledger.
    pub(super) async fn find_or_create(
        &self,
        workspace: &WorkspaceName,
    ) -> Result<StoredLedger, StoreFailure> {
        match self.read_stale(workspace).await {
            Err(StoreFailure::Missing) => self.create(&object_name(workspace)).await,
            found => found,
        }
    }

    /// Reads the current ledger.
    pub(super) async fn read(
        &self,
        workspace: &WorkspaceName,
    ) -> Result<StoredLedger, StoreFailure> {
        let name = object_name(workspace);
        let started = self.state.now();
        let read = self.state.store.read(ObjectKind::Budgets, &name).await;
        self.state
            .record_store_call(StoreCall::ReadLedger, started, &read);
        self.decode(&read?)
    }

    async fn create(&self, name: &str) -> Result<StoredLedger, StoreFailure> {
        let empty = encode(&WorkspaceLedger::default())?;
        let started = self.state.now();
        let kind = ObjectKind::Budgets;
        let created = self.state.store.create(kind, name, &empty).await;
        self.state
            .record_store_call(StoreCall::Register, started, &created);
        match created {
            Ok(object) => self.decode(&object),
            Err(StoreFailure::Conflict(Some(object))) => self.decode(&object),
            Err(failure) => Err(failure),
        }
    }

    /// Reads a ledger that may be some seconds old.
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
            .record_store_call(StoreCall::ReadStaleLedger, started, &read);
        self.decode(&read?)
    }

    /// Writes a change to the ledger that it is based on.
    ///
    /// A write without an answer may be committed now, later or never. The same write is repeated on the
    /// same revision until the store answers: at most one of the attempts can succeed, since each changes
    /// the revision that all of them require.
    pub(super) async fn write(
        &self,
        workspace: &WorkspaceName,
        base: &StoredLedger,
        change: LedgerChange,
    ) -> WriteOutcome {
        let router = self.state.escrow.borrow().router().to_owned();
        let ledger = base.ledger.with_change(&router, change);
        let spec = match encode(&ledger) {
            Ok(spec) => spec,
            Err(failure) => return WriteOutcome::Failed(failure),
        };
        let name = object_name(workspace);
        let started = self.state.now();
        let kind = ObjectKind::Budgets;
        let revision = base.revision;
        let written = self.state.store.replace(kind, &name, revision, &spec).await;
        self.state
            .record_store_call(StoreCall::WriteLedger, started, &written);
        match written {
            Ok(object) => {
                self.log_change(workspace, change, base, &ledger, object.revision());
                WriteOutcome::Done(StoredLedger {
                    revision: object.revision(),
                    ledger,
                })
            }
            Err(StoreFailure::Conflict(Some(object))) => match self.decode(&object) {
                Ok(stored) => WriteOutcome::Superseded {
                    has_change: stored.ledger.has_change(&router, change.number),
                    ledger: stored,
                },
                Err(failure) => WriteOutcome::Failed(failure),
            },
            Err(failure) => WriteOutcome::Failed(failure),
        }
    }

    fn decode(&self, object: &StoreObject) -> Result<StoredLedger, StoreFailure> {
        match object.try_content() {
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
        base: &StoredLedger,
        ledger: &WorkspaceLedger,
        revision: u64,
    ) {
        let (what, tokens) = match change.transfer {
            TokenTransfer::Take(tokens) => ("take", tokens),
            TokenTransfer::GiveBack(tokens) => ("give_back", tokens),
        };
        let recovered = base.ledger.recovered_in(ledger, change);
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
                change
                    .deferred
                    .map_or(0, |reserve| reserve.tokens)
                    .to_string(),
            ),
            (
                "opened_per_s",
                change
                    .deferred
                    .and_then(|reserve| reserve.per_s)
                    .unwrap_or(0)
                    .to_string(),
            ),
            ("recovered", recovered.to_string()),
            ("revision", revision.to_string()),
        ];
        let report = &self.state.report;
        report.log(LogLevel::Info, "ledger_written", fields);
    }
}

fn encode(ledger: &WorkspaceLedger) -> Result<Value, StoreFailure> {
    serde_json::to_value(ledger).map_err(|error| StoreFailure::Malformed(error.to_string()))
}

/// Returns the object name of a workspace's ledger. Characters with a possible meaning in paths are
/// replaced by their byte values, so that no two workspaces share a ledger.
fn object_name(workspace: &WorkspaceName) -> String {
    let mut name = "ledger-".to_owned();
    for byte in workspace.as_str().bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' => name.push(char::from(byte)),
            // Writing to a `String` cannot fail.
            _ => drop(write!(name, "_{byte:02x}")),
        }
    }
    name
}
