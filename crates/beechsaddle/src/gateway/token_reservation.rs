//! The `token_reservation` module provides the tokens that one call may use.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use beechsaddle_core::gateway::{ReserveOutcome, TokenBound};
use beechsaddle_core::prelude::*;
use tokio::time::{Instant, timeout_at};

use super::gateway_state::GatewayState;
use super::ledger_wait::LedgerWait;
use super::refusal::RefusalCause;
use super::token_lending::want_tokens;

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
        let mut has_asked = false;
        loop {
            let changed = state.escrow_changed.notified();
            let now = state.now();
            let outcome = state
                .escrow
                .borrow_mut()
                .try_reserve(now, workspace, tokens);
            match outcome {
                ReserveOutcome::Reserved => break,
                ReserveOutcome::Exhausted => return Err(RefusalCause::BudgetExhausted),
                ReserveOutcome::Short => waiting.begin(),
            }
            // While nobody can help, a wait would only make the refusal late.
            let may_come = state.lending.may_come(now, workspace);
            let is_away = state.is_ledger_away.get() || state.lending.was_refused(now, workspace);
            if has_asked && !may_come && is_away {
                return Err(RefusalCause::BudgetUnreachable);
            }
            has_asked = true;
            want_tokens(state, workspace);
            if timeout_at(until, changed).await.is_err() {
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

    /// Notes that a target is sent the call. From here on the prompt is spent, unless the target
    /// turns out not to have run it: a caller that leaves now ends this future at any point, and the
    /// target may be reading all the same.
    pub(super) fn begin_attempt(&self) {
        self.used.set(self.used.get().max(self.bound.input));
    }

    /// Notes that no target ran the call so far.
    pub(super) fn undo_attempts(&self) {
        self.used.set(0);
    }

    /// How many tokens are used so far.
    pub(super) fn used(&self) -> u64 {
        self.used.get()
    }

    /// Notes how many tokens were delivered so far.
    pub(super) fn note_delivered(&self, output: u64) {
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
    }
}
