//! The `relay_server` module provides what this router answers those that follow it.

use std::rc::Rc;
use std::time::Duration;

use beechsaddle_core::gateway::{ChangeBatch, ChangeReply};
use beechsaddle_platform::ObjectKind;
use tokio::time::{Instant, sleep_until};

use super::{FollowAnswer, FollowReply};
use crate::gateway::gateway_state::GatewayState;

/// The largest changes that are passed on, in bytes. Twenty routers that are sent these take half a second of a
/// link of 20 Mbit/s, and callers' answers wait as long; what is larger they get from the store.
const RELAYED_MAX: usize = 48 * 1_024;

/// The longest wait for changes: those that follow notice within this that this router has gone silent.
const WAIT_MAX: Duration = Duration::from_secs(2);

/// Answers a router that knows everything up to `revision`; waits when nothing is newer.
pub(in crate::gateway) async fn serve_follow(
    state: &Rc<GatewayState>,
    kind: ObjectKind,
    revision: u64,
    wait: Duration,
) -> FollowAnswer {
    let until = Instant::now() + wait.min(WAIT_MAX);
    if is_old(state) && state.store_health.answers() {
        state.store_health.refresh().await;
    }
    loop {
        let changed = state.relay.changed.notified();
        if let Some(reply) = reply_now(state, kind, revision) {
            return answer(state, kind, reply);
        }
        tokio::select! {
            () = changed => {}
            () = state.store_health.lost() => {}
            () = sleep_until(until) => {
                let reply = reply_now(state, kind, revision);
                let reply = reply.unwrap_or_else(|| reply_unchanged(state, kind));
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

/// What to answer at once; `None` while nothing is newer.
fn reply_now(state: &GatewayState, kind: ObjectKind, revision: u64) -> Option<FollowReply> {
    let now = state.now();
    let mut choice = state.relay.choice.borrow_mut();
    if !choice.is_follower(now, &state.lending.ring.borrow()) {
        choice.record_asked(now);
        return Some(FollowReply::Beginning);
    }
    if is_old(state) || !state.store_health.answers() {
        return Some(FollowReply::Away);
    }
    drop(choice);
    if !state.relay.is_watched(kind) {
        return None;
    }
    match state.relay.since(kind, revision) {
        ChangeReply::News(batches) if size_of(&batches) > RELAYED_MAX => Some(FollowReply::Gone),
        ChangeReply::News(batches) => Some(FollowReply::News(batches)),
        ChangeReply::Gone => Some(FollowReply::Gone),
        ChangeReply::Nothing => None,
    }
}

/// What to answer where nothing is newer as far as this router knows: it may not watch the kind yet.
fn reply_unchanged(state: &GatewayState, kind: ObjectKind) -> FollowReply {
    if state.relay.is_watched(kind) {
        return FollowReply::News(Vec::new());
    }
    let mut choice = state.relay.choice.borrow_mut();
    choice.record_asked(state.now());
    FollowReply::Beginning
}

/// Whether what is known may be old without a sign of it, as the store has not answered for a while.
fn is_old(state: &GatewayState) -> bool {
    state.store_age_ms() > state.settings().relay_age.as_millis() as u64
}

fn size_of(batches: &[ChangeBatch]) -> usize {
    batches.iter().map(|batch| batch.body.len()).sum()
}
