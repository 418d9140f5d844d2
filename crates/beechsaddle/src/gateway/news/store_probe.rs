//! The `store_probe` module provides the knowledge whether the store answers.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use beechsaddle_core::prelude::*;
use beechsaddle_platform::{ObjectKind, StoreFailure};
use tokio::sync::{Notify, watch};
use tokio::time::{sleep, timeout};

use super::router_registry::SECRET_NAME;
use crate::gateway::gateway_state::GatewayState;
use crate::gateway::store_call::StoreCall;

/// How often a store that does not answer is probed, in milliseconds: an outage is over for this
/// router that much later than for the store.
const AWAY_SPAN_MS: u64 = 250;

/// The longest wait for the next answer, after which a store is asked all the same. Probes and watches
/// use connections of their own, which may fail each by itself.
const ANSWER_WAIT: Duration = Duration::from_millis(2_000);

/// How long whoever asks for what changed waits for a fresh answer of the store, in milliseconds: some round trips,
/// and short against the time in which it would go on to another router.
const REFRESH_WAIT: Duration = Duration::from_millis(100);

/// How long after an outage the store counts as steady, in milliseconds: the longest time between two tries of a
/// router that it is away from, and one call.
const STEADY_MS: u64 = 1_500;

/// Whether the store answers.
///
/// A waiting watch looks the same whether nothing changes, its connection lost its way, or the store
/// took the call during an outage and forgot it. A probe reads one small object as it was some seconds
/// ago, for a tenth of the price of a call. Where it fails, the watches are given up, and begun anew
/// with listings as soon as the store answers any call. A connection that is silent by itself is found by
/// the system's keepalive, and a watch that was forgotten between two probes when its short wait is over.
#[derive(Debug)]
pub(in crate::gateway) struct StoreHealth {
    answers: watch::Sender<bool>,
    answered: Notify,
    /// Has the next probe made at once.
    wanted: Notify,
    /// When the store was last out of reach, here or for the router that is followed.
    away_at: Cell<Option<ClockTime>>,
}

impl StoreHealth {
    /// The health of a store that was not asked yet.
    pub(in crate::gateway) fn new() -> Self {
        StoreHealth {
            answers: watch::Sender::new(true),
            answered: Notify::new(),
            wanted: Notify::new(),
            away_at: Cell::new(None),
        }
    }

    /// Whether the last call was answered.
    pub(in crate::gateway) fn answers(&self) -> bool {
        *self.answers.borrow()
    }

    /// Whether the store has answered for a while. Just after an outage for all, a router that cannot reach the store
    /// yet is only a moment later than this one, and not cut off by itself.
    pub(in crate::gateway) fn is_steady(&self, now: ClockTime) -> bool {
        let away_at = self.away_at.get();
        let was_away = away_at.is_some_and(|at| now.since(at) < STEADY_MS);
        self.answers() && !was_away
    }

    /// Notes that the store is out of reach of this router, or of the one that it follows.
    pub(in crate::gateway) fn record_outage(&self, now: ClockTime) {
        self.away_at.set(Some(now));
    }

    /// Ends when a probe fails from now on.
    pub(in crate::gateway) async fn lost(&self) {
        let mut answers = self.answers.subscribe();
        // The sender lives as long as the state that this belongs to.
        let _ = answers.wait_for(|answers| !answers).await;
    }

    /// Waits while probes fail, though no longer than until a call is worth a try anyway; tells whether
    /// the store is back.
    pub(in crate::gateway) async fn answering(&self) -> bool {
        if self.answers() {
            return false;
        }
        // A wait that was too long ends like one that was not.
        let _ = timeout(ANSWER_WAIT, self.answered.notified()).await;
        self.answers()
    }

    /// Has the store probed at once, and waits a moment for its answer.
    ///
    /// A router learns that others follow it when they ask, and the store may not have answered it for a second then.
    /// Without the look it sent them on, and each start of a fleet left four followers in a domain in place of two.
    pub(in crate::gateway) async fn refresh(&self) {
        let answered = self.answered.notified();
        self.wanted.notify_one();
        // Without an answer in time what is known stays old, and whoever asks is told so.
        let _ = timeout(REFRESH_WAIT, answered).await;
    }

    /// Notes whether a probe was answered, or that any other call was; tells whether the store is back.
    pub(in crate::gateway) fn note(&self, answers: bool) -> bool {
        let before = self.answers.send_replace(answers);
        if answers {
            self.answered.notify_waiters();
        }
        answers && !before
    }
}

/// Probes the store for ever.
pub(in crate::gateway) async fn run_probes(state: Rc<GatewayState>) {
    loop {
        if !is_needed(&state) {
            sleep(Duration::from_millis(AWAY_SPAN_MS)).await;
            continue;
        }
        let answers = probe(&state).await;
        state.store_health.note(answers);
        let span = match answers {
            true => probe_span(&state),
            false => probe_span(&state).min(Duration::from_millis(AWAY_SPAN_MS)),
        };
        // A span that nobody cuts short is the usual one.
        let _ = timeout(span, state.store_health.wanted.notified()).await;
    }
}

/// How long to wait between two probes. A router that others follow probes twice in the span in which what it
/// knows counts as new, so that one slow answer does not make all of them ask the store.
fn probe_span(state: &GatewayState) -> Duration {
    let settings = state.settings();
    let choice = state.relay.choice.borrow();
    match choice.is_followed(state.now(), &state.lending.ring.borrow()) {
        true => settings.probe_span.min(settings.relay_age / 2),
        false => settings.probe_span,
    }
}

/// Whether this router has to know by itself whether the store answers: others follow it, or its last call
/// failed. One that follows another router learns from that one when something changes.
fn is_needed(state: &GatewayState) -> bool {
    let choice = state.relay.choice.borrow();
    !state.store_health.answers() || choice.is_follower(state.now(), &state.lending.ring.borrow())
}

async fn probe(state: &GatewayState) -> bool {
    let started = state.now();
    let read = state.store.probe(ObjectKind::Budgets, SECRET_NAME).await;
    state.note_store_call(StoreCall::Probe, started, &read);
    // A change would have ended the watch before the store answered this call.
    if read.is_ok() && state.relay.is_watched(ObjectKind::Targets) {
        state.note_targets_known(started);
    }
    !read.as_ref().is_err_and(StoreFailure::is_away)
}
