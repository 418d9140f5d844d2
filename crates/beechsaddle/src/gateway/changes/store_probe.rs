//! The `store_probe` module provides the detection of whether the store answers.

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

/// Probe interval while the store does not answer, in milliseconds. This router notices the end of
/// an outage that much later.
const OUTAGE_PROBE_INTERVAL_MS: u64 = 250;

/// Maximum wait for a probe to succeed, after which the store is called anyway. Probes and watches
/// use separate connections, each of which may fail by itself.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(2_000);

/// How long a router that asks for changes waits for a fresh answer of the store: some round trips,
/// and short against the time after which it would ask another router.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(100);

/// Time after an outage until the store counts as steady, in milliseconds: the longest time between
/// two tries of a router that cannot reach it, plus one call.
const STEADY_MS: u64 = 1_500;

/// Whether the store answers.
///
/// A pending watch looks the same whether nothing changes, its connection is broken, or the store
/// accepted it during an outage and forgot it. A probe reads one small object, up to some seconds
/// stale, at a tenth of the cost of a call. If it fails, watches are abandoned and restarted with
/// listings as soon as the store answers any call. A single silent connection is detected by TCP
/// keepalive, and a watch that was forgotten between two probes by the end of its short wait.
#[derive(Debug)]
pub(in crate::gateway) struct StoreHealth {
    answers: watch::Sender<bool>,
    answered: Notify,
    /// Triggers the next probe at once.
    probe_requested: Notify,
    /// When the store was last unreachable, for this router or the router that it follows.
    last_outage_at: Cell<Option<ClockTime>>,
}

impl StoreHealth {
    /// Creates the state of a store that was not called yet.
    pub(in crate::gateway) fn new() -> Self {
        StoreHealth {
            answers: watch::Sender::new(true),
            answered: Notify::new(),
            probe_requested: Notify::new(),
            last_outage_at: Cell::new(None),
        }
    }

    /// Returns whether the last call was answered.
    pub(in crate::gateway) fn answers(&self) -> bool {
        *self.answers.borrow()
    }

    /// Returns whether the store has answered for a while. Just after a general outage, a router
    /// that cannot reach the store yet is only a moment behind this one, and not partitioned.
    pub(in crate::gateway) fn is_steady(&self, now: ClockTime) -> bool {
        let last_outage_at = self.last_outage_at.get();
        let had_outage = last_outage_at.is_some_and(|at| now.since(at) < STEADY_MS);
        self.answers() && !had_outage
    }

    /// Records that the store is unreachable for this router or the one that it follows.
    pub(in crate::gateway) fn record_outage(&self, now: ClockTime) {
        self.last_outage_at.set(Some(now));
    }

    /// Completes when a probe fails.
    pub(in crate::gateway) async fn lost(&self) {
        let mut answers = self.answers.subscribe();
        // The sender lives as long as the state that owns it.
        let _ = answers.wait_for(|answers| !answers).await;
    }

    /// Waits while probes fail, up to the time after which a call is worth a try anyway; returns
    /// whether the store has recovered.
    pub(in crate::gateway) async fn answering(&self) -> bool {
        if self.answers() {
            return false;
        }
        // A timeout needs no handling: the state is read again below.
        let _ = timeout(ANSWER_TIMEOUT, self.answered.notified()).await;
        self.answers()
    }

    /// Triggers a probe and waits briefly for its answer.
    ///
    /// A router learns that others follow it only from their requests, when the store may not have
    /// answered it for a second. Without this probe the router sent those that asked it to other
    /// routers, and each start of a fleet left four followers in a domain instead of two.
    pub(in crate::gateway) async fn refresh(&self) {
        let answered = self.answered.notified();
        self.probe_requested.notify_one();
        // Without a timely answer the known state stays stale, and the reply says so.
        let _ = timeout(REFRESH_TIMEOUT, answered).await;
    }

    /// Records whether a probe or another call was answered; returns whether the store has just
    /// recovered.
    pub(in crate::gateway) fn record(&self, answers: bool) -> bool {
        let previous = self.answers.send_replace(answers);
        if answers {
            self.answered.notify_waiters();
        }
        answers && !previous
    }
}

/// Probes the store indefinitely.
pub(in crate::gateway) async fn run_probes(state: Rc<GatewayState>) {
    loop {
        if !is_needed(&state) {
            sleep(Duration::from_millis(OUTAGE_PROBE_INTERVAL_MS)).await;
            continue;
        }
        let answers = probe(&state).await;
        state.store_health.record(answers);
        let interval = match answers {
            true => probe_interval(&state),
            false => probe_interval(&state).min(Duration::from_millis(OUTAGE_PROBE_INTERVAL_MS)),
        };
        // A timeout is the usual end of the interval.
        let _ = timeout(interval, state.store_health.probe_requested.notified()).await;
    }
}

/// Returns the probe interval. A router that others follow probes twice within the span in which
/// its state counts as fresh, so that one slow answer does not make all of them ask the store.
fn probe_interval(state: &GatewayState) -> Duration {
    let settings = state.settings();
    let choice = state.relay.choice.borrow();
    match choice.is_followed(state.now(), &state.lending.ring.borrow()) {
        true => settings.probe_interval.min(settings.max_relay_age / 2),
        false => settings.probe_interval,
    }
}

/// Returns whether this router needs to probe: others follow it, or its last call failed. A router
/// that follows another one gets changes from that one.
fn is_needed(state: &GatewayState) -> bool {
    let choice = state.relay.choice.borrow();
    !state.store_health.answers() || choice.is_follower(state.now(), &state.lending.ring.borrow())
}

async fn probe(state: &GatewayState) -> bool {
    let started = state.now();
    let read = state.store.probe(ObjectKind::Budgets, SECRET_NAME).await;
    state.record_store_call(StoreCall::Probe, started, &read);
    // A change would have ended the watch before the store answered this call.
    if read.is_ok() && state.relay.is_watched(ObjectKind::Targets) {
        state.record_targets_known(started);
    }
    if read.is_ok() && state.relay.is_watched(ObjectKind::Config) {
        state.record_config_known(started);
    }
    !read.as_ref().is_err_and(StoreFailure::is_unavailable)
}
