//! The `token_reservation` module provides the tokens that one call may use.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use beechsaddle_core::gateway::{ReserveOutcome, TokenBound};
use beechsaddle_core::prelude::*;
use tokio::time::{Instant, timeout_at};

use super::gateway_state::GatewayState;
use super::refusal::RefusalCause;

/// How long a call waits for the ledger, in milliseconds: a few tries of a write that meets others,
/// and short against what callers wait for a first event.
const LEDGER_WAIT_MS: u64 = 700;

/// Tokens reserved for a call. Dropping it, however the call ends, spends what was used and frees
/// the rest.
pub(super) struct TokenReservation {
    state: Rc<GatewayState>,
    workspace: WorkspaceName,
    bound: TokenBound,
    used: Cell<u64>,
}

impl TokenReservation {
    /// Reserves the most that a call may use, waiting for the ledger if need be.
    pub(super) async fn try_take(
        state: &Rc<GatewayState>,
        workspace: &WorkspaceName,
        bound: TokenBound,
    ) -> Result<Self, RefusalCause> {
        let tokens = bound.total();
        let waiting = LedgerWait::start(state, workspace, tokens);
        let until = Instant::now() + Duration::from_millis(LEDGER_WAIT_MS);
        loop {
            let changed = state.escrow_changed.notified();
            let outcome = waiting.try_reserve();
            match outcome {
                ReserveOutcome::Reserved => break,
                ReserveOutcome::Exhausted => return Err(RefusalCause::BudgetExhausted),
                ReserveOutcome::Short => state.escrow_wake.notify_one(),
            }
            // While the ledger is away a wait would only make the refusal late.
            if state.is_ledger_away.get() || timeout_at(until, changed).await.is_err() {
                return Err(RefusalCause::BudgetUnreachable);
            }
        }
        Ok(TokenReservation {
            state: Rc::clone(state),
            workspace: workspace.clone(),
            bound,
            used: Cell::new(0),
        })
    }

    /// Notes that a target may be reading the prompt; `output` tokens were delivered so far.
    pub(super) fn note_used(&self, output: u64) {
        let output = output.min(self.bound.output_max);
        let used = self.bound.input.saturating_add(output);
        self.used.set(self.used.get().max(used));
    }
}

impl Drop for TokenReservation {
    fn drop(&mut self) {
        let mut escrow = self.state.escrow.borrow_mut();
        escrow.settle(&self.workspace, self.bound.total(), self.used.get());
    }
}

/// A call in the queue for tokens; dropping it leaves the queue.
struct LedgerWait<'a> {
    state: &'a GatewayState,
    workspace: &'a WorkspaceName,
    tokens: u64,
    is_waiting: Cell<bool>,
}

impl<'a> LedgerWait<'a> {
    fn start(state: &'a GatewayState, workspace: &'a WorkspaceName, tokens: u64) -> Self {
        LedgerWait {
            state,
            workspace,
            tokens,
            is_waiting: Cell::new(false),
        }
    }

    fn try_reserve(&self) -> ReserveOutcome {
        let now = self.state.now();
        let mut escrow = self.state.escrow.borrow_mut();
        let outcome = escrow.try_reserve(now, self.workspace, self.tokens);
        if outcome == ReserveOutcome::Short && !self.is_waiting.replace(true) {
            escrow.begin_wait(now, self.workspace, self.tokens);
        }
        outcome
    }
}

impl Drop for LedgerWait<'_> {
    fn drop(&mut self) {
        if self.is_waiting.get() {
            let mut escrow = self.state.escrow.borrow_mut();
            escrow.end_wait(self.workspace, self.tokens);
        }
    }
}
