//! The `ledger_wait` module provides the registration of requests that wait for tokens.

use std::cell::Cell;

use beechsaddle_core::gateway::LoanRequest;
use beechsaddle_core::prelude::*;

use super::gateway_state::GatewayState;

/// A request that may wait for tokens; dropping it ends the wait.
pub(super) struct LedgerWait<'a> {
    state: &'a GatewayState,
    workspace: &'a WorkspaceName,
    tokens: u64,
    /// What other calls of the same borrower wait for, in tokens.
    others: u64,
    is_waiting: Cell<bool>,
}

impl<'a> LedgerWait<'a> {
    /// Creates a request that does not wait yet.
    pub(super) fn start(
        state: &'a GatewayState,
        workspace: &'a WorkspaceName,
        tokens: u64,
    ) -> Self {
        LedgerWait {
            state,
            workspace,
            tokens,
            others: 0,
            is_waiting: Cell::new(false),
        }
    }

    /// Creates the request of a borrower, which does not wait yet.
    pub(super) fn start_loan(
        state: &'a GatewayState,
        workspace: &'a WorkspaceName,
        request: LoanRequest,
    ) -> Self {
        let mut waiting = LedgerWait::start(state, workspace, request.least);
        waiting.others = request.need.saturating_sub(request.least);
        waiting
    }

    /// Registers the request as waiting, unless it already is.
    pub(super) fn begin(&self) {
        if !self.is_waiting.replace(true) {
            let now = self.state.now();
            let mut escrow = self.state.escrow.borrow_mut();
            escrow.begin_wait(now, self.workspace, self.tokens);
            escrow.begin_loan_wait(self.workspace, self.tokens, self.others);
        }
    }
}

impl Drop for LedgerWait<'_> {
    fn drop(&mut self) {
        if self.is_waiting.get() {
            let mut escrow = self.state.escrow.borrow_mut();
            escrow.end_wait(self.workspace, self.tokens);
            escrow.end_loan_wait(self.workspace, self.tokens, self.others);
        }
    }
}
