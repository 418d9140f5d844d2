//! The `ledger_updates` module provides the ledger updates that the allocators of a workspace send each
//! other.
//!
//! Each domain has an allocator for a ledger, and all of them write it independently. A write that is based
//! on an outdated revision conflicts, which costs a store call and makes calls wait for the next attempt.
//! Therefore an allocator sends each written ledger to the others. Lost, late or duplicate updates only
//! cause such conflicts: a write succeeds only on the revision that it is based on.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use beechsaddle_core::gateway::{EscrowRole, PeerRecord, WorkspaceLedger};
use beechsaddle_core::prelude::*;
use beechsaddle_core::report::LogLevel;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::gateway_state::GatewayState;
use super::ledger_store::StoredLedger;
use super::token_lending::{LOAN_TIMEOUT, mark_down};

/// A ledger as written by the allocator of another domain.
#[derive(Clone, Debug)]
pub(super) struct LedgerUpdate {
    pub(super) stored: StoredLedger,
    /// When this router received the update.
    pub(super) received_at: ClockTime,
}

/// The newest unprocessed update of each workspace, as far as this router is its allocator.
#[derive(Debug, Default)]
pub(super) struct LedgerUpdates {
    updates: RefCell<BTreeMap<WorkspaceName, LedgerUpdate>>,
}

impl LedgerUpdates {
    /// Stores an update unless a pending one is as new or newer.
    pub(super) fn insert(&self, workspace: WorkspaceName, update: LedgerUpdate) {
        let mut updates = self.updates.borrow_mut();
        let pending = updates.get(&workspace);
        if pending.is_none_or(|pending| pending.stored.revision < update.stored.revision) {
            updates.insert(workspace, update);
        }
    }

    /// Removes and returns the pending update of a workspace.
    pub(super) fn take(&self, workspace: &WorkspaceName) -> Option<LedgerUpdate> {
        self.updates.borrow_mut().remove(workspace)
    }
}

/// Receives a ledger from a router of another domain. It is ignored if this router is not the allocator of
/// the workspace.
///
/// # Errors
///
/// If the ledger cannot be decoded.
pub(super) fn receive_ledger(
    state: &GatewayState,
    workspace: WorkspaceName,
    revision: u64,
    ledger: &[u8],
) -> Result<(), serde_json::Error> {
    let ledger: WorkspaceLedger = serde_json::from_slice(ledger)?;
    let facts = state.escrow.borrow().facts(state.now(), &workspace);
    if facts.is_some_and(|facts| facts.role == EscrowRole::Allocator) {
        let update = LedgerUpdate {
            stored: StoredLedger { revision, ledger },
            received_at: state.now(),
        };
        state.ledger_updates.insert(workspace, update);
    }
    Ok(())
}

/// Sends a written ledger to the allocators of other domains, without waiting for them.
pub(super) fn notify_allocators(
    state: &Rc<GatewayState>,
    workspace: &WorkspaceName,
    stored: &StoredLedger,
) {
    let allocators: Vec<_> = {
        let ring = state.lending.ring.borrow();
        let allocators = ring.foreign_allocators(state.now(), workspace);
        allocators.into_iter().cloned().collect()
    };
    for allocator in allocators {
        let (state, workspace, stored) = (Rc::clone(state), workspace.clone(), stored.clone());
        spawn_local(async move { notify_allocator(&state, &allocator, &workspace, &stored).await });
    }
}

async fn notify_allocator(
    state: &GatewayState,
    allocator: &PeerRecord,
    workspace: &WorkspaceName,
    stored: &StoredLedger,
) {
    let body = match serde_json::to_vec(&stored.ledger) {
        Ok(body) => body,
        Err(error) => {
            let fields = [("error", error.to_string())];
            let report = &state.report;
            return report.log(LogLevel::Error, "ledger_not_told", fields);
        }
    };
    let secret = state.lending.secret();
    let links = &state.lending.links;
    let sent = links.send_ledger(allocator, &secret, workspace, stored.revision, &body);
    match timeout(LOAN_TIMEOUT, sent).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => drop(mark_down(state, allocator, &error)),
        Err(_) => drop(mark_down(state, allocator, "no answer in time")),
    }
}
