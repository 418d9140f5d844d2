//! The `token_lender` module provides the lending of tokens to other routers.

use std::rc::Rc;
use std::time::Duration;

use beechsaddle_core::gateway::{LoanReply, LoanRequest};
use beechsaddle_core::prelude::*;
use tokio::time::{Instant, timeout_at};

use super::gateway_state::GatewayState;
use super::ledger_wait::LedgerWait;
use super::token_lending::want_tokens;

/// How long a borrower waits while this router asks the ledger, in milliseconds: a few tries of a
/// write that meets others. The borrower's own limit is above it.
const LEDGER_WAIT_MS: u64 = 250;

/// Lends, after asking the ledger if there is too little here.
///
/// While the ledger is away or has too little a keeper asks those of other domains, for all routers of its own. A
/// router of another domain that asks then is answered from what is here: it asks all others by itself.
pub(super) async fn lend_tokens(
    state: &Rc<GatewayState>,
    workspace: &WorkspaceName,
    request: LoanRequest,
    is_foreign: bool,
) -> LoanReply {
    record_request(state, workspace, request);
    let waiting = LedgerWait::start(state, workspace, request.least);
    let until = Instant::now() + Duration::from_millis(LEDGER_WAIT_MS);
    loop {
        let changed = state.escrow_changed.notified();
        let now = state.now();
        let reply = state.escrow.borrow_mut().lend(now, workspace, request);
        if reply != LoanReply::Short {
            return reply;
        }
        let is_away = state.is_ledger_away.get();
        if (is_away && is_foreign) || state.lending.was_refused(now, workspace) {
            return LoanReply::LedgerAway;
        }
        if is_foreign && !is_covered(state, workspace, request.least) {
            return LoanReply::Short;
        }
        waiting.begin();
        state.escrow_wake.notify_one();
        let is_outgrown = state.escrow.borrow().is_uncovered(workspace);
        if is_away || is_outgrown || has_keeper(state, workspace) {
            want_tokens(state, workspace);
        }
        if timeout_at(until, changed).await.is_err() {
            return match state.is_ledger_away.get() {
                true => LoanReply::LedgerAway,
                false => LoanReply::Short,
            };
        }
    }
}

/// Notes a request once, before tokens are looked for perhaps several times.
fn record_request(state: &GatewayState, workspace: &WorkspaceName, request: LoanRequest) {
    let mut escrow = state.escrow.borrow_mut();
    escrow.record_request(state.now(), workspace, request);
}

/// Whether what nobody has taken covers a request, as far as this router knows.
fn is_covered(state: &GatewayState, workspace: &WorkspaceName, tokens: u64) -> bool {
    let left = state.escrow.borrow().left_of(workspace);
    left.is_none_or(|left| left >= tokens)
}

/// Whether this router knows a keeper that it has to ask, as for a call of its own.
///
/// Whoever asks found the routers before this one silent. This one has not met them and takes itself for
/// a borrower yet: it would answer short for over a second, and calls would be refused with the store
/// reachable. Asking either brings tokens or shows that the keeper is gone, which makes this router the
/// keeper. Each router asks one that comes before it in the same order, so that no circle arises.
fn has_keeper(state: &GatewayState, workspace: &WorkspaceName) -> bool {
    let ring = state.lending.ring.borrow();
    ring.allocator(state.now(), workspace).is_some()
}
