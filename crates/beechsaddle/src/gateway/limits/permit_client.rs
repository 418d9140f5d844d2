//! The `permit_client` module provides the recording of targets' limits and the requesting of
//! permits.

use std::rc::Rc;
use std::time::Duration;

use beechsaddle_core::gateway::{PeerRecord, PermitReply, TargetLimit, TargetRecord, TargetStats};
use beechsaddle_core::prelude::*;
use beechsaddle_core::report::LogLevel;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::limit_manager::{PermitRequest, answer_permit_request};
use crate::gateway::gateway_state::GatewayState;
use crate::gateway::token_lending::{LOAN_TIMEOUT, mark_down};

/// How long a call waits for a permit before it tries another target: some round trips.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(100);

/// Retry delay after a permit request without an answer, in milliseconds.
const UNANSWERED_RETRY_MS: u64 = 400;

/// Records the limit that a response of a target announced; `sent_at` is when its request was sent.
pub(in crate::gateway) fn record_limit(
    state: &Rc<GatewayState>,
    target: &TargetRecord,
    per_s: Option<f64>,
    sent_at: ClockTime,
) {
    let now = state.now();
    let (mut is_changed, mut known) = (false, None);
    update_stats(state, target, |stats| {
        is_changed = stats.limit.record(now, per_s, sent_at);
        known = stats.limit.last_received();
    });
    let Some(known) = known else {
        return;
    };
    let mut issuer = state.limits.issuer.borrow_mut();
    issuer.record(&target.incarnation(), known);
    drop(issuer);
    if is_changed {
        let limit = per_s.map_or("none".to_owned(), |per_s| per_s.to_string());
        let fields = [("target", target.name.to_string()), ("per_s", limit)];
        state.report.log(LogLevel::Info, "target_limit", fields);
    }
    if is_changed && per_s.is_none() {
        announce_limit_end(state, target, known);
    }
}

/// Notifies the router that issues a target's permits of the limit's end, as other routers keep
/// asking it.
fn announce_limit_end(state: &Rc<GatewayState>, target: &TargetRecord, limit: TargetLimit) {
    let request = PermitRequest {
        target: target.incarnation(),
        limit,
    };
    if let Some(peer) = issuer_of(state, &request) {
        spawn_local(send_request(Rc::clone(state), peer, request));
    }
}

fn issuer_of(state: &GatewayState, request: &PermitRequest) -> Option<PeerRecord> {
    let ring = state.lending.ring.borrow();
    let issuer = ring.leader_of(state.now(), request.target.name.as_str());
    issuer.cloned()
}

/// Requests a permit for a target; returns whether it was granted or the target has no limit.
pub(in crate::gateway) async fn request_permit(
    state: &Rc<GatewayState>,
    target: &TargetRecord,
) -> bool {
    let known = {
        let roster = state.roster.borrow();
        let entry = roster.get(&target.name);
        entry.and_then(|entry| entry.stats.limit.in_force())
    };
    let Some(limit) = known else {
        return true;
    };
    let request = PermitRequest {
        target: target.incarnation(),
        limit,
    };
    let reply = request_from_issuer(state, request).await;
    let now = state.now();
    update_stats(state, target, |stats| match reply {
        PermitReply::Granted => stats.limit.record_granted(),
        PermitReply::Free(limit) => stats.limit.take(limit),
        PermitReply::Wait { wait_ms } => stats.limit.record_refused(now, wait_ms),
    });
    let is_granted = !matches!(reply, PermitReply::Wait { .. });
    if !is_granted {
        state.metrics.permits_refused.inc();
    }
    is_granted
}

/// Asks the router that issues the target's permits. A permit that arrives too late stays unused.
async fn request_from_issuer(state: &Rc<GatewayState>, request: PermitRequest) -> PermitReply {
    let Some(peer) = issuer_of(state, &request) else {
        return answer_permit_request(state, &request);
    };
    let pending = spawn_local(send_request(Rc::clone(state), peer, request));
    match timeout(PERMIT_TIMEOUT, pending).await {
        Ok(Ok(Some(reply))) => reply,
        Ok(_) | Err(_) => PermitReply::Wait {
            wait_ms: UNANSWERED_RETRY_MS,
        },
    }
}

/// Asks a router; one that does not answer is marked as down.
async fn send_request(
    state: Rc<GatewayState>,
    peer: PeerRecord,
    request: PermitRequest,
) -> Option<PermitReply> {
    let secret = state.lending.secret();
    let now = state.now();
    let links = &state.lending.links;
    let sent = links.request_permit(&peer, &secret, now, &request);
    let failure = match timeout(LOAN_TIMEOUT, sent).await {
        Ok(Ok(reply)) => return Some(reply),
        Ok(Err(error)) => error,
        Err(_) => "no answer in time".to_owned(),
    };
    mark_down(&state, &peer, &failure);
    None
}

/// Updates a target's statistics, unless it has restarted since.
fn update_stats(
    state: &GatewayState,
    target: &TargetRecord,
    update: impl FnOnce(&mut TargetStats),
) {
    let mut roster = state.roster.borrow_mut();
    let is_same = roster
        .get(&target.name)
        .is_some_and(|entry| entry.record.started == target.started);
    if let Some(stats) = roster.stats_mut(&target.name).filter(|_| is_same) {
        update(stats);
    }
}
