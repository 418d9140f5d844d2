//! The `token_return` module provides the return of borrowed tokens to the allocator of their workspace.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use beechsaddle_core::gateway::{EscrowRole, LoanReturn, PeerRecord};
use beechsaddle_core::prelude::*;
use beechsaddle_core::report::LogLevel;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::gateway_state::GatewayState;
use super::peer_link::ReturnFailure;
use super::token_lending::{LOAN_TIMEOUT, mark_down};

/// Minimum interval between two returns of a workspace's tokens, in milliseconds: several calls long, so
/// that the remainder of one call can serve the next.
const RETURN_INTERVAL_MS: u64 = 2_000;

/// Returns surplus tokens of a borrower.
pub(super) struct TokenReturns {
    state: Rc<GatewayState>,
    returned_at: RefCell<BTreeMap<WorkspaceName, ClockTime>>,
}

impl TokenReturns {
    /// Creates the state of a router that has returned no tokens yet.
    pub(super) fn new(state: Rc<GatewayState>) -> Self {
        TokenReturns {
            state,
            returned_at: RefCell::default(),
        }
    }

    /// Starts the returns that are due; while the escrow is closing, without regard to the interval.
    pub(super) fn begin(&self) {
        let now = self.state.now();
        let is_closing = self.state.escrow.borrow().is_closing();
        let due = self.state.escrow.borrow().returnable(now);
        for workspace in due {
            let returned_at = self.returned_at.borrow().get(&workspace).copied();
            let is_interval_over = returned_at.is_none_or(|at| now.since(at) >= RETURN_INTERVAL_MS);
            if is_interval_over || is_closing {
                self.returned_at.borrow_mut().insert(workspace.clone(), now);
                self.begin_return_of(workspace);
            }
        }
    }

    fn begin_return_of(&self, workspace: WorkspaceName) {
        let now = self.state.now();
        let ring = self.state.lending.ring.borrow();
        let Some(allocator) = ring.allocator(now, &workspace).cloned() else {
            return;
        };
        drop(ring);
        let mut escrow = self.state.escrow.borrow_mut();
        if let Some(loan_return) = escrow.begin_return(now, &workspace) {
            let state = Rc::clone(&self.state);
            spawn_local(
                async move { return_tokens(&state, &allocator, &workspace, loan_return).await },
            );
        }
    }
}

async fn return_tokens(
    state: &GatewayState,
    allocator: &PeerRecord,
    workspace: &WorkspaceName,
    loan_return: LoanReturn,
) {
    let secret = state.lending.secret();
    let links = &state.lending.links;
    let returned = links.return_tokens(allocator, &secret, workspace, loan_return);
    let returned = match timeout(LOAN_TIMEOUT, returned).await {
        Ok(returned) => returned,
        Err(_) => Err(ReturnFailure::Unknown("no answer in time".to_owned())),
    };
    let outcome = apply_outcome(state, allocator, workspace, loan_return, returned);
    let fields = [
        ("workspace", workspace.to_string()),
        ("peer", allocator.host.to_string()),
        ("outcome", outcome.to_owned()),
        ("tokens", loan_return.tokens.to_string()),
    ];
    state.report.log(LogLevel::Info, "tokens_returned", fields);
    state.escrow_changed.notify_waiters();
}

/// Applies the outcome of a return. Returns its name in logs.
fn apply_outcome(
    state: &GatewayState,
    allocator: &PeerRecord,
    workspace: &WorkspaceName,
    loan_return: LoanReturn,
    returned: Result<Option<u64>, ReturnFailure>,
) -> &'static str {
    let mut escrow = state.escrow.borrow_mut();
    match returned {
        Ok(taken) => {
            escrow.finish_return(workspace, loan_return);
            if let Some(taken) = taken {
                escrow.record_taken(workspace, taken);
            }
            "returned"
        }
        Err(ReturnFailure::Refused) => {
            escrow.undo_return(workspace, loan_return);
            // A router that shuts down has no other recipient than the ledger; others try again later.
            if escrow.is_closing() {
                escrow.set_role(workspace, EscrowRole::Allocator);
            }
            "refused"
        }
        Err(ReturnFailure::Unsent(error)) => {
            escrow.undo_return(workspace, loan_return);
            drop(escrow);
            mark_down(state, allocator, &error);
            "unsent"
        }
        Err(ReturnFailure::Unknown(error)) => {
            // The allocator may have received the tokens: using them here too could overspend the total.
            escrow.lose_return(workspace, loan_return);
            drop(escrow);
            mark_down(state, allocator, &error);
            "unknown"
        }
    }
}
