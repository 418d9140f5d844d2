//! The `token_return` module provides the handing back of tokens to the router that keeps their workspace.

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
use super::token_lending::{LOAN_SPAN, mark_down};

/// The shortest time between two returns of a workspace, in milliseconds: some calls, so that what one call
/// leaves may serve the next.
const RETURN_SPAN_MS: u64 = 2_000;

/// Hands back what a borrower holds too much of.
pub(super) struct TokenReturns {
    state: Rc<GatewayState>,
    returned_at: RefCell<BTreeMap<WorkspaceName, ClockTime>>,
}

impl TokenReturns {
    /// Returns of a router that has made none.
    pub(super) fn new(state: Rc<GatewayState>) -> Self {
        TokenReturns {
            state,
            returned_at: RefCell::default(),
        }
    }

    /// Begins to hand back what is due; when all is to be given back, at once.
    pub(super) fn begin(&self) {
        let now = self.state.now();
        let is_closing = self.state.escrow.borrow().is_closing();
        let due = self.state.escrow.borrow().returnable(now);
        for workspace in due {
            let returned_at = self.returned_at.borrow().get(&workspace).copied();
            let is_calm = returned_at.is_none_or(|at| now.since(at) >= RETURN_SPAN_MS);
            if is_calm || is_closing {
                self.returned_at.borrow_mut().insert(workspace.clone(), now);
                self.begin_one(workspace);
            }
        }
    }

    fn begin_one(&self, workspace: WorkspaceName) {
        let now = self.state.now();
        let ring = self.state.lending.ring.borrow();
        let Some(allocator) = ring.allocator(now, &workspace).cloned() else {
            return;
        };
        drop(ring);
        let mut escrow = self.state.escrow.borrow_mut();
        if let Some(handed) = escrow.begin_return(now, &workspace) {
            let state = Rc::clone(&self.state);
            spawn_local(async move { hand_back(&state, &allocator, &workspace, handed).await });
        }
    }
}

async fn hand_back(
    state: &GatewayState,
    allocator: &PeerRecord,
    workspace: &WorkspaceName,
    handed: LoanReturn,
) {
    let secret = state.lending.secret();
    let links = &state.lending.links;
    let returned = links.return_tokens(allocator, &secret, workspace, handed);
    let returned = match timeout(LOAN_SPAN, returned).await {
        Ok(returned) => returned,
        Err(_) => Err(ReturnFailure::Unknown("no answer in time".to_owned())),
    };
    let outcome = take_outcome(state, allocator, workspace, handed, returned);
    let fields = [
        ("workspace", workspace.to_string()),
        ("peer", allocator.host.to_string()),
        ("outcome", outcome.to_owned()),
        ("tokens", handed.tokens.to_string()),
    ];
    state.report.log(LogLevel::Info, "tokens_returned", fields);
    state.escrow_changed.notify_waiters();
}

/// Takes over what became of a return; gives a word for it.
fn take_outcome(
    state: &GatewayState,
    allocator: &PeerRecord,
    workspace: &WorkspaceName,
    handed: LoanReturn,
    returned: Result<Option<u64>, ReturnFailure>,
) -> &'static str {
    let mut escrow = state.escrow.borrow_mut();
    match returned {
        Ok(taken) => {
            escrow.finish_return(workspace, handed);
            if let Some(taken) = taken {
                escrow.record_taken(workspace, taken);
            }
            "returned"
        }
        Err(ReturnFailure::Refused) => {
            escrow.undo_return(workspace, handed);
            // A router that ends has nobody else to give to; others try again.
            if escrow.is_closing() {
                escrow.set_role(workspace, EscrowRole::Allocator);
            }
            "refused"
        }
        Err(ReturnFailure::Unsent(error)) => {
            escrow.undo_return(workspace, handed);
            drop(escrow);
            mark_down(state, allocator, &error);
            "unsent"
        }
        Err(ReturnFailure::Unknown(error)) => {
            // The keeper may have them: spending them here as well would overspend.
            escrow.lose_return(workspace, handed);
            drop(escrow);
            mark_down(state, allocator, &error);
            "unknown"
        }
    }
}
