//! The `token_lending` module provides the borrowing of tokens from other routers.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use beechsaddle_core::gateway::{EscrowRole, LoanReply, LoanRequest, PeerRecord, PeerRing};
use beechsaddle_core::prelude::*;
use beechsaddle_core::report::LogLevel;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::gateway_state::GatewayState;
use super::lender_link::LenderLinks;

/// How long a loan may take: the lender may have to ask the ledger first.
const LOAN_SPAN: Duration = Duration::from_millis(400);

/// How many routers of the own domain are asked in turn. Each that is down costs a timeout.
const KEEPERS_ASKED: usize = 2;

/// How long to wait before a keeper that had too little is asked again: several writes of the ledger.
const SHORT_PAUSE: Duration = Duration::from_millis(150);

/// How often a keeper that has too little is asked: for as long as calls wait for tokens.
const SHORT_ROUNDS: usize = 3;

/// How long nobody is asked again while the ledger is away and all have refused, in milliseconds.
/// Without it each new call would begin to ask anew, and all of them would wait for the outcome
/// until it is late for them to be refused.
const REFUSED_MS: u64 = 400;

/// Why there was no loan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LoanFailure {
    /// The router does not answer.
    Unreachable,
    /// It has too little now, and asks the ledger.
    Short,
    /// It has too little, and cannot reach the ledger.
    LedgerAway,
}

/// What came of asking in the own domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DomainAnswer {
    /// Tokens came, or are known to be used up, or nothing is wanted any more.
    Helped,
    /// The keeper has too little now.
    Short,
    /// There is no keeper that answers and reaches the ledger.
    Nobody,
}

/// Borrows tokens from other routers.
pub(super) struct TokenLending {
    /// The routers of the fleet.
    pub(super) ring: RefCell<PeerRing>,
    links: LenderLinks,
    active: RefCell<BTreeSet<WorkspaceName>>,
    refused: RefCell<BTreeMap<WorkspaceName, ClockTime>>,
    secret: RefCell<String>,
    is_settled: Cell<bool>,
}

impl TokenLending {
    /// Lending of a router that knows of no other.
    pub(super) fn new(me: HostName, domain: DomainName) -> Self {
        TokenLending {
            ring: RefCell::new(PeerRing::new(me, domain)),
            links: LenderLinks::default(),
            active: RefCell::default(),
            refused: RefCell::default(),
            secret: RefCell::default(),
            is_settled: Cell::new(false),
        }
    }

    /// The secret that routers of the fleet share; empty before it is known.
    pub(super) fn secret(&self) -> String {
        self.secret.borrow().clone()
    }

    /// Takes over the shared secret.
    pub(super) fn set_secret(&self, secret: impl Into<String>) {
        *self.secret.borrow_mut() = secret.into();
    }

    /// Has roles set by the routers that are listed, from now on.
    ///
    /// When a whole fleet starts, the first listing shows the few that were faster. Each router would
    /// keep every workspace for some seconds, and take and give back tokens of all.
    pub(super) fn settle(&self) {
        self.is_settled.set(true);
    }

    /// Whether tokens of a workspace may come: they are being asked for, and were not refused a
    /// moment ago.
    pub(super) fn may_come(&self, now: ClockTime, workspace: &WorkspaceName) -> bool {
        self.active.borrow().contains(workspace) && !self.was_refused(now, workspace)
    }

    fn was_refused(&self, now: ClockTime, workspace: &WorkspaceName) -> bool {
        let refused = self.refused.borrow();
        let at = refused.get(workspace);
        at.is_some_and(|at| now.since(*at) < REFUSED_MS)
    }
}

/// Has tokens asked for that calls wait for, from a router or the ledger.
///
/// The asking goes on when the call that began it leaves: a loan that is on its way would be lost.
pub(super) fn want_tokens(state: &Rc<GatewayState>, workspace: &WorkspaceName) {
    let is_refused = state.lending.was_refused(state.now(), workspace);
    if is_refused || !state.lending.active.borrow_mut().insert(workspace.clone()) {
        return;
    }
    let (state, workspace) = (Rc::clone(state), workspace.clone());
    spawn_local(async move {
        ask_for_tokens(&state, &workspace).await;
        state.lending.active.borrow_mut().remove(&workspace);
        // Loans and writes of the ledger wake the calls that wait. Only where neither will come do
        // they have to be told here; telling them each time would have them ask again at once, and
        // the process would spin until they give up.
        if state.is_ledger_away.get() {
            state.escrow_changed.notify_waiters();
        }
    });
}

/// Sets for each workspace whether this router keeps it, by the routers that are known and answer.
pub(super) fn update_roles(state: &GatewayState) {
    if !state.lending.is_settled.get() {
        return;
    }
    let now = state.now();
    let ring = state.lending.ring.borrow();
    let mut escrow = state.escrow.borrow_mut();
    if ring.domain_count() > 0 {
        escrow.set_fleet(ring.domain_count(), ring.router_count());
    }
    for workspace in escrow.counted() {
        let keeper = ring.keeper(now, &workspace);
        let role = match keeper {
            Some(_) => EscrowRole::Borrower,
            None => EscrowRole::Keeper,
        };
        if escrow.set_role(&workspace, role) {
            let keeper = keeper.map_or("self".to_owned(), |peer| peer.host.to_string());
            let fields = [("workspace", workspace.to_string()), ("keeper", keeper)];
            state.report.log(LogLevel::Info, "keeper_changed", fields);
        }
    }
}

/// Asks until no call waits, or asking does not help.
async fn ask_for_tokens(state: &Rc<GatewayState>, workspace: &WorkspaceName) {
    for _ in 0..SHORT_ROUNDS {
        match ask_domain(state, workspace).await {
            DomainAnswer::Helped => return,
            DomainAnswer::Short => sleep(SHORT_PAUSE).await,
            DomainAnswer::Nobody => {
                ask_elsewhere(state, workspace).await;
                return;
            }
        }
    }
}

/// Asks whoever keeps the workspace for this domain, and the next if that one does not answer.
///
/// A keeper that has too little is asking the ledger already. A borrower that asked it too would find
/// the same: dozens of them then meet at the ledger, and the keeper's own write is the one that does
/// not come through. Of a trouble day's 13,700 store calls with 86 routers 6,000 were such reads and
/// writes. Only where the keeper cannot reach the ledger does it help to ask from here.
async fn ask_domain(state: &Rc<GatewayState>, workspace: &WorkspaceName) -> DomainAnswer {
    for _ in 0..KEEPERS_ASKED {
        let keeper = {
            let ring = state.lending.ring.borrow();
            ring.keeper(state.now(), workspace).cloned()
        };
        let Some(keeper) = keeper else {
            return DomainAnswer::Nobody;
        };
        match ask_peer(state, &keeper, workspace).await {
            Ok(()) => return DomainAnswer::Helped,
            Err(LoanFailure::Short) => return DomainAnswer::Short,
            Err(LoanFailure::LedgerAway) => return DomainAnswer::Nobody,
            Err(LoanFailure::Unreachable) => {}
        }
    }
    DomainAnswer::Nobody
}

/// Nobody of the domain helps: the ledger is asked from here, until roles are set anew, and while it
/// is away the routers of other domains.
async fn ask_elsewhere(state: &Rc<GatewayState>, workspace: &WorkspaceName) {
    state
        .escrow
        .borrow_mut()
        .set_role(workspace, EscrowRole::Keeper);
    state.escrow_wake.notify_one();
    if state.is_ledger_away.get() && !ask_foreign(state, workspace).await {
        let mut refused = state.lending.refused.borrow_mut();
        refused.insert(workspace.clone(), state.now());
    }
}

/// Asks the keepers of other domains, which may hold more than they need just now; tells whether one
/// helped.
async fn ask_foreign(state: &Rc<GatewayState>, workspace: &WorkspaceName) -> bool {
    let keepers: Vec<_> = {
        let ring = state.lending.ring.borrow();
        let keepers = ring.foreign_keepers(state.now(), workspace);
        keepers.into_iter().cloned().collect()
    };
    for keeper in keepers {
        if ask_peer(state, &keeper, workspace).await.is_ok() {
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
    let secret = state.lending.secret();
    let links = &state.lending.links;
    let loan = links.borrow_tokens(peer, &secret, workspace, request);
    let loan = timeout(LOAN_SPAN, loan).await;
    let reply = match loan {
        Ok(Ok(reply)) => reply,
        Ok(Err(error)) => return Err(note_down(state, peer, &error)),
        Err(_) => return Err(note_down(state, peer, "no answer in time")),
    };
    if state.lending.ring.borrow_mut().note_up(&peer.host) {
        let fields = [("peer", peer.host.to_string())];
        state.report.log(LogLevel::Info, "peer_regained", fields);
    }
    log_loan(state, peer, workspace, request, reply);
    take_reply(state, workspace, request, reply)
}

fn log_loan(
    state: &GatewayState,
    peer: &PeerRecord,
    workspace: &WorkspaceName,
    request: LoanRequest,
    reply: LoanReply,
) {
    let fields = [
        ("workspace", workspace.to_string()),
        ("peer", peer.host.to_string()),
        ("least", request.least.to_string()),
        ("need", request.need.to_string()),
        ("ahead", request.ahead.to_string()),
        ("outcome", reply.as_str().to_owned()),
        ("tokens", reply.tokens().to_string()),
    ];
    state.report.log(LogLevel::Info, "tokens_borrowed", fields);
}

fn take_reply(
    state: &GatewayState,
    workspace: &WorkspaceName,
    request: LoanRequest,
    reply: LoanReply,
) -> Result<(), LoanFailure> {
    let mut escrow = state.escrow.borrow_mut();
    let taken = match reply {
        LoanReply::Lent(tokens) => {
            escrow.receive(workspace, tokens);
            state.metrics.tokens_borrowed.inc_by(tokens);
            Ok(())
        }
        LoanReply::Exhausted => {
            escrow.note_exhausted(state.now(), workspace, request.least);
            Ok(())
        }
        LoanReply::Short => Err(LoanFailure::Short),
        LoanReply::LedgerAway => Err(LoanFailure::LedgerAway),
    };
    drop(escrow);
    state.escrow_changed.notify_waiters();
    taken
}

fn note_down(state: &GatewayState, peer: &PeerRecord, error: &str) -> LoanFailure {
    state.lending.links.forget(&peer.host);
    // Behind a full link of its own every router seems silent: passing over one after the other would
    // make this one the keeper of everything, with nobody to borrow from.
    if !state.is_link_full() {
        let mut ring = state.lending.ring.borrow_mut();
        ring.note_down(state.now(), &peer.host);
        drop(ring);
        update_roles(state);
    }
    let fields = [("peer", peer.host.to_string()), ("error", error.to_owned())];
    state.report.log(LogLevel::Warning, "peer_lost", fields);
    LoanFailure::Unreachable
}
