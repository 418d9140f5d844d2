//! The `token_borrow` module provides the asking of other routers for tokens: the keeper of the domain, the next in line
//! where it is gone, and keepers of other domains where the ledger cannot help.

use std::rc::Rc;
use std::time::Duration;

use beechsaddle_core::gateway::{EscrowRole, LoanReply, LoanRequest, PeerRecord};
use beechsaddle_core::prelude::*;
use beechsaddle_core::report::LogLevel;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::gateway_state::GatewayState;
use super::peer_link::LenderAnswer;
use super::token_lending::{LOAN_SPAN, LoanFailure, mark_down, update_roles};

/// How long routers of the own domain are asked in turn, in milliseconds. After a loss of many most of those
/// in line refuse a connection at once, and the next that runs is found in time for the call that waits.
const LINE_MS: u64 = 400;

/// How long to wait before a keeper that had too little is asked again: several writes of the ledger.
const SHORT_PAUSE: Duration = Duration::from_millis(150);

/// How long a loan is taken that came too late for the calls that waited: longer than answers queue at a full link.
const LATE_LOAN_SPAN: Duration = Duration::from_secs(10);

/// How often a keeper that has too little is asked: for as long as calls wait for tokens.
const SHORT_ROUNDS: usize = 3;

/// What came of asking in the own domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DomainAnswer {
    /// Tokens came, or are known to be used up, or nothing is wanted any more.
    Helped,
    /// The keeper has too little now.
    Short,
    /// Neither the keeper nor this router reaches the ledger.
    LedgerAway,
    /// There is no keeper but this router.
    Nobody,
}

/// Asks until no call waits, or asking does not help.
pub(super) async fn ask_for_tokens(state: &Rc<GatewayState>, workspace: &WorkspaceName) {
    for _ in 0..SHORT_ROUNDS {
        match ask_domain(state, workspace).await {
            DomainAnswer::Helped => return,
            DomainAnswer::Short => sleep(SHORT_PAUSE).await,
            DomainAnswer::LedgerAway => return record_refused(state, workspace),
            DomainAnswer::Nobody => return ask_as_keeper(state, workspace).await,
        }
    }
}

/// Asks whoever keeps the workspace for this domain, and the next in line where that one does not answer.
///
/// A keeper that has too little is asking the ledger already. A borrower that asked it too would find
/// the same: dozens of them then meet at the ledger, and the keeper's own write is the one that does
/// not come through. Where the keeper cannot reach the ledger and this router can, the next in line that
/// reaches it is asked, which is this one in the end. Where neither can, no router writes in the keeper's
/// place: all of a domain did so when the store came back, took what the keeper took as well, and gave it
/// back in as many writes.
async fn ask_domain(state: &Rc<GatewayState>, workspace: &WorkspaceName) -> DomainAnswer {
    let until = state.now().plus_ms(LINE_MS);
    while state.now() < until {
        let allocator = {
            let ring = state.lending.ring.borrow();
            ring.allocator(state.now(), workspace).cloned()
        };
        let Some(allocator) = allocator else {
            return DomainAnswer::Nobody;
        };
        match ask_peer(state, &allocator, workspace).await {
            Ok(()) => return DomainAnswer::Helped,
            Err(LoanFailure::Short) => return DomainAnswer::Short,
            Err(LoanFailure::LedgerAway) if state.store_health.is_steady(state.now()) => {
                let mut ring = state.lending.ring.borrow_mut();
                ring.mark_ledger_unreachable(state.now(), &allocator.host);
                drop(ring);
                update_roles(state);
            }
            Err(LoanFailure::LedgerAway) => return DomainAnswer::LedgerAway,
            Err(LoanFailure::Unreachable) => {}
        }
    }
    DomainAnswer::Short
}

/// This router keeps the workspace: it asks the ledger, and while that is away the keepers of other domains.
///
/// They are asked as well where the ledger has too little. The last part of a total lies with keepers in rests: each
/// gave them back in writes of its own for others to find, and calls were refused meanwhile.
async fn ask_as_keeper(state: &Rc<GatewayState>, workspace: &WorkspaceName) {
    state
        .escrow
        .borrow_mut()
        .set_role(workspace, EscrowRole::Allocator);
    state.escrow_wake.notify_one();
    if state.is_ledger_away.get() {
        if !ask_foreign(state, workspace).await {
            record_refused(state, workspace);
        }
    } else if state.escrow.borrow().is_uncovered(workspace) {
        ask_for_remainders(state, workspace).await;
    }
}

/// Asks the keepers of other domains for what they have left, unless none had any a moment ago.
async fn ask_for_remainders(state: &Rc<GatewayState>, workspace: &WorkspaceName) {
    let pauses = &state.lending.foreign_pauses;
    if pauses.borrow().is_paused(state.now(), workspace) {
        return;
    }
    match ask_foreign(state, workspace).await {
        true => pauses.borrow_mut().record_lent(workspace),
        false => pauses.borrow_mut().record_refused(state.now(), workspace),
    }
}

fn record_refused(state: &GatewayState, workspace: &WorkspaceName) {
    let mut pauses = state.lending.pauses.borrow_mut();
    pauses.record_refused(state.now(), workspace);
}

/// Asks the keepers of other domains, which may hold more than they need just now; tells whether one
/// helped.
async fn ask_foreign(state: &Rc<GatewayState>, workspace: &WorkspaceName) -> bool {
    let keepers: Vec<_> = {
        let ring = state.lending.ring.borrow();
        let keepers = ring.foreign_allocators(state.now(), workspace);
        keepers.into_iter().cloned().collect()
    };
    for allocator in keepers {
        if ask_peer(state, &allocator, workspace).await.is_ok() {
            return true;
        }
    }
    false
}

async fn ask_peer(
    state: &Rc<GatewayState>,
    peer: &PeerRecord,
    workspace: &WorkspaceName,
) -> Result<(), LoanFailure> {
    let now = state.now();
    let wanted = state.escrow.borrow().loan_wanted(now, workspace);
    let Some(request) = wanted else {
        return Ok(());
    };
    let loan = begin_loan(state, peer, workspace, request);
    let answer = match timeout(LOAN_SPAN, loan).await {
        Ok(Ok(Ok(answer))) => answer,
        Ok(Ok(Err(error))) => return Err(mark_down(state, peer, &error)),
        Ok(Err(_)) => return Err(mark_down(state, peer, "the request was dropped")),
        Err(_) => return Err(mark_down(state, peer, "no answer in time")),
    };
    if state.lending.ring.borrow_mut().mark_up(&peer.host) {
        let fields = [("peer", peer.host.to_string())];
        state.report.log(LogLevel::Info, "peer_regained", fields);
    }
    log_loan(state, peer, workspace, request, answer.reply, false);
    take_answer(state, peer, workspace, request, answer)
}

/// Asks for a loan in a task of its own, which goes on when the answer is no longer waited for: the lender may have
/// given the tokens up, and they would be lost to the workspace.
fn begin_loan(
    state: &Rc<GatewayState>,
    peer: &PeerRecord,
    workspace: &WorkspaceName,
    request: LoanRequest,
) -> oneshot::Receiver<Result<LenderAnswer, String>> {
    let (sender, receiver) = oneshot::channel();
    let (state, peer, workspace) = (Rc::clone(state), peer.clone(), workspace.clone());
    spawn_local(async move {
        let secret = state.lending.secret();
        let domain = state.settings().domain.clone();
        let links = &state.lending.links;
        let loan = links.borrow_tokens(&peer, &secret, &domain, &workspace, request);
        let loan = match timeout(LATE_LOAN_SPAN, loan).await {
            Ok(loan) => loan,
            Err(_) => Err("no answer at all".to_owned()),
        };
        if let Err(Ok(answer)) = sender.send(loan) {
            take_late(&state, &peer, &workspace, request, answer.reply);
        }
    });
    receiver
}

/// Takes over a loan that came when it was no longer waited for.
fn take_late(
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

fn take_answer(
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
            state.lending.pauses.borrow_mut().record_lent(workspace);
            Ok(())
        }
        // A keeper of another domain does not know what the others have left.
        LoanReply::Exhausted if peer.domain != state.settings().domain => Err(LoanFailure::Short),
        LoanReply::Exhausted => {
            escrow.record_exhausted(state.now(), workspace, request.least);
            Ok(())
        }
        LoanReply::Short => Err(LoanFailure::Short),
        LoanReply::LedgerAway => Err(LoanFailure::LedgerAway),
    };
    if answer.reply != LoanReply::LedgerAway {
        let mut ring = state.lending.ring.borrow_mut();
        ring.mark_ledger_reachable(&peer.host);
    }
    drop(escrow);
    state.escrow_changed.notify_waiters();
    taken
}
