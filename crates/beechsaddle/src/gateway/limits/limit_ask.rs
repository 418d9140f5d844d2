//! The `limit_ask` module provides what is heard of limits, and the asking for places.

use std::rc::Rc;
use std::time::Duration;

use beechsaddle_core::gateway::{PeerRecord, PermitReply, TargetLimit, TargetRecord, TargetStats};
use beechsaddle_core::prelude::*;
use beechsaddle_core::report::LogLevel;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::limit_desk::{PlaceQuestion, answer_place};
use crate::gateway::gateway_state::GatewayState;
use crate::gateway::token_lending::{LOAN_SPAN, mark_down};

/// How long a call waits for a place before it turns to another target: some round trips.
const ASK_SPAN: Duration = Duration::from_millis(100);

/// When to ask again where no answer came, in milliseconds.
const SILENT_MS: u64 = 400;

/// Takes over what an answer says of its target's limit; `sent_at` is when its request was sent.
pub(in crate::gateway) fn note_limit(
    state: &Rc<GatewayState>,
    target: &TargetRecord,
    per_s: Option<f64>,
    sent_at: ClockTime,
) {
    let now = state.now();
    let (mut is_changed, mut last_received) = (false, None);
    change_gauge(state, target, |stats| {
        is_changed = stats.limit.record(now, per_s, sent_at);
        last_received = stats.limit.last_received();
    });
    let Some(last_received) = last_received else {
        return;
    };
    let mut share = state.limits.share.borrow_mut();
    share.record(&target.incarnation(), last_received);
    drop(share);
    if is_changed {
        let limit = per_s.map_or("none".to_owned(), |per_s| per_s.to_string());
        let fields = [("target", target.name.to_string()), ("per_s", limit)];
        state.report.log(LogLevel::Info, "target_limit", fields);
    }
    if is_changed && per_s.is_none() {
        tell_end(state, target, last_received);
    }
}

/// Tells the router that gives out a target's places that its limit has ended: others go on asking it.
fn tell_end(state: &Rc<GatewayState>, target: &TargetRecord, limit: TargetLimit) {
    let question = PlaceQuestion {
        target: target.incarnation(),
        limit,
    };
    if let Some(peer) = leader_of(state, &question) {
        spawn_local(ask_peer(Rc::clone(state), peer, question));
    }
}

fn leader_of(state: &GatewayState, question: &PlaceQuestion) -> Option<PeerRecord> {
    let ring = state.lending.ring.borrow();
    let leader = ring.leader_of(state.now(), question.target.name.as_str());
    leader.cloned()
}

/// Asks for a place at a target; whether there is one, or the target has no limit.
pub(in crate::gateway) async fn ask_place(state: &Rc<GatewayState>, target: &TargetRecord) -> bool {
    let known = {
        let roster = state.roster.borrow();
        let entry = roster.get(&target.name);
        entry.and_then(|entry| entry.stats.limit.in_force())
    };
    let Some(limit) = known else {
        return true;
    };
    let question = PlaceQuestion {
        target: target.incarnation(),
        limit,
    };
    let reply = ask_share(state, question).await;
    let now = state.now();
    change_gauge(state, target, |stats| match reply {
        PermitReply::Granted => stats.limit.record_granted(),
        PermitReply::Free(limit) => stats.limit.take(limit),
        PermitReply::Wait { wait_ms } => stats.limit.record_refused(now, wait_ms),
    });
    let has_place = !matches!(reply, PermitReply::Wait { .. });
    if !has_place {
        state.metrics.places_refused.inc();
    }
    has_place
}

/// Asks the router that gives out the target's places. A place that is given and not heard of in time stays unused.
async fn ask_share(state: &Rc<GatewayState>, question: PlaceQuestion) -> PermitReply {
    let Some(peer) = leader_of(state, &question) else {
        return answer_place(state, &question);
    };
    let asking = spawn_local(ask_peer(Rc::clone(state), peer, question));
    match timeout(ASK_SPAN, asking).await {
        Ok(Ok(Some(reply))) => reply,
        Ok(_) | Err(_) => PermitReply::Wait { wait_ms: SILENT_MS },
    }
}

/// Asks a router; one that does not answer is passed over from then on.
async fn ask_peer(
    state: Rc<GatewayState>,
    peer: PeerRecord,
    question: PlaceQuestion,
) -> Option<PermitReply> {
    let secret = state.lending.secret();
    let now = state.now();
    let links = &state.lending.links;
    let asked = links.ask_place(&peer, &secret, now, &question);
    let failure = match timeout(LOAN_SPAN, asked).await {
        Ok(Ok(reply)) => return Some(reply),
        Ok(Err(error)) => error,
        Err(_) => "no answer in time".to_owned(),
    };
    mark_down(&state, &peer, &failure);
    None
}

/// Changes what is known of a target, if it is the same start of it.
fn change_gauge(
    state: &GatewayState,
    target: &TargetRecord,
    change: impl FnOnce(&mut TargetStats),
) {
    let mut roster = state.roster.borrow_mut();
    let is_same = roster
        .get(&target.name)
        .is_some_and(|entry| entry.record.started == target.started);
    if let Some(stats) = roster.stats_mut(&target.name).filter(|_| is_same) {
        change(stats);
    }
}
