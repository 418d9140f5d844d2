//! The `probe_answer` module provides what targets say of themselves.

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

/// Reads the answer to a health probe; what cannot be read counts as no answer.
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

/// The body of `POST /orders`.
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
