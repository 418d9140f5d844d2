//! The `relay_server` module provides this router's answers to the routers that follow it.

use std::rc::Rc;
use std::time::Duration;

use beechsaddle_core::gateway::{ChangeBatch, ChangeReply};
use beechsaddle_core::report::LogLevel;
use beechsaddle_platform::ObjectKind;
use beechsaddle_wire::relay::CONFIG_FORMAT;
use tokio::time::{Instant, sleep_until};

use super::config_relay::ConfigReply;
use super::store_follow::kind_name;
use super::{FollowAnswer, FollowReply, FollowRequest};
use crate::gateway::gateway_state::GatewayState;

/// Maximum size of relayed changes, in bytes. Sending this much to twenty routers takes half a
/// second of a 20 Mbit/s link, during which callers' responses wait; larger changes are read from
/// the store.
const MAX_BYTES: usize = 48 * 1_024;

/// Maximum size of a difference of configurations, in bytes: that of the largest one in the store.
const MAX_CONFIG_BYTES: usize = 1_024 * 1_024;

/// Maximum wait for changes; the routers that follow this one notice within this time that it has
/// stopped answering.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// Answers a router that has everything up to a revision; waits if nothing is newer.
pub(in crate::gateway) async fn serve_follow(
    state: &Rc<GatewayState>,
    request: FollowRequest,
) -> FollowAnswer {
    let kind = request.kind;
    let until = Instant::now() + request.wait.min(MAX_WAIT);
    if is_stale(state) && state.store_health.answers() {
        state.store_health.refresh().await;
    }
    loop {
        let changed = state.relay.changed.notified();
        if let Some(reply) = immediate_reply(state, request) {
            return answer(state, kind, reply);
        }
        tokio::select! {
            () = changed => {}
            () = state.store_health.lost() => {}
            () = sleep_until(until) => {
                let reply = immediate_reply(state, request);
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
fn immediate_reply(state: &GatewayState, request: FollowRequest) -> Option<FollowReply> {
    let FollowRequest { kind, revision, .. } = request;
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
    if kind == ObjectKind::Config {
        return config_reply(state, request);
    }
    match state.relay.since(kind, revision) {
        ChangeReply::Changes(batches) if size_of(&batches) > MAX_BYTES => Some(FollowReply::Gone),
        ChangeReply::Changes(batches) => Some(FollowReply::Changes(batches)),
        ChangeReply::Gone => Some(FollowReply::Gone),
        ChangeReply::Nothing => None,
    }
}

/// Returns what a router gets of the configuration; `None` while it has the newest version.
fn config_reply(state: &GatewayState, request: FollowRequest) -> Option<FollowReply> {
    if request.config_format != CONFIG_FORMAT {
        let is_behind = request.revision < state.relay.revision(ObjectKind::Config);
        return is_behind.then_some(FollowReply::Gone);
    }
    match state.relay.configs.try_reply(request.version) {
        Ok(ConfigReply::Unchanged) => None,
        Ok(ConfigReply::Difference(body)) if body.len() > max_config_bytes(state) => {
            Some(FollowReply::Gone)
        }
        Ok(ConfigReply::Difference(body)) => Some(FollowReply::Changes(vec![ChangeBatch {
            revision: state.relay.revision(ObjectKind::Config),
            body,
        }])),
        Err(error) => {
            let fields = [
                ("duty", kind_name(ObjectKind::Config).to_owned()),
                ("error", error.to_string()),
            ];
            let report = &state.report;
            report.log(LogLevel::Error, "news_not_passed_on", fields);
            Some(FollowReply::Gone)
        }
    }
}

/// Returns the maximum size of a difference of configurations, in bytes: it takes half a second of this
/// router's link to send it to all routers of the domain.
fn max_config_bytes(state: &GatewayState) -> usize {
    let Some(link_mbps) = state.settings().link_mbps else {
        return MAX_CONFIG_BYTES;
    };
    let routers = state.lending.ring.borrow().domain_router_count().max(1);
    let bytes_per_s = link_mbps * 1_000_000.0 / 8.0;
    let share = (bytes_per_s / 2.0) as usize / routers;
    share.clamp(MAX_BYTES, MAX_CONFIG_BYTES)
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
