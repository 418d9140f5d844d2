//! The `opening_turn` module provides the turns of requests that wait for deferred tokens while the
//! ledger is unreachable.
//!
//! Each request may take tokens from the moment at which they cover it and all requests that waited before
//! it. New requests would otherwise take the tokens as they become usable, and earlier ones would be refused
//! after their wait.

use std::time::Duration;

use beechsaddle_core::gateway::CallUrgency;
use beechsaddle_core::prelude::*;

use super::gateway_state::GatewayState;

/// Interval at which a request looks for tokens once its turn has come: short compared to its wait, so that
/// it is served soon after.
const CHECK_INTERVAL_MS: u64 = 50;

/// The turn of one request.
#[derive(Debug)]
pub(super) struct OpeningTurn {
    urgency: CallUrgency,
    due_at: Option<ClockTime>,
}

impl OpeningTurn {
    /// Creates the turn of a request, whose urgency decides which others come first.
    pub(super) fn new(urgency: CallUrgency) -> Self {
        OpeningTurn {
            urgency,
            due_at: None,
        }
    }

    /// Whether other requests take tokens first.
    pub(super) fn is_awaited(&self, state: &GatewayState, workspace: &WorkspaceName) -> bool {
        if !state.is_ledger_unreachable.get() {
            return false;
        }
        match self.due_at {
            Some(due_at) => state.now() < due_at,
            None => {
                let escrow = state.escrow.borrow();
                escrow.has_urgent_queue(workspace, self.urgency)
            }
        }
    }

    /// Returns the time until the next look for tokens, if deferred ones cover this request and all others
    /// within `wait_ms`; `None` if not. The request must be registered as waiting.
    pub(super) fn next_look(
        &mut self,
        state: &GatewayState,
        workspace: &WorkspaceName,
        wait_ms: u64,
    ) -> Option<Duration> {
        let now = state.now();
        let escrow = state.escrow.borrow();
        let opens_in_ms = escrow.urgent_opens_in_ms(now, workspace, self.urgency);
        let opens_in_ms = opens_in_ms.filter(|opens_in_ms| *opens_in_ms <= wait_ms)?;
        let due_at = *self.due_at.get_or_insert(now.plus_ms(opens_in_ms));
        Some(Duration::from_millis(
            due_at.since(now).max(CHECK_INTERVAL_MS),
        ))
    }
}
