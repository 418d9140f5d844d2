//! The `target_path` module provides new connections to targets, and records whether this router
//! reaches them.

use beechsaddle_core::gateway::{PathChange, TargetPhase, TargetRecord};
use beechsaddle_core::report::LogLevel;
use beechsaddle_link::{HttpLink, LinkFailure, LinkOptions};

use super::gateway_metrics::{CONNECT_RESULTS, OutcomeLabel};
use super::gateway_state::GatewayState;

/// Connects to a target directly.
///
/// # Errors
///
/// As [`HttpLink::try_connect`].
pub(super) async fn connect_directly(
    state: &GatewayState,
    target: &TargetRecord,
    options: LinkOptions,
) -> Result<HttpLink, LinkFailure> {
    let connected = HttpLink::try_connect(target.address, options).await;
    record_connect(state, target, &connected);
    connected
}

fn record_connect(
    state: &GatewayState,
    target: &TargetRecord,
    connected: &Result<HttpLink, LinkFailure>,
) {
    let [done, refused, failed] = CONNECT_RESULTS;
    let what = match connected {
        Ok(_) => done,
        Err(failure) if failure.is_refused() => refused,
        Err(_) => failed,
    };
    let label = OutcomeLabel { what };
    state.metrics.connects.get_or_create(&label).inc();
    let change = match connected {
        Ok(_) => state.path.borrow_mut().record_reached(),
        // Behind a full link of its own, a router reaches nobody, and other routers cannot help.
        Err(_) if state.is_link_full() => None,
        Err(_) => {
            let targets = ready_count(state);
            let mut path = state.path.borrow_mut();
            path.record_unreached(&target.name, targets)
        }
    };
    if let Some(change) = change {
        log_change(state, change);
    }
}

fn ready_count(state: &GatewayState) -> usize {
    let roster = state.roster.borrow();
    let ready = roster
        .entries()
        .filter(|entry| entry.record.phase == TargetPhase::Ready);
    ready.count()
}

fn log_change(state: &GatewayState, change: PathChange) {
    let (event, is_lost) = match change {
        PathChange::Lost => ("targets_unreachable", 1),
        PathChange::Regained => ("targets_reachable", 0),
    };
    state.metrics.path_lost.set(is_lost);
    let count = |what| {
        let label = OutcomeLabel { what };
        let counter = state.metrics.connects.get_or_create(&label).get();
        (what, counter.to_string())
    };
    let fields = CONNECT_RESULTS.map(count);
    state.report.log(LogLevel::Warning, event, fields);
}
