//! The `token_borrow` module provides requests for tokens to other routers: the allocator of the own
//! domain, its successor if it is down, and the allocators of other domains if the ledger does not suffice.

use std::rc::Rc;
use std::time::Duration;

use beechsaddle_core::gateway::{
    CallUrgency, EscrowRole, LoanReply, LoanRequest, PeerRecord, TokenNeed, UrgencyNeed,
};
use beechsaddle_core::prelude::*;
use beechsaddle_core::report::LogLevel;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::gateway_state::GatewayState;
use super::known_refusals::{forget_refusals, record_refused_loans};
use super::peer_link::LenderAnswer;
use super::token_lending::{LOAN_TIMEOUT, LoanFailure, mark_down, update_roles};

/// How long routers of the own domain are tried one after the other, in milliseconds. After the loss of
/// many routers, most candidates refuse the connection at once, so a live one is found in time for the
/// waiting call.
const DOMAIN_SEARCH_MS: u64 = 400;

/// Pause before another request to an allocator that had too little: the duration of several ledger
/// writes.
const SHORT_RETRY_PAUSE: Duration = Duration::from_millis(150);

/// How long the answer to a loan request is awaited after its calls timed out: longer than answers are
/// queued at a congested link.
const LATE_LOAN_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of requests to an allocator that has too little. Together they last as long as calls wait
/// for tokens.
const SHORT_ATTEMPTS_MAX: usize = 3;

/// The outcome of the requests within the own domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DomainOutcome {
    /// Tokens arrived, the total is exhausted, or no tokens are wanted any more.
    Resolved,
    /// The allocator has too little at the moment.
    Short,
    /// Neither the allocator nor this router can reach the ledger.
    LedgerUnreachable,
    /// This router is the allocator.
    NoOtherAllocator,
}

/// Requests tokens until no call waits or further requests are useless.
pub(super) async fn request_tokens(state: &Rc<GatewayState>, workspace: &WorkspaceName) {
    for _ in 0..SHORT_ATTEMPTS_MAX {
        // Read before the request: calls that begin to wait meanwhile were not asked for.
        let need = least_need(state, workspace);
        match request_from_domain(state, workspace).await {
            DomainOutcome::Resolved => return,
            DomainOutcome::Short => sleep(SHORT_RETRY_PAUSE).await,
            DomainOutcome::LedgerUnreachable => {
                return record_refused_loans(state, workspace, need);
            }
            DomainOutcome::NoOtherAllocator => {
                return request_as_allocator(state, workspace, need).await;
            }
        }
    }
}

/// Requests tokens from the domain's allocator, or from its successor if it does not answer.
///
/// An allocator that has too little already requests more from the ledger, so the borrower does not: dozens
/// of borrowers would conflict with each other and with the allocator's write, and find the same shortage.
/// If the allocator cannot reach the ledger but this router can, the next candidates are tried, in the end
/// this router itself. If neither can, no router takes the allocator's place: otherwise every router of a
/// domain writes when the store comes back, takes tokens that the allocator takes too, and needs as many
/// writes to give them back.
async fn request_from_domain(state: &Rc<GatewayState>, workspace: &WorkspaceName) -> DomainOutcome {
    let until = state.now().plus_ms(DOMAIN_SEARCH_MS);
    while state.now() < until {
        let allocator = {
            let ring = state.lending.ring.borrow();
            ring.allocator(state.now(), workspace).cloned()
        };
        let Some(allocator) = allocator else {
            return DomainOutcome::NoOtherAllocator;
        };
        match request_from_peer(state, &allocator, workspace).await {
            Ok(()) => return DomainOutcome::Resolved,
            Err(LoanFailure::Short) => return DomainOutcome::Short,
            Err(LoanFailure::LedgerUnreachable) if state.store_health.is_steady(state.now()) => {
                let mut ring = state.lending.ring.borrow_mut();
                ring.mark_ledger_unreachable(state.now(), &allocator.host);
                drop(ring);
                update_roles(state);
            }
            Err(LoanFailure::LedgerUnreachable) => return DomainOutcome::LedgerUnreachable,
            Err(LoanFailure::Unreachable) => {}
        }
    }
    DomainOutcome::Short
}

/// Takes the allocator role: requests tokens from the ledger or, if it is unreachable, from the allocators
/// of other domains.
///
/// The other allocators are also tried if the ledger has too little. The last part of a total is spread
/// over the allocators as remainders. If each first gave its remainder back in a ledger write, calls would
/// be refused meanwhile.
async fn request_as_allocator(
    state: &Rc<GatewayState>,
    workspace: &WorkspaceName,
    need: TokenNeed,
) {
    state
        .escrow
        .borrow_mut()
        .set_role(workspace, EscrowRole::Allocator);
    state.escrow_wake.notify_one();
    if state.is_ledger_unreachable.get() {
        if !request_from_other_domains(state, workspace).await {
            record_refused_loans(state, workspace, need);
        }
    } else if state.escrow.borrow().is_uncovered(workspace) {
        request_remainders(state, workspace).await;
    }
}

/// Requests the remainders of the allocators of other domains, unless they recently had none.
async fn request_remainders(state: &Rc<GatewayState>, workspace: &WorkspaceName) {
    let pauses = &state.lending.remainder_pauses;
    if pauses.borrow().is_paused(state.now(), workspace) {
        return;
    }
    match request_from_other_domains(state, workspace).await {
        true => pauses.borrow_mut().record_lent(workspace),
        false => pauses.borrow_mut().record_refused(state.now(), workspace),
    }
}

/// Returns the need of the smallest of the most urgent calls that wait. Lenders are asked for all calls
/// together, and refuse those and less urgent ones.
fn least_need(state: &GatewayState, workspace: &WorkspaceName) -> TokenNeed {
    let escrow = state.escrow.borrow();
    let urgency = escrow.most_urgent_waiting(workspace);
    TokenNeed {
        tokens: escrow.least_awaited(workspace).unwrap_or(0),
        urgency: urgency.unwrap_or(CallUrgency::HIGHEST),
    }
}

/// Requests tokens from the allocators of other domains, which may hold more than they currently need.
/// Returns whether one succeeded.
async fn request_from_other_domains(state: &Rc<GatewayState>, workspace: &WorkspaceName) -> bool {
    let allocators: Vec<_> = {
        let ring = state.lending.ring.borrow();
        let allocators = ring.foreign_allocators(state.now(), workspace);
        allocators.into_iter().cloned().collect()
    };
    for allocator in allocators {
        if request_from_peer(state, &allocator, workspace)
            .await
            .is_ok()
        {
            return true;
        }
    }
    false
}

async fn request_from_peer(
    state: &Rc<GatewayState>,
    peer: &PeerRecord,
    workspace: &WorkspaceName,
) -> Result<(), LoanFailure> {
    let now = state.now();
    let wanted = state.escrow.borrow().loan_wanted(now, workspace);
    let Some(request) = wanted else {
        return Ok(());
    };
    let needs = state.escrow.borrow().urgency_needs(workspace);
    let loan = begin_loan(state, peer, workspace, request, needs.clone());
    let answer = match timeout(LOAN_TIMEOUT, loan).await {
        Ok(Ok(Ok(answer))) => answer,
        Ok(Ok(Err(error))) => return Err(mark_down(state, peer, &error)),
        Ok(Err(_)) => return Err(mark_down(state, peer, "the loan task ended early")),
        Err(_) => return Err(mark_down(state, peer, "no answer in time")),
    };
    if state.lending.ring.borrow_mut().mark_up(&peer.host) {
        let fields = [("peer", peer.host.to_string())];
        state.report.log(LogLevel::Info, "peer_regained", fields);
    }
    log_loan(state, peer, workspace, request, answer.reply, false);
    if peer.domain == state.settings().domain {
        let mut escrow = state.escrow.borrow_mut();
        escrow.record_levels(state.now(), workspace, &needs, &answer.levels);
    }
    apply_answer(state, peer, workspace, request, answer)
}

/// Requests a loan in a separate task, which continues after the borrower's timeout: the lender may already
/// have debited the tokens, and they would be lost to the workspace.
fn begin_loan(
    state: &Rc<GatewayState>,
    peer: &PeerRecord,
    workspace: &WorkspaceName,
    request: LoanRequest,
    needs: Vec<UrgencyNeed>,
) -> oneshot::Receiver<Result<LenderAnswer, String>> {
    let (sender, receiver) = oneshot::channel();
    let (state, peer, workspace) = (Rc::clone(state), peer.clone(), workspace.clone());
    spawn_local(async move {
        let secret = state.lending.secret();
        let domain = state.settings().domain.clone();
        let links = &state.lending.links;
        let loan = links.borrow_tokens(&peer, &secret, &domain, &workspace, request, &needs);
        let loan = match timeout(LATE_LOAN_TIMEOUT, loan).await {
            Ok(loan) => loan,
            Err(_) => Err("no answer within 10 s".to_owned()),
        };
        if let Err(Ok(answer)) = sender.send(loan) {
            apply_late_loan(&state, &peer, &workspace, request, answer.reply);
        }
    });
    receiver
}

/// Credits a loan that arrived after the timeout.
fn apply_late_loan(
    state: &GatewayState,
    peer: &PeerRecord,
    workspace: &WorkspaceName,
    request: LoanRequest,
    reply: LoanReply,
) {
    log_loan(state, peer, workspace, request, reply, true);
    if let LoanReply::Lent(tokens) = reply {
        let mut escrow = state.escrow.borrow_mut();
        escrow.receive(workspace, request, tokens);
        drop(escrow);
        state.metrics.tokens_borrowed.inc_by(tokens);
        forget_refusals(state, workspace);
        state.escrow_changed.notify_waiters();
    }
}

fn log_loan(
    state: &GatewayState,
    peer: &PeerRecord,
    workspace: &WorkspaceName,
    request: LoanRequest,
    reply: LoanReply,
    is_late: bool,
) {
    let fields = [
        ("workspace", workspace.to_string()),
        ("peer", peer.host.to_string()),
        ("least", request.least.to_string()),
        ("need", request.need.to_string()),
        ("ahead", request.ahead.to_string()),
        ("outcome", reply.as_str().to_owned()),
        ("tokens", reply.tokens().to_string()),
        ("late", is_late.to_string()),
    ];
    state.report.log(LogLevel::Info, "tokens_borrowed", fields);
}

fn apply_answer(
    state: &GatewayState,
    peer: &PeerRecord,
    workspace: &WorkspaceName,
    request: LoanRequest,
    answer: LenderAnswer,
) -> Result<(), LoanFailure> {
    let mut escrow = state.escrow.borrow_mut();
    if let Some(taken) = answer.taken {
        escrow.record_taken(workspace, taken);
    }
    let taken = match answer.reply {
        LoanReply::Lent(tokens) => {
            escrow.receive(workspace, request, tokens);
            state.metrics.tokens_borrowed.inc_by(tokens);
            forget_refusals(state, workspace);
            Ok(())
        }
        // An allocator of another domain does not know the remainders of the others.
        LoanReply::Exhausted if peer.domain != state.settings().domain => Err(LoanFailure::Short),
        LoanReply::Exhausted => {
            escrow.record_exhausted(state.now(), workspace, request.least);
            Ok(())
        }
        LoanReply::Short => Err(LoanFailure::Short),
        LoanReply::LedgerUnreachable => Err(LoanFailure::LedgerUnreachable),
    };
    if answer.reply != LoanReply::LedgerUnreachable {
        let mut ring = state.lending.ring.borrow_mut();
        ring.mark_ledger_reachable(&peer.host);
    }
    drop(escrow);
    state.escrow_changed.notify_waiters();
    taken
}
