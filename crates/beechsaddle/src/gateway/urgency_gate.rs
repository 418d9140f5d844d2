//! The `urgency_gate` module provides the admission of a call by its urgency while tokens are scarce.

use beechsaddle_core::gateway::{CallUrgency, UrgencyLevel};
use beechsaddle_core::prelude::*;
use beechsaddle_core::report::LogLevel;

use super::gateway_metrics::UrgencyLabel;
use super::gateway_state::GatewayState;

/// The admission of one call, which is decided once: a call that waits for tokens would otherwise be
/// refused after some time at any level below 1.
#[derive(Debug)]
pub(super) struct UrgencyGate {
    urgency: CallUrgency,
    is_decided: bool,
}

impl UrgencyGate {
    /// Registers the tokens that a call asks for.
    pub(super) fn begin(
        state: &GatewayState,
        workspace: &WorkspaceName,
        urgency: CallUrgency,
        tokens: u64,
    ) -> Self {
        let mut escrow = state.escrow.borrow_mut();
        escrow.record_call(state.now(), workspace, urgency, tokens);
        UrgencyGate {
            urgency,
            is_decided: false,
        }
    }

    /// Whether the call is admitted, as far as the level of its urgency is known.
    pub(super) fn admits(&mut self, state: &GatewayState, workspace: &WorkspaceName) -> bool {
        if self.is_decided {
            return true;
        }
        let now = state.now();
        let mut escrow = state.escrow.borrow_mut();
        let level = escrow.urgency_level(now, workspace, self.urgency, state.outage_ms());
        let Some(level) = level.filter(|level| *level < 1.0) else {
            return true;
        };
        self.is_decided = true;
        let is_admitted = escrow.admits(now, workspace, self.urgency, level);
        if !is_admitted {
            let label = UrgencyLabel {
                urgency: self.urgency.0,
            };
            state.metrics.turned_away.get_or_create(&label).inc();
        }
        is_admitted
    }
}

/// Returns the levels of a workspace for its borrowers. Reports those that begin or end to admit all calls.
pub(super) fn levels_to_tell(state: &GatewayState, workspace: &WorkspaceName) -> Vec<UrgencyLevel> {
    let escrow = state.escrow.borrow();
    let levels = escrow.levels(state.now(), workspace, state.outage_ms());
    drop(escrow);
    for level in &levels {
        report_level(state, workspace, *level);
    }
    levels
}

fn report_level(state: &GatewayState, workspace: &WorkspaceName, level: UrgencyLevel) {
    let label = UrgencyLabel {
        urgency: level.urgency.0,
    };
    let gauge = state.metrics.urgency_level.get_or_create(&label);
    gauge.set(level.admitted);
    let is_limited = level.admitted < 1.0;
    if !state
        .lending
        .set_limited(workspace, level.urgency, is_limited)
    {
        return;
    }
    let event = match is_limited {
        true => "urgency_limited",
        false => "urgency_admitted",
    };
    let fields = [
        ("workspace", workspace.to_string()),
        ("urgency", level.urgency.0.to_string()),
        ("admitted", format!("{:.2}", level.admitted)),
        ("unreachable_ms", state.outage_ms().unwrap_or(0).to_string()),
    ];
    state.report.log(LogLevel::Info, event, fields);
}
