//! The `token_lending` module provides the state of loans between routers and of the requests for them.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use beechsaddle_core::gateway::{
    CallUrgency, EscrowRole, LoanBackoff, PeerRecord, PeerRing, RefusalMemory, TokenNeed,
};
use beechsaddle_core::prelude::*;
use beechsaddle_core::report::LogLevel;
use subtle::ConstantTimeEq;
use tokio::sync::Notify;
use tokio::task::spawn_local;

use super::gateway_state::GatewayState;
use super::peer_link::PeerLinks;
use super::token_borrow::request_tokens;

/// Timeout of a loan request, in which the lender may have to wait for the ledger.
pub(super) const LOAN_TIMEOUT: Duration = Duration::from_millis(400);

/// Why a loan request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LoanFailure {
    /// The lender did not answer.
    Unreachable,
    /// The lender has too little at the moment, and requests more from the ledger.
    Short,
    /// The lender has too little, and cannot reach the ledger.
    LedgerUnreachable,
}

/// The known lenders, and the workspaces with pending token requests.
pub(super) struct TokenLending {
    /// The routers of the fleet.
    pub(super) ring: RefCell<PeerRing>,
    pub(super) links: PeerLinks,
    /// Workspaces for which requests to any router are paused.
    pub(super) pauses: RefCell<LoanBackoff>,
    /// Refusals that answer later calls; empty unless callers return by cause.
    pub(super) refusals: RefCell<RefusalMemory>,
    /// Workspaces for which requests for remainders are paused: the ledger has too little, and the
    /// allocators of other domains had nothing left.
    pub(super) remainder_pauses: RefCell<LoanBackoff>,
    /// The urgency of the calls for which requests are paused; those that are more urgent may request.
    refused_urgencies: RefCell<BTreeMap<WorkspaceName, CallUrgency>>,
    /// The urgencies of which this router, as an allocator, does not admit all calls.
    limited: RefCell<BTreeSet<(WorkspaceName, CallUrgency)>>,
    /// The workspaces of which tokens are being requested, for calls of an urgency: an urgent call does not
    /// wait for the answer to a request for others.
    pending_requests: RefCell<BTreeSet<(WorkspaceName, CallUrgency)>>,
    secret: RefCell<String>,
    are_roles_enabled: Cell<bool>,
    /// Whether the last attempt to register this router in the store failed.
    is_registration_failing: Cell<bool>,
    roles_enabled: Notify,
}

impl TokenLending {
    /// Creates the state of a router that knows no other routers.
    pub(super) fn new(me: HostName, domain: DomainName) -> Self {
        TokenLending {
            ring: RefCell::new(PeerRing::new(me, domain)),
            links: PeerLinks::default(),
            pauses: RefCell::default(),
            refusals: RefCell::default(),
            remainder_pauses: RefCell::default(),
            refused_urgencies: RefCell::default(),
            limited: RefCell::default(),
            pending_requests: RefCell::default(),
            secret: RefCell::default(),
            are_roles_enabled: Cell::new(false),
            is_registration_failing: Cell::new(false),
            roles_enabled: Notify::new(),
        }
    }

    /// Returns the fleet's shared secret, or an empty string before it is known.
    pub(super) fn secret(&self) -> String {
        self.secret.borrow().clone()
    }

    /// Whether a router sent the fleet's secret.
    pub(super) fn is_secret(&self, sent: &[u8]) -> bool {
        let own = self.secret.borrow();
        !own.is_empty() && bool::from(own.as_bytes().ct_eq(sent))
    }

    pub(super) fn set_secret(&self, secret: impl Into<String>) {
        *self.secret.borrow_mut() = secret.into();
    }

    /// Enables the assignment of roles according to the listed routers.
    ///
    /// When a whole fleet starts, the first listing contains only the few fastest routers. With roles
    /// assigned from it, each router would be the allocator of every workspace for some seconds, and take
    /// and give back tokens of all.
    pub(super) fn enable_roles(&self) {
        self.are_roles_enabled.set(true);
        self.roles_enabled.notify_waiters();
    }

    /// Whether roles are assigned: the list of routers is complete.
    pub(super) fn are_roles_enabled(&self) -> bool {
        self.are_roles_enabled.get()
    }

    pub(super) fn set_registration_failing(&self, is_failing: bool) {
        self.is_registration_failing.set(is_failing);
    }

    /// Whether this router has no role because its registration fails.
    pub(super) fn is_registration_failing(&self) -> bool {
        self.is_registration_failing.get()
    }

    /// Whether any router is listed.
    pub(super) fn knows_routers(&self) -> bool {
        self.ring.borrow().router_count() > 0
    }

    /// Waits until roles are assigned according to the listed routers.
    pub(super) async fn roles_enabled(&self) {
        let roles_enabled = self.roles_enabled.notified();
        if !self.are_roles_enabled.get() {
            roles_enabled.await;
        }
    }

    /// Sets whether some calls of an urgency are not admitted; returns whether that changed.
    pub(super) fn set_limited(
        &self,
        workspace: &WorkspaceName,
        urgency: CallUrgency,
        is_limited: bool,
    ) -> bool {
        let mut limited = self.limited.borrow_mut();
        let key = (workspace.clone(), urgency);
        match is_limited {
            true => limited.insert(key),
            false => limited.remove(&key),
        }
    }

    /// Whether tokens of a workspace may arrive: they have been requested, and not refused recently.
    pub(super) fn is_request_pending(
        &self,
        now: ClockTime,
        workspace: &WorkspaceName,
        need: TokenNeed,
    ) -> bool {
        let key = (workspace.clone(), need.urgency);
        self.pending_requests.borrow().contains(&key) && !self.was_refused(now, workspace, need)
    }

    /// Sets the urgency of the calls for which requests were refused.
    pub(super) fn set_refused_urgency(&self, workspace: &WorkspaceName, urgency: CallUrgency) {
        let mut refused = self.refused_urgencies.borrow_mut();
        refused.insert(workspace.clone(), urgency);
    }

    /// Whether every request for tokens of a workspace was refused recently, made for smaller calls than
    /// this or for calls as urgent as it or more.
    pub(super) fn was_refused(
        &self,
        now: ClockTime,
        workspace: &WorkspaceName,
        need: TokenNeed,
    ) -> bool {
        let known = self.refusals.borrow().find(now, workspace, need);
        known.is_some() || self.is_paused(now, workspace, need.urgency)
    }

    /// Whether requests for calls of an urgency are paused.
    fn is_paused(&self, now: ClockTime, workspace: &WorkspaceName, urgency: CallUrgency) -> bool {
        let refused = self.refused_urgencies.borrow().get(workspace).copied();
        let is_as_urgent = refused.is_none_or(|refused| urgency >= refused);
        is_as_urgent && self.pauses.borrow().is_paused(now, workspace)
    }
}

/// Starts a request for tokens that calls wait for, to other routers or the ledger.
///
/// The request continues after the call that started it has ended: a loan in transit would be lost.
pub(super) fn start_request(state: &Rc<GatewayState>, workspace: &WorkspaceName, need: TokenNeed) {
    let is_refused = state.lending.was_refused(state.now(), workspace, need);
    let key = (workspace.clone(), need.urgency);
    if is_refused
        || !state
            .lending
            .pending_requests
            .borrow_mut()
            .insert(key.clone())
    {
        return;
    }
    let (state, workspace) = (Rc::clone(state), workspace.clone());
    spawn_local(async move {
        request_tokens(&state, &workspace).await;
        state.lending.pending_requests.borrow_mut().remove(&key);
        // Loans and ledger writes wake the waiting calls, so they are woken here only after a refusal.
        // Waking them each time would make them request again at once, in a busy loop until they time out.
        if state.lending.was_refused(state.now(), &workspace, need) {
            state.escrow_changed.notify_waiters();
        }
    });
}

/// Sets the role of this router for each workspace, according to the known routers that are up.
pub(super) fn update_roles(state: &GatewayState) {
    if !state.lending.are_roles_enabled.get() {
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

/// Marks a router that did not answer as down.
pub(super) fn mark_down(state: &GatewayState, peer: &PeerRecord, error: &str) -> LoanFailure {
    state.lending.links.close(&peer.host);
    // While this router's own link is congested, every peer seems silent. Marking them all as down would
    // make this router the allocator of every workspace, with no lender left.
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
