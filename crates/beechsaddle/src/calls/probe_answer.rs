//! The `probe_answer` module provides the bodies of health probes and orders.

use beechsaddle_core::target::{EngineState, LoadReport, ProbeOutcome};
use serde::Deserialize;

/// The body of `GET /health`.
#[derive(Deserialize)]
struct HealthText {
    state: HealthState,
    #[serde(default)]
    load: LoadReport,
    #[serde(default)]
    engine: Option<EngineState>,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum HealthState {
    Live,
    Leaving,
}

/// Parses the answer to a health probe; an invalid body counts as a failed probe.
pub(crate) fn read_health(is_success: bool, body: &[u8]) -> ProbeOutcome {
    let Ok(health) = serde_json::from_slice::<HealthText>(body) else {
        return ProbeOutcome::Failed;
    };
    match health.state {
        HealthState::Leaving => ProbeOutcome::Leaving,
        HealthState::Live if is_success => ProbeOutcome::Healthy {
            load: health.load,
            engine: health.engine,
        },
        HealthState::Live => ProbeOutcome::Failed,
    }
}

/// Returns the body of `POST /orders`.
pub(crate) fn write_order(fence: u64, state: &EngineState) -> Vec<u8> {
    let order = serde_json::json!({
        "fence": fence,
        "model": state.model,
        "version": state.version,
        "adapters": state.adapters,
        "role": state.role,
    });
    order.to_string().into_bytes()
}
