//! The `follow_call` module provides the request for changes to a router that follows the store.

use std::time::Duration;

use beechsaddle_core::gateway::{ChangeBatch, ConfigDifference, FollowFailure, PeerRecord};
use beechsaddle_core::report::LogLevel;
use beechsaddle_platform::{ObjectKind, StoreChanges, TransferRecord};
use beechsaddle_wire::relay::{CONFIG_FORMAT, decode_difference};
use tokio::time::timeout;

use crate::gateway::gateway_metrics::OutcomeLabel;
use crate::gateway::gateway_state::GatewayState;
use crate::gateway::peer_link::PeerLinks;
use crate::gateway::token_lending::mark_down;

/// Time beyond the requested wait that a follower may take to answer: a hundred times the latency
/// within a domain, and short against the limit for new configurations to take effect.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// The longest wait of a request for evacuations, in milliseconds: less than a call per router and
/// second.
const EVACUATION_WAIT_MAX_MS: u64 = 1_200;

/// The shortest wait of such a request, in milliseconds.
const EVACUATION_WAIT_MIN_MS: u64 = 200;

/// A request to a follower for changes after a revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::gateway) struct FollowRequest {
    pub(in crate::gateway) kind: ObjectKind,
    pub(in crate::gateway) revision: u64,
    /// How long the follower waits for changes.
    pub(in crate::gateway) wait: Duration,
    /// The version of the configuration in force at the router that asks; 0 if it has none.
    pub(in crate::gateway) version: u64,
    /// The encoding of configurations that it knows; 0 for none.
    pub(in crate::gateway) config_format: u16,
}

/// A follower's reply to a request for changes after a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::gateway) enum FollowReply {
    /// Changes, oldest first; empty if nothing changed.
    Changes(Vec<ChangeBatch>),
    /// Changes after that revision are no longer held, or are too large to be relayed.
    Gone,
    /// The follower cannot reach the store, or its state may be stale.
    Unavailable,
    /// The router was following another one, and now starts to follow the store.
    Starting,
}

/// A follower's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::gateway) struct FollowAnswer {
    pub(in crate::gateway) reply: FollowReply,
    /// The newest revision known to the follower.
    pub(in crate::gateway) revision: u64,
    /// Time since the store last answered the follower, in milliseconds.
    pub(in crate::gateway) age_ms: u64,
}

/// The result of one step of following a router.
#[derive(Debug)]
pub(super) enum FollowStep {
    /// Changes, oldest first, and the revision that they lead to.
    Changes(Vec<StoreChanges>, u64),
    /// A newer configuration, and the revision at which it is the newest.
    Config(RelayedConfig, u64),
    /// The changes must be read from the store.
    Gone,
    /// The router could not provide changes.
    Failed,
}

/// A difference of configurations from another router.
#[derive(Debug)]
pub(super) struct RelayedConfig {
    pub(super) difference: ConfigDifference,
    /// How it was received.
    pub(super) transfer: TransferRecord,
}

/// Asks a follower for changes, and waits for some time if there are none yet.
pub(super) async fn follow_router(
    state: &GatewayState,
    peer: &PeerRecord,
    kind: ObjectKind,
    revision: u64,
) -> FollowStep {
    let links = &state.lending.links;
    let request = request_changes(state, links, peer, kind, revision);
    match timeout(answer_time(state, kind), request).await {
        Ok(Ok(step)) => step,
        // A router of an earlier version does not know this kind, and is not down.
        Ok(Err(_)) if kind == ObjectKind::Evacuations => FollowStep::Gone,
        Ok(Err(error)) => record_silence(state, peer, &error),
        Err(_) => record_silence(state, peer, "no answer to the follow request in time"),
    }
}

/// Returns the time after which the answer of a follower is late.
pub(super) fn answer_time(state: &GatewayState, kind: ObjectKind) -> Duration {
    relay_wait(state, kind) + ANSWER_TIMEOUT
}

/// Asks a follower for changes, however long the answer takes.
///
/// # Errors
///
/// If there is no connection, or the follower rejects the request.
pub(super) async fn request_changes(
    state: &GatewayState,
    links: &PeerLinks,
    peer: &PeerRecord,
    kind: ObjectKind,
    revision: u64,
) -> Result<FollowStep, String> {
    let started = state.now();
    let secret = state.lending.secret();
    let request = FollowRequest {
        kind,
        revision,
        wait: relay_wait(state, kind),
        version: state.config().map_or(0, |config| config.version),
        config_format: CONFIG_FORMAT,
    };
    let answer = links.follow_changes(peer, &secret, request).await?;
    let now = state.now();
    state.update_age.borrow_mut().record_answer(now, started);
    let step = match answer.reply {
        FollowReply::Changes(batches) => {
            state.record_relayed_answer(answer.age_ms);
            count(state, "news");
            match (kind, batches.first()) {
                (ObjectKind::Config, Some(batch)) => {
                    read_difference(state, peer, batch, answer.revision)
                }
                _ => read_batches(state, peer, &batches, answer.revision),
            }
        }
        FollowReply::Gone => {
            count(state, "gone");
            FollowStep::Gone
        }
        FollowReply::Unavailable => {
            // This router may still reach the store, which it asks next.
            state.store_health.record_outage(state.now());
            record_failure(state, peer, FollowFailure::Unavailable)
        }
        FollowReply::Starting => record_failure(state, peer, FollowFailure::Starting),
    };
    Ok(step)
}

/// Returns how long a follower waits for changes before it answers that there are none.
fn relay_wait(state: &GatewayState, kind: ObjectKind) -> Duration {
    match kind {
        ObjectKind::Evacuations => evacuation_wait(state.settings().evacuate_ms),
        ObjectKind::Config
        | ObjectKind::Targets
        | ObjectKind::Routers
        | ObjectKind::Budgets
        | ObjectKind::Crashes => state.settings().max_relay_age / 2,
    }
}

/// Returns how long a request for evacuations waits: a quarter of the time within which they have to
/// be in force, so that two followers in turn may fail to answer before the store is asked.
fn evacuation_wait(evacuate_ms: Option<u64>) -> Duration {
    let wait_ms = evacuate_ms.unwrap_or(0) / 4;
    Duration::from_millis(wait_ms.clamp(EVACUATION_WAIT_MIN_MS, EVACUATION_WAIT_MAX_MS))
}

/// Decodes a difference of configurations. If it cannot be decoded, the configuration is read from the
/// store.
fn read_difference(
    state: &GatewayState,
    peer: &PeerRecord,
    batch: &ChangeBatch,
    revision: u64,
) -> FollowStep {
    let started = state.now();
    match decode_difference(&batch.body) {
        Ok(difference) => {
            let transfer = TransferRecord {
                bytes: batch.body.len(),
                body_ms: 0,
                decode_ms: state.now().since(started),
            };
            let config = RelayedConfig {
                difference,
                transfer,
            };
            FollowStep::Config(config, revision)
        }
        Err(error) => log_unreadable(state, peer, &error.to_string()),
    }
}

/// Decodes relayed changes. If a batch cannot be decoded, the changes are read from the store.
fn read_batches(
    state: &GatewayState,
    peer: &PeerRecord,
    batches: &[ChangeBatch],
    revision: u64,
) -> FollowStep {
    let read = batches.iter().map(|batch| {
        StoreChanges::try_decode(&batch.body).map(|changes| StoreChanges {
            transfer: TransferRecord {
                bytes: batch.body.len(),
                ..changes.transfer
            },
            ..changes
        })
    });
    match read.collect::<Result<Vec<_>, _>>() {
        Ok(changes) => FollowStep::Changes(changes, revision),
        Err(error) => log_unreadable(state, peer, &error.to_string()),
    }
}

fn log_unreadable(state: &GatewayState, peer: &PeerRecord, error: &str) -> FollowStep {
    let fields = [("peer", peer.host.to_string()), ("error", error.to_owned())];
    let report = &state.report;
    report.log(LogLevel::Error, "news_unreadable", fields);
    FollowStep::Gone
}

fn record_silence(state: &GatewayState, peer: &PeerRecord, error: &str) -> FollowStep {
    mark_down(state, peer, error);
    record_failure(state, peer, FollowFailure::Silent)
}

pub(super) fn record_failure(
    state: &GatewayState,
    peer: &PeerRecord,
    failure: FollowFailure,
) -> FollowStep {
    count(state, failure.as_str());
    let mut choice = state.relay.choice.borrow_mut();
    choice.record_failure(state.now(), &peer.host, failure);
    FollowStep::Failed
}

fn count(state: &GatewayState, what: &'static str) {
    let label = OutcomeLabel { what };
    state.metrics.follow_steps.get_or_create(&label).inc();
}
