//! The `relay_server` module provides this router's answers to the routers that follow it.

use std::rc::Rc;
use std::time::Duration;

use beechsaddle_core::gateway::{ChangeBatch, ChangeReply};
use beechsaddle_platform::ObjectKind;
use tokio::time::{Instant, sleep_until};

use super::{FollowAnswer, FollowReply};
use crate::gateway::gateway_state::GatewayState;

/// Maximum size of relayed changes, in bytes. Sending this much to twenty routers takes half a
/// second of a 20 Mbit/s link, during which callers' responses wait; larger changes are read from
/// the store.
const MAX_BYTES: usize = 48 * 1_024;

/// Maximum wait for changes; the routers that follow this one notice within this time that it has
/// stopped answering.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// Answers a router that has everything up to `revision`; waits if nothing is newer.
pub(in crate::gateway) async fn serve_follow(
    state: &Rc<GatewayState>,
    kind: ObjectKind,
    revision: u64,
    wait: Duration,
) -> FollowAnswer {
    let until = Instant::now() + wait.min(MAX_WAIT);
    if is_stale(state) && state.store_health.answers() {
        state.store_health.refresh().await;
    }
    loop {
        let changed = state.relay.changed.notified();
        if let Some(reply) = immediate_reply(state, kind, revision) {
            return answer(state, kind, reply);
        }
        tokio::select! {
            () = changed => {}
            () = state.store_health.lost() => {}
            () = sleep_until(until) => {
                let reply = immediate_reply(state, kind, revision);
                let reply = reply.unwrap_or_else(|| unchanged_reply(state, kind));
                return answer(state, kind, reply);
            }
        }
    }
}

fn answer(state: &GatewayState, kind: ObjectKind, reply: FollowReply) -> FollowAnswer {
    FollowAnswer {
        reply,
        revision: state.relay.revision(kind),
        age_ms: state.store_age_ms(),
    }
}

/// Returns the reply that can be given immediately; `None` while nothing is newer.
fn immediate_reply(state: &GatewayState, kind: ObjectKind, revision: u64) -> Option<FollowReply> {
    let now = state.now();
    let mut choice = state.relay.choice.borrow_mut();
    if !choice.is_follower(now, &state.lending.ring.borrow()) {
        choice.record_request(now);
        return Some(FollowReply::Starting);
    }
    if is_stale(state) || !state.store_health.answers() {
        return Some(FollowReply::Unavailable);
    }
    drop(choice);
    if !state.relay.is_watched(kind) {
        return None;
    }
    match state.relay.since(kind, revision) {
        ChangeReply::Changes(batches) if size_of(&batches) > MAX_BYTES => Some(FollowReply::Gone),
        ChangeReply::Changes(batches) => Some(FollowReply::Changes(batches)),
        ChangeReply::Gone => Some(FollowReply::Gone),
        ChangeReply::Nothing => None,
    }
}

/// Returns the reply when this router knows of nothing newer. It may not watch the kind yet.
fn unchanged_reply(state: &GatewayState, kind: ObjectKind) -> FollowReply {
    if state.relay.is_watched(kind) {
        return FollowReply::Changes(Vec::new());
    }
    let mut choice = state.relay.choice.borrow_mut();
    choice.record_request(state.now());
    FollowReply::Starting
}

/// Returns whether the known state may be stale because the store has not answered for a while.
fn is_stale(state: &GatewayState) -> bool {
    state.store_age_ms() > state.settings().max_relay_age.as_millis() as u64
}

fn size_of(batches: &[ChangeBatch]) -> usize {
    batches.iter().map(|batch| batch.body.len()).sum()
}
