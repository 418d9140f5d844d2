//! The `ledger_wait` module provides the registration of requests that wait for tokens.

use std::cell::Cell;

use beechsaddle_core::prelude::*;

use super::gateway_state::GatewayState;

/// A request that may wait for tokens; dropping it ends the wait.
pub(super) struct LedgerWait<'a> {
    state: &'a GatewayState,
    workspace: &'a WorkspaceName,
    tokens: u64,
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
            is_waiting: Cell::new(false),
        }
    }

    /// Registers the request as waiting, unless it already is.
    pub(super) fn begin(&self) {
        if !self.is_waiting.replace(true) {
            let now = self.state.now();
            let mut escrow = self.state.escrow.borrow_mut();
            escrow.begin_wait(now, self.workspace, self.tokens);
        }
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
