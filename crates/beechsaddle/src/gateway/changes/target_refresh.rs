//! The `target_refresh` module provides the check that the known list of targets is current.

use std::cell::Cell;
use std::time::Duration;

use beechsaddle_core::prelude::*;
use beechsaddle_platform::{ObjectKind, StoreFailure};
use tokio::sync::Mutex;
use tokio::time::timeout;

use super::change_apply::{ChangeOrigin, apply_changes};
use crate::gateway::gateway_metrics::{OutcomeLabel, REFRESH_OUTCOMES};
use crate::gateway::gateway_state::GatewayState;
use crate::gateway::store_call::StoreCall;

/// How long a call waits for the store. It answers in milliseconds; a caller that is refused sooner
/// comes back to another router sooner.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(300);

/// Checks of the list of targets, of which calls that wait at the same time share one.
#[derive(Debug, Default)]
pub(in crate::gateway) struct TargetRefresh {
    /// Held while the store is asked.
    turn: Mutex<()>,
    /// The time as of which the store last told all changes.
    confirmed_at: Cell<Option<ClockTime>>,
}

impl TargetRefresh {
    fn is_confirmed(&self, since: ClockTime) -> bool {
        self.confirmed_at.get().is_some_and(|at| at >= since)
    }
}

/// Applies all changes of targets that the store accepted before this call; returns whether it has
/// told them.
///
/// What a watch delivered, or another router, is only current as of some earlier time: a watch whose
/// connection is silent looks like one without changes. The store's own answer to a new request
/// includes all changes before that request.
pub(in crate::gateway) async fn refresh_targets(state: &GatewayState) -> bool {
    let [confirmed, shared, unanswered] = REFRESH_OUTCOMES;
    let since = state.now();
    let refresh = &state.target_refresh;
    let turn = match state.store_health.answers() {
        true => timeout(REFRESH_TIMEOUT, refresh.turn.lock()).await.ok(),
        false => None,
    };
    let outcome = match turn {
        None => unanswered,
        Some(_turn) if refresh.is_confirmed(since) => shared,
        Some(_turn) => match read_target_changes(state).await {
            true => confirmed,
            false => unanswered,
        },
    };
    let label = OutcomeLabel { what: outcome };
    state.metrics.target_refreshes.get_or_create(&label).inc();
    outcome != unanswered
}

/// Reads and applies the changes after the known ones; returns whether the store has answered.
async fn read_target_changes(state: &GatewayState) -> bool {
    let kind = ObjectKind::Targets;
    let started = state.now();
    let reading = state
        .store
        .watch(kind, state.relay.revision(kind), Duration::ZERO);
    let read = match timeout(REFRESH_TIMEOUT, reading).await {
        Ok(read) => read,
        Err(_) => Err(StoreFailure::Unknown("no answer in time".to_owned())),
    };
    state.record_store_call(StoreCall::RefreshTargets, started, &read);
    // Without an answer the call is refused, and its refusal is logged.
    let Ok(changes) = read else {
        return false;
    };
    // The watch delivers them again, and passes them on to the routers that follow this one.
    apply_changes(state, kind, &changes, ChangeOrigin::Watch);
    state.target_refresh.confirmed_at.set(Some(started));
    true
}
