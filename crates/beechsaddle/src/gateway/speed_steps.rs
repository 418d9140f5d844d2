//! The `speed_steps` module provides the steps of speed of all targets, as changes of them are logged
//! and counted.

use beechsaddle_core::gateway::StepChange;
use beechsaddle_core::report::LogLevel;

use super::gateway_metrics::OutcomeLabel;
use super::gateway_state::GatewayState;

/// Brings the steps of all targets up to date, once a second at most.
pub(super) fn refresh_steps(state: &GatewayState) {
    if !state.settings().policy.places_by_speed {
        return;
    }
    let changes = state.roster.borrow_mut().look_at_speeds(state.now());
    for change in changes {
        record_change(state, &change);
    }
}

fn record_change(state: &GatewayState, change: &StepChange) {
    let what = change.step.as_str();
    let counter = &state.metrics.speed_steps;
    counter.get_or_create(&OutcomeLabel { what }).inc();
    let ratio = change.ratio.map(|ratio| format!("{ratio:.2}"));
    let fields = [
        ("target", change.target.to_string()),
        ("by", change.kind.as_str().to_owned()),
        ("step", what.to_owned()),
        ("times_usual", ratio.unwrap_or_else(|| "unknown".to_owned())),
    ];
    state.report.log(LogLevel::Info, "target_speed", fields);
}
