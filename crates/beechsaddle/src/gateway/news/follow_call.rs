//! The `follow_call` module provides a question to a router that follows the store, and its answer.

use std::time::Duration;

use beechsaddle_core::gateway::{ChangeBatch, FollowFailure, PeerRecord};
use beechsaddle_core::report::LogLevel;
use beechsaddle_platform::{ObjectKind, StoreNews};
use tokio::time::timeout;

use crate::gateway::gateway_metrics::WordLabel;
use crate::gateway::gateway_state::GatewayState;
use crate::gateway::token_lending::mark_down;

/// How much longer than it may wait a follower may take to answer: a hundred times the way within a domain, and
/// short against the bound on new configurations.
const ANSWER_SPAN: Duration = Duration::from_millis(300);

/// What a follower knows after a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::gateway) enum FollowReply {
    /// Changes, the oldest first; none if nothing changed.
    News(Vec<ChangeBatch>),
    /// Changes after that revision are not kept, or are too large to be passed on.
    Gone,
    /// It cannot reach the store, or what it knows may be old.
    Away,
    /// It follows another router, and follows the store from now on.
    Beginning,
}

/// What a follower answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::gateway) struct FollowAnswer {
    /// What it knows.
    pub(in crate::gateway) reply: FollowReply,
    /// The newest revision that it knows.
    pub(in crate::gateway) revision: u64,
    /// How long ago the store last answered it, in milliseconds.
    pub(in crate::gateway) age_ms: u64,
}

/// What came of following a router for one step.
#[derive(Debug)]
pub(super) enum FollowStep {
    /// Changes, the oldest first, and the revision that they lead to.
    News(Vec<StoreNews>, u64),
    /// The store has to be asked for the changes.
    Gone,
    /// The router does not help now.
    Doubted,
}

/// Asks a follower what changed, and waits for it for a while.
pub(super) async fn follow_router(
    state: &GatewayState,
    peer: &PeerRecord,
    kind: ObjectKind,
    revision: u64,
) -> FollowStep {
    let wait = state.settings().relay_age / 2;
    let secret = state.lending.secret();
    let links = &state.lending.links;
    let asked = links.follow_news(peer, &secret, kind, revision, wait);
    let answer = match timeout(wait + ANSWER_SPAN, asked).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(error)) => return note_silent(state, peer, &error),
        Err(_) => return note_silent(state, peer, "no changes in time"),
    };
    match answer.reply {
        FollowReply::News(batches) => {
            state.note_relayed_answer(answer.age_ms);
            count(state, "news");
            read_batches(state, peer, &batches, answer.revision)
        }
        FollowReply::Gone => {
            count(state, "gone");
            FollowStep::Gone
        }
        FollowReply::Away => {
            // This router may reach the store: it asks it next, and finds out.
            state.store_health.record_outage(state.now());
            record_failure(state, peer, FollowFailure::Away)
        }
        FollowReply::Beginning => record_failure(state, peer, FollowFailure::Beginning),
    }
}

/// Reads what a follower passed on. A batch that cannot be read hides changes: the store is asked for them.
fn read_batches(
    state: &GatewayState,
    peer: &PeerRecord,
    batches: &[ChangeBatch],
    revision: u64,
) -> FollowStep {
    let read = batches
        .iter()
        .map(|batch| StoreNews::try_decode(&batch.body));
    match read.collect::<Result<Vec<_>, _>>() {
        Ok(news) => FollowStep::News(news, revision),
        Err(error) => {
            let fields = [
                ("peer", peer.host.to_string()),
                ("error", error.to_string()),
            ];
            let report = &state.report;
            report.log(LogLevel::Error, "news_unreadable", fields);
            FollowStep::Gone
        }
    }
}

fn note_silent(state: &GatewayState, peer: &PeerRecord, error: &str) -> FollowStep {
    mark_down(state, peer, error);
    record_failure(state, peer, FollowFailure::Silent)
}

fn record_failure(state: &GatewayState, peer: &PeerRecord, doubt: FollowFailure) -> FollowStep {
    count(state, doubt.as_str());
    let mut choice = state.relay.choice.borrow_mut();
    choice.record_failure(state.now(), &peer.host, doubt);
    FollowStep::Doubted
}

fn count(state: &GatewayState, what: &'static str) {
    let label = WordLabel { what };
    state.metrics.news_steps.get_or_create(&label).inc();
}
