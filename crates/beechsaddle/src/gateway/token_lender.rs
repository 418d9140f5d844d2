//! The `token_lender` module provides loans of tokens to other routers.

use std::rc::Rc;
use std::time::Duration;

use beechsaddle_core::gateway::{CallUrgency, LoanReply, LoanRequest, TokenNeed, UrgencyNeed};
use beechsaddle_core::prelude::*;
use tokio::time::{Instant, timeout_at};

use super::gateway_state::GatewayState;
use super::ledger_wait::LedgerWait;
use super::opening_turn::OpeningTurn;
use super::token_lending::start_request;
use super::token_reservation::LEDGER_WAIT_MS as CALL_WAIT_MS;

/// How long a borrower waits while this router requests tokens from the ledger, in milliseconds: a few
/// attempts of a conflicting write. The borrower's own timeout is longer.
const LEDGER_WAIT_MS: u64 = 250;

/// Lends tokens, after a request to the ledger if this router holds too little.
///
/// While the ledger is unreachable or has too little, an allocator requests tokens from those of other
/// domains, on behalf of its own domain. A request from another domain is then answered from the tokens
/// held here, since the requesting router tries all other domains itself.
///
/// If deferred tokens become usable in time for the calls that wait, the borrower is told that this router
/// has too little at the moment, and asks again.
pub(super) async fn lend_tokens(
    state: &Rc<GatewayState>,
    workspace: &WorkspaceName,
    request: LoanRequest,
    needs: &[UrgencyNeed],
    is_foreign: bool,
) -> LoanReply {
    record_request(state, workspace, request);
    if !is_foreign {
        let mut escrow = state.escrow.borrow_mut();
        escrow.record_needs(state.now(), workspace, needs);
    }
    let urgency = state.escrow.borrow().urgency_in_force(most_urgent(needs));
    let awaited = awaited_tokens(state, workspace, request, needs);
    let waiting = LedgerWait::start(state, workspace, urgency, awaited);
    let need = TokenNeed {
        tokens: request.least,
        urgency,
    };
    let until = Instant::now() + Duration::from_millis(LEDGER_WAIT_MS);
    let mut turn = OpeningTurn::new(urgency);
    loop {
        let changed = state.escrow_changed.notified();
        let now = state.now();
        let reply = match turn.is_awaited(state, workspace) {
            true => LoanReply::Short,
            false => {
                let outage_ms = state.outage_ms();
                let mut escrow = state.escrow.borrow_mut();
                escrow.lend_urgent(now, workspace, request, needs, outage_ms)
            }
        };
        if reply != LoanReply::Short || keeps_from(state, workspace, request, needs) {
            return reply;
        }
        let is_unreachable = state.is_ledger_unreachable.get();
        if is_foreign && (is_unreachable || state.lending.was_refused(now, workspace, need)) {
            return LoanReply::LedgerUnreachable;
        }
        if is_foreign && !is_covered(state, workspace, request.least) {
            return LoanReply::Short;
        }
        waiting.begin();
        let next_look = turn.next_look(state, workspace, CALL_WAIT_MS);
        if state.lending.was_refused(now, workspace, need) && next_look.is_none() {
            return LoanReply::LedgerUnreachable;
        }
        state.escrow_wake.notify_one();
        let exceeds_ledger = state.escrow.borrow().is_uncovered(workspace);
        if is_unreachable || exceeds_ledger || has_allocator(state, workspace) {
            start_request(state, workspace, need);
        }
        let wake_at = next_look.map_or(until, |next_look| until.min(Instant::now() + next_look));
        if timeout_at(wake_at, changed).await.is_err() && Instant::now() >= until {
            return match state.is_ledger_unreachable.get() && next_look.is_none() {
                true => LoanReply::LedgerUnreachable,
                false => LoanReply::Short,
            };
        }
    }
}

/// Records the demand of a request once; the attempts to lend may follow several times.
fn record_request(state: &GatewayState, workspace: &WorkspaceName, request: LoanRequest) {
    let mut escrow = state.escrow.borrow_mut();
    escrow.record_request(state.now(), workspace, request);
}

/// Returns the tokens to request from the ledger for a borrower: those that all of its most urgent calls
/// wait for, if the total covers them. With the smallest loan that helps, one of them would be served at a
/// time, as little is held in advance while other calls are turned away.
fn awaited_tokens(
    state: &GatewayState,
    workspace: &WorkspaceName,
    request: LoanRequest,
    needs: &[UrgencyNeed],
) -> u64 {
    let urgency = most_urgent(needs);
    let follows_urgency = state.escrow.borrow().follows_urgency();
    let waiting = needs.iter().filter(|need| need.urgency == urgency);
    let tokens: u64 = waiting.map(|need| need.need).sum();
    match follows_urgency && is_covered(state, workspace, tokens) {
        true => tokens.max(request.least),
        false => request.least,
    }
}

/// Whether tokens are kept from a borrower that tells its needs by urgency.
fn keeps_from(
    state: &GatewayState,
    workspace: &WorkspaceName,
    request: LoanRequest,
    needs: &[UrgencyNeed],
) -> bool {
    !needs.is_empty() && state.escrow.borrow().keeps_from(workspace, request)
}

/// Returns the urgency of the most urgent calls that wait at a borrower; that of a router which does not
/// tell it comes after all others.
fn most_urgent(needs: &[UrgencyNeed]) -> CallUrgency {
    let waiting = needs.iter().filter(|need| need.need > 0);
    let urgencies = waiting.map(|need| need.urgency);
    urgencies.min().unwrap_or(CallUrgency(u8::MAX))
}

/// Whether the untaken part of the total covers a request, as far as this router knows.
fn is_covered(state: &GatewayState, workspace: &WorkspaceName, tokens: u64) -> bool {
    let left = state.escrow.borrow().left_of(workspace);
    left.is_none_or(|left| left >= tokens)
}

/// Whether another router is the allocator and has to be tried first, as for a call of this router.
///
/// A borrower sends its request here only if the routers before this one in the order did not answer. This
/// router may not know that yet and consider itself a borrower: it would report a shortage for over a
/// second, and calls would be refused although the store is reachable. A request of its own either brings
/// tokens or shows that the allocator is down, which makes this router the allocator. Requests only go to
/// routers that come earlier in an order common to all, so there are no cycles.
fn has_allocator(state: &GatewayState, workspace: &WorkspaceName) -> bool {
    let ring = state.lending.ring.borrow();
    ring.allocator(state.now(), workspace).is_some()
}
