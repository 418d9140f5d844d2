//! The `config_follow` module provides the following of the configuration through other routers.
//!
//! Over a congested link of this router every answer is late, and so is that of whoever is asked
//! instead. A late answer is therefore still awaited while the next router, and at last the store, is
//! asked, and the first answer counts.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::pin::pin;
use std::time::Duration;

use beechsaddle_core::gateway::{ChangeSource, FollowFailure, PeerRecord};
use beechsaddle_core::prelude::*;
use beechsaddle_core::report::LogLevel;
use beechsaddle_platform::ObjectKind;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::time::sleep;

use super::follow_call::{FollowStep, answer_time, record_failure, request_changes};
use super::store_follow::{apply_relayed, read_config_once, record_known, watch_store_once};
use crate::gateway::gateway_state::GatewayState;
use crate::gateway::peer_link::PeerLinks;

/// Timeout of connecting to a router for the configuration: over a congested link the first packet is
/// lost or waits for a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Connections that only the following of the configuration uses. Requests that callers wait for close
/// theirs after short timeouts.
pub(super) struct ConfigLinks {
    links: PeerLinks,
    /// Routers whose last answer was late or did not come.
    late: RefCell<BTreeSet<HostName>>,
}

impl Default for ConfigLinks {
    fn default() -> Self {
        ConfigLinks {
            links: PeerLinks::with_connect_timeout(CONNECT_TIMEOUT),
            late: RefCell::default(),
        }
    }
}

impl ConfigLinks {
    /// Records that an answer is late. A connection whose last two are late may be silent for good; the
    /// next request opens another one.
    fn record_late(&self, host: &HostName) {
        if !self.late.borrow_mut().insert(host.clone()) {
            self.links.close(host);
        }
    }

    fn record_answer(&self, host: &HostName) {
        self.late.borrow_mut().remove(host);
    }
}

/// The answer of a router, or why there is none.
struct SourceAnswer {
    peer: PeerRecord,
    started: ClockTime,
    result: Result<FollowStep, String>,
}

/// What a step of following has led to.
enum StepOutcome {
    /// The revision to continue from.
    Known(u64),
    /// The configuration has to be read from the store.
    ReadStore,
    /// The next source is asked.
    AskNext,
}

/// Follows the configuration for one step; returns the revision to continue from.
pub(super) async fn follow_config(state: &GatewayState, revision: u64) -> u64 {
    state.relay.set_watched(ObjectKind::Config, false);
    let mut requests = FuturesUnordered::new();
    let mut asked = Vec::new();
    while let Some(peer) = next_source(state, &asked) {
        asked.push(peer.host.clone());
        requests.push(ask(state, peer.clone(), revision));
        let outcome = tokio::select! {
            Some(answer) = requests.next() => take_answer(state, revision, answer),
            () = sleep(answer_time(state, ObjectKind::Config)) => {
                state.relay.config_links.record_late(&peer.host);
                record_failure(state, &peer, FollowFailure::Silent);
                StepOutcome::AskNext
            }
        };
        match outcome {
            StepOutcome::Known(revision) => return revision,
            StepOutcome::ReadStore => return read_config_once(state, revision).await,
            StepOutcome::AskNext => {}
        }
    }
    if requests.is_empty() {
        let follower = first_follower(state);
        requests.extend(follower.map(|peer| ask(state, peer, revision)));
    }
    let mut store = pin!(watch_store_once(state, ObjectKind::Config, revision));
    loop {
        tokio::select! {
            revision = &mut store => return revision,
            Some(answer) = requests.next() => {
                if let StepOutcome::Known(revision) = take_answer(state, revision, answer) {
                    return revision;
                }
            }
        }
    }
}

/// Returns the next router to ask; `None` if the store is next.
fn next_source(state: &GatewayState, asked: &[HostName]) -> Option<PeerRecord> {
    let choice = state.relay.choice.borrow();
    match choice.source(state.now(), &state.lending.ring.borrow()) {
        ChangeSource::Router(peer) if !asked.contains(&peer.host) => Some(peer),
        ChangeSource::Router(_) | ChangeSource::Store => None,
    }
}

/// Returns the first follower, also if its answers were late.
fn first_follower(state: &GatewayState) -> Option<PeerRecord> {
    let ring = state.lending.ring.borrow();
    let followers = ring.followers(state.now(), 1, 0);
    followers.first().map(|peer| (*peer).clone())
}

async fn ask(state: &GatewayState, peer: PeerRecord, revision: u64) -> SourceAnswer {
    let started = state.now();
    let links = &state.relay.config_links.links;
    let result = request_changes(state, links, &peer, ObjectKind::Config, revision).await;
    SourceAnswer {
        peer,
        started,
        result,
    }
}

/// Applies an answer.
fn take_answer(state: &GatewayState, revision: u64, answer: SourceAnswer) -> StepOutcome {
    let host = &answer.peer.host;
    let links = &state.relay.config_links;
    let step = match answer.result {
        Ok(step) => step,
        Err(error) => {
            let fields = [("peer", host.to_string()), ("error", error)];
            state.report.log(LogLevel::Warning, "follower_lost", fields);
            links.links.close(host);
            record_failure(state, &answer.peer, FollowFailure::Silent);
            return StepOutcome::AskNext;
        }
    };
    links.record_answer(host);
    if !matches!(step, FollowStep::Failed) {
        state.relay.choice.borrow_mut().record_answer(host);
    }
    match step {
        FollowStep::Changes(_, known) => {
            record_known(state, ObjectKind::Config, answer.started);
            StepOutcome::Known(known.max(revision))
        }
        FollowStep::Config(config, known) => {
            match apply_relayed(state, &config, known, answer.started) {
                Some(known) => StepOutcome::Known(known.max(revision)),
                None => StepOutcome::ReadStore,
            }
        }
        FollowStep::Gone => StepOutcome::ReadStore,
        FollowStep::Failed => StepOutcome::AskNext,
    }
}
