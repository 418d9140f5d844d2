//! The `token_reservation` module provides the reservation of tokens for one call.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use beechsaddle_core::gateway::{CallUrgency, ReserveOutcome, TokenBound, TokenNeed};
use beechsaddle_core::prelude::*;
use tokio::time::{Instant, timeout_at};

use super::gateway_state::GatewayState;
use super::known_refusals::{TokenRefusal, find_refusal, record_silent_wait};
use super::ledger_wait::LedgerWait;
use super::opening_turn::OpeningTurn;
use super::token_lending::start_request;
use super::urgency_gate::UrgencyGate;

/// How long a call waits for the ledger or for deferred tokens, in milliseconds: a few attempts of a
/// conflicting write, and short compared to what callers wait for a first event.
pub(super) const LEDGER_WAIT_MS: u64 = 700;

/// Tokens reserved for a call. Dropping the reservation, however the call ends, spends the used tokens and
/// releases the others.
pub(super) struct TokenReservation {
    state: Rc<GatewayState>,
    workspace: WorkspaceName,
    urgency: CallUrgency,
    bound: TokenBound,
    used: Cell<u64>,
}

impl TokenReservation {
    /// Reserves the maximum that a call may use, waiting for the ledger if necessary.
    ///
    /// A call that is known to get no tokens does not wait. Tokens held here are tried first, so that no
    /// call is refused that they cover.
    pub(super) async fn try_take(
        state: &Rc<GatewayState>,
        workspace: &WorkspaceName,
        urgency: CallUrgency,
        bound: TokenBound,
    ) -> Result<Self, TokenRefusal> {
        let tokens = bound.total();
        let urgency = state.escrow.borrow().urgency_in_force(urgency);
        let need = TokenNeed { tokens, urgency };
        let waiting = LedgerWait::start(state, workspace, urgency, tokens);
        let until = Instant::now() + Duration::from_millis(LEDGER_WAIT_MS);
        let gives_up_at = state.now().plus_ms(LEDGER_WAIT_MS);
        let mut turn = OpeningTurn::new(urgency);
        let mut gate = UrgencyGate::begin(state, workspace, urgency, tokens);
        let mut has_requested = false;
        loop {
            let changed = state.escrow_changed.notified();
            let now = state.now();
            if !gate.admits(state, workspace) {
                return Err(TokenRefusal::reserved());
            }
            let outcome = match turn.is_awaited(state, workspace) {
                true => ReserveOutcome::Short,
                false => state.escrow.borrow_mut().try_reserve_urgent(
                    now,
                    workspace,
                    urgency,
                    tokens,
                    state.outage_ms(),
                ),
            };
            match outcome {
                ReserveOutcome::Reserved => break,
                ReserveOutcome::Exhausted => return Err(TokenRefusal::exhausted()),
                ReserveOutcome::Short => waiting.begin(),
            }
            // While no tokens can arrive or become usable, waiting would only delay the refusal.
            let left_ms = gives_up_at.since(now);
            let next_look = turn.next_look(state, workspace, left_ms);
            let known = find_refusal(state, workspace, need);
            if let (Some(known), None) = (known, next_look) {
                return Err(TokenRefusal::known(state, workspace, known, has_requested));
            }
            let is_pending = state.lending.is_request_pending(now, workspace, need);
            let is_unreachable = state.is_ledger_unreachable.get()
                || state.lending.was_refused(now, workspace, need);
            if has_requested && !is_pending && is_unreachable && next_look.is_none() {
                return Err(TokenRefusal::waited(state, workspace));
            }
            has_requested = true;
            start_request(state, workspace, need);
            let wake_at =
                next_look.map_or(until, |next_look| until.min(Instant::now() + next_look));
            if timeout_at(wake_at, changed).await.is_err() && Instant::now() >= until {
                record_silent_wait(state, workspace, need);
                return Err(TokenRefusal::waited(state, workspace));
            }
        }
        Ok(TokenReservation {
            state: Rc::clone(state),
            workspace: workspace.clone(),
            urgency,
            bound,
            used: Cell::new(0),
        })
    }

    /// Records that the call is being sent to a target. The prompt counts as used from now on, unless the
    /// target turns out not to have executed the call: if the caller disconnects, this future is dropped at
    /// any point, and the target may still process the prompt.
    pub(super) fn begin_attempt(&self) {
        self.used.set(self.used.get().max(self.bound.input));
    }

    /// Records that no target has executed the call so far.
    pub(super) fn undo_attempts(&self) {
        self.used.set(0);
    }

    /// Returns the number of tokens used so far.
    pub(super) fn used(&self) -> u64 {
        self.used.get()
    }

    /// Records the number of output tokens delivered so far.
    pub(super) fn record_delivered(&self, output: u64) {
        let output = output.min(self.bound.output_max);
        let used = self.bound.input.saturating_add(output);
        self.used.set(self.used.get().max(used));
    }
}

impl Drop for TokenReservation {
    fn drop(&mut self) {
        let now = self.state.now();
        let mut escrow = self.state.escrow.borrow_mut();
        escrow.settle(now, &self.workspace, self.bound.total(), self.used.get());
        let unused = self.bound.total().saturating_sub(self.used.get());
        escrow.record_unused(now, &self.workspace, self.urgency, unused);
    }
}
