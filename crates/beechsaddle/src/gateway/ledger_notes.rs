//! The `ledger_notes` module provides what keepers of a workspace tell each other of its ledger.
//!
//! A ledger has a keeper in each domain, and each writes it by itself. Whoever writes from a revision that another one
//! has changed meets a conflict, which costs a call to the store and has callers wait for the next try. The one that
//! has written tells the others. A note that is lost, late or doubled changes nothing but that: a write is done only
//! on the revision that it was made from.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use beechsaddle_core::gateway::{BudgetLedger, EscrowRole, PeerRecord};
use beechsaddle_core::prelude::*;
use beechsaddle_core::report::LogLevel;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::gateway_state::GatewayState;
use super::ledger_store::StoredLedger;
use super::token_lending::{LOAN_SPAN, mark_down};

/// A ledger as another keeper has written it.
#[derive(Clone, Debug)]
pub(super) struct LedgerNote {
    /// What it wrote.
    pub(super) stored: StoredLedger,
    /// When this router was told.
    pub(super) told_at: ClockTime,
}

/// The newest note of each workspace that this router keeps, until its keeper of ledgers takes it.
#[derive(Debug, Default)]
pub(super) struct LedgerNotes {
    notes: RefCell<BTreeMap<WorkspaceName, LedgerNote>>,
}

impl LedgerNotes {
    /// Keeps a note unless a newer one of the workspace is waiting.
    pub(super) fn put(&self, workspace: WorkspaceName, note: LedgerNote) {
        let mut notes = self.notes.borrow_mut();
        let waiting = notes.get(&workspace);
        if waiting.is_none_or(|waiting| waiting.stored.revision < note.stored.revision) {
            notes.insert(workspace, note);
        }
    }

    /// Takes the note of a workspace.
    pub(super) fn take(&self, workspace: &WorkspaceName) -> Option<LedgerNote> {
        self.notes.borrow_mut().remove(workspace)
    }
}

/// Takes over what a router of another domain tells; one that does not keep the workspace has no use for it.
///
/// # Errors
///
/// When the ledger cannot be read.
pub(super) fn note_ledger(
    state: &GatewayState,
    workspace: WorkspaceName,
    revision: u64,
    ledger: &[u8],
) -> Result<(), serde_json::Error> {
    let ledger: BudgetLedger = serde_json::from_slice(ledger)?;
    let facts = state.escrow.borrow().facts(state.now(), &workspace);
    if facts.is_some_and(|facts| facts.role == EscrowRole::Allocator) {
        let note = LedgerNote {
            stored: StoredLedger { revision, ledger },
            told_at: state.now(),
        };
        state.ledger_notes.put(workspace, note);
    }
    Ok(())
}

/// Tells the keepers of other domains what was written, without waiting for them.
pub(super) fn tell_keepers(
    state: &Rc<GatewayState>,
    workspace: &WorkspaceName,
    stored: &StoredLedger,
) {
    let keepers: Vec<_> = {
        let ring = state.lending.ring.borrow();
        let keepers = ring.foreign_allocators(state.now(), workspace);
        keepers.into_iter().cloned().collect()
    };
    for allocator in keepers {
        let (state, workspace, stored) = (Rc::clone(state), workspace.clone(), stored.clone());
        spawn_local(async move { tell_keeper(&state, &allocator, &workspace, &stored).await });
    }
}

async fn tell_keeper(
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
    let told = links.note_ledger(allocator, &secret, workspace, stored.revision, &body);
    match timeout(LOAN_SPAN, told).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => drop(mark_down(state, allocator, &error)),
        Err(_) => drop(mark_down(state, allocator, "no answer in time")),
    }
}
