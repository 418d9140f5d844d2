//! The `token_lending` module provides what a router knows of those that lend to it, and when it asks them.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use beechsaddle_core::gateway::{EscrowRole, LoanBackoff, PeerRecord, PeerRing};
use beechsaddle_core::prelude::*;
use beechsaddle_core::report::LogLevel;
use tokio::sync::Notify;
use tokio::task::spawn_local;

use super::gateway_state::GatewayState;
use super::peer_link::PeerLinks;
use super::token_borrow::ask_for_tokens;

/// How long a loan may take: the lender may have to ask the ledger first.
pub(super) const LOAN_SPAN: Duration = Duration::from_millis(400);

/// Why there was no loan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LoanFailure {
    /// The router does not answer.
    Unreachable,
    /// It has too little now, and asks the ledger.
    Short,
    /// It has too little, and cannot reach the ledger.
    LedgerAway,
}

/// What is known of the routers that lend tokens, and of workspaces whose tokens are being asked for.
pub(super) struct TokenLending {
    /// The routers of the fleet.
    pub(super) ring: RefCell<PeerRing>,
    pub(super) links: PeerLinks,
    /// Workspaces that nobody is asked for just now.
    pub(super) pauses: RefCell<LoanBackoff>,
    /// Workspaces whose keepers in other domains had nothing left beside a ledger that has too little.
    pub(super) foreign_pauses: RefCell<LoanBackoff>,
    active: RefCell<BTreeSet<WorkspaceName>>,
    secret: RefCell<String>,
    is_settled: Cell<bool>,
    settled: Notify,
}

impl TokenLending {
    /// Lending of a router that knows of no other.
    pub(super) fn new(me: HostName, domain: DomainName) -> Self {
        TokenLending {
            ring: RefCell::new(PeerRing::new(me, domain)),
            links: PeerLinks::default(),
            pauses: RefCell::default(),
            foreign_pauses: RefCell::default(),
            active: RefCell::default(),
            secret: RefCell::default(),
            is_settled: Cell::new(false),
            settled: Notify::new(),
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
        self.settled.notify_waiters();
    }

    /// Whether any router is listed.
    pub(super) fn knows_routers(&self) -> bool {
        self.ring.borrow().router_count() > 0
    }

    /// Ends once the listed routers count.
    pub(super) async fn settled(&self) {
        let settled = self.settled.notified();
        if !self.is_settled.get() {
            settled.await;
        }
    }

    /// Whether tokens of a workspace may come: they are being asked for, and were not refused a
    /// moment ago.
    pub(super) fn may_come(&self, now: ClockTime, workspace: &WorkspaceName) -> bool {
        self.active.borrow().contains(workspace) && !self.was_refused(now, workspace)
    }

    /// Whether nobody could give tokens of a workspace a moment ago.
    pub(super) fn was_refused(&self, now: ClockTime, workspace: &WorkspaceName) -> bool {
        self.pauses.borrow().is_paused(now, workspace)
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
        if state.lending.was_refused(state.now(), &workspace) {
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
        let allocator = ring.allocator(now, &workspace);
        let role = match allocator {
            Some(_) => EscrowRole::Borrower,
            None => EscrowRole::Allocator,
        };
        if escrow.set_role(&workspace, role) {
            let allocator = allocator.map_or("self".to_owned(), |peer| peer.host.to_string());
            let fields = [("workspace", workspace.to_string()), ("keeper", allocator)];
            state.report.log(LogLevel::Info, "keeper_changed", fields);
        }
    }
}

/// Passes over a router that did not answer.
pub(super) fn mark_down(state: &GatewayState, peer: &PeerRecord, error: &str) -> LoanFailure {
    state.lending.links.forget(&peer.host);
    // Behind a full link of its own every router seems silent: passing over one after the other would
    // make this one the keeper of everything, with nobody to borrow from.
    if !state.is_link_full() {
        let mut ring = state.lending.ring.borrow_mut();
        ring.mark_down(state.now(), &peer.host);
        drop(ring);
        update_roles(state);
    }
    let fields = [("peer", peer.host.to_string()), ("error", error.to_owned())];
    state.report.log(LogLevel::Warning, "peer_lost", fields);
    LoanFailure::Unreachable
}
