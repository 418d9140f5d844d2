//! The `crash_broadcast` module provides the exchange of crash reports between routers.

use std::rc::Rc;

use beechsaddle_core::gateway::{CrashReport, PeerRecord, SuspectKey};
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::crash_manager::apply_reports;
use crate::gateway::gateway_state::GatewayState;
use crate::gateway::token_lending::{LOAN_TIMEOUT, mark_down};

/// The origin of a crash report, which determines the routers that do not have it yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::gateway) enum ReportOrigin {
    /// This router detected the crash.
    Local,
    /// The router that detected the crash sent the report to this one, its coordinator.
    Peer,
    /// The report was in the store.
    Store,
    /// Another router sent the report to the whole domain.
    Broadcast,
}

/// Applies reports from another router. `is_broadcast` says that it sends them to the whole domain
/// itself.
pub(in crate::gateway) fn receive_crash_reports(
    state: &Rc<GatewayState>,
    reports: impl IntoIterator<Item = CrashReport>,
    is_broadcast: bool,
) {
    let changed = apply_reports(state, reports);
    let origin = match is_broadcast {
        true => ReportOrigin::Broadcast,
        false => ReportOrigin::Peer,
    };
    distribute_reports(state, changed, origin);
}

/// Sends the reports of changed suspects to the routers that need them.
pub(super) fn distribute_reports(
    state: &Rc<GatewayState>,
    changed: impl IntoIterator<Item = SuspectKey>,
    origin: ReportOrigin,
) {
    for key in changed {
        let (reports, is_shared) = {
            let registry = state.crashes.registry.borrow();
            (registry.reports(key), registry.is_shared(key))
        };
        if is_shared {
            state.crashes.writer_wake.notify_one();
        }
        if origin == ReportOrigin::Local {
            report_to_coordinators(state, key, &reports);
        }
        let is_coordinator = coordinator(state, key).is_none();
        let is_rebroadcast = match origin {
            ReportOrigin::Local => is_coordinator,
            ReportOrigin::Peer | ReportOrigin::Store => true,
            ReportOrigin::Broadcast => false,
        };
        if is_shared && is_rebroadcast {
            broadcast_to_domain(state, &reports);
        }
    }
}

/// Reports the crashes of a suspect to its coordinators in all domains.
fn report_to_coordinators(state: &Rc<GatewayState>, key: SuspectKey, reports: &[CrashReport]) {
    let name = key.to_string();
    let foreign: Vec<_> = {
        let ring = state.lending.ring.borrow();
        let coordinators = ring.foreign_coordinators_of(state.now(), &name);
        coordinators.into_iter().cloned().collect()
    };
    for peer in foreign {
        let (state, reports) = (Rc::clone(state), reports.to_vec());
        spawn_local(async move { send_reports(&state, &peer, &reports, false).await });
    }
    let (state, reports) = (Rc::clone(state), reports.to_vec());
    spawn_local(async move { report_to_own_coordinator(&state, key, &reports).await });
}

/// Reports to the coordinator of the own domain, or to the next in line if that one does not
/// answer.
async fn report_to_own_coordinator(
    state: &Rc<GatewayState>,
    key: SuspectKey,
    reports: &[CrashReport],
) {
    let mut unresponsive = None;
    loop {
        match coordinator(state, key) {
            // The peer did not answer and is still the coordinator: this router's own link is
            // saturated, so it marks no peer as down. Other routers get the report from the store.
            Some(peer) if unresponsive.as_ref() == Some(&peer.host) => return,
            Some(peer) if send_reports(state, &peer, reports, false).await => return,
            Some(peer) => unresponsive = Some(peer.host),
            None => {
                if state.crashes.registry.borrow().is_shared(key) {
                    broadcast_to_domain(state, reports);
                }
                return;
            }
        }
    }
}

fn coordinator(state: &GatewayState, key: SuspectKey) -> Option<PeerRecord> {
    let ring = state.lending.ring.borrow();
    let coordinator = ring.coordinator_of(state.now(), &key.to_string());
    coordinator.cloned()
}

fn broadcast_to_domain(state: &Rc<GatewayState>, reports: &[CrashReport]) {
    let neighbours: Vec<_> = {
        let ring = state.lending.ring.borrow();
        ring.neighbours(state.now()).cloned().collect()
    };
    for peer in neighbours {
        let (state, reports) = (Rc::clone(state), reports.to_vec());
        spawn_local(async move { send_reports(&state, &peer, &reports, true).await });
    }
}

/// Sends reports to one router; returns whether it answered.
async fn send_reports(
    state: &GatewayState,
    peer: &PeerRecord,
    reports: &[CrashReport],
    is_broadcast: bool,
) -> bool {
    let secret = state.lending.secret();
    let now = state.now();
    let links = &state.lending.links;
    let sent = links.send_crashes(peer, &secret, now, reports, is_broadcast);
    let failure = match timeout(LOAN_TIMEOUT, sent).await {
        Ok(Ok(())) => return true,
        Ok(Err(error)) => error,
        Err(_) => "no answer in time".to_owned(),
    };
    mark_down(state, peer, &failure);
    false
}
