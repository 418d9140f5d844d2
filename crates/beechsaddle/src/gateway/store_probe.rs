//! The `store_probe` module provides the knowledge whether the store answers.

use std::rc::Rc;
use std::time::Duration;

use beechsaddle_platform::{ObjectKind, StoreFailure};
use tokio::sync::{Notify, watch};
use tokio::time::{sleep, timeout};

use super::gateway_state::GatewayState;
use super::router_registry::SECRET_NAME;
use super::store_call::StoreCall;

/// How often a store that does not answer is probed, in milliseconds: an outage is over for this
/// router that much later than for the store.
const AWAY_SPAN_MS: u64 = 250;

/// The longest wait for the next answer, after which a store is asked all the same. Probes and watches
/// use connections of their own, which may fail each by itself.
const ANSWER_WAIT: Duration = Duration::from_millis(2_000);

/// Whether the store answers.
///
/// A waiting watch looks the same whether nothing changes, its connection lost its way, or the store
/// took the call during an outage and forgot it. A probe reads one small object as it was some seconds
/// ago, for a tenth of the price of a call. Where it fails, the watches are given up, and begun anew
/// with listings as soon as the store answers any call. A connection that is silent by itself is found by
/// the system's keepalive, and a watch that was forgotten between two probes when its short wait is over.
#[derive(Debug)]
pub(super) struct StoreHealth {
    answers: watch::Sender<bool>,
    answered: Notify,
}

impl StoreHealth {
    /// The health of a store that was not asked yet.
    pub(super) fn new() -> Self {
        StoreHealth {
            answers: watch::Sender::new(true),
            answered: Notify::new(),
        }
    }

    /// Ends when a probe fails from now on.
    pub(super) async fn lost(&self) {
        let mut answers = self.answers.subscribe();
        // The sender lives as long as the state that this belongs to.
        let _ = answers.wait_for(|answers| !answers).await;
    }

    /// Waits while probes fail, though no longer than until a call is worth a try anyway; tells whether
    /// the store is back.
    pub(super) async fn answering(&self) -> bool {
        if *self.answers.borrow() {
            return false;
        }
        // A wait that was too long ends like one that was not.
        let _ = timeout(ANSWER_WAIT, self.answered.notified()).await;
        *self.answers.borrow()
    }

    /// Notes whether a probe was answered, or that any other call was.
    pub(super) fn note(&self, answers: bool) {
        self.answers.send_replace(answers);
        if answers {
            self.answered.notify_waiters();
        }
    }
}

/// Probes the store for ever.
pub(super) async fn run_probes(state: Rc<GatewayState>) {
    loop {
        let answers = probe(&state).await;
        state.store_health.note(answers);
        let span = state.settings().probe_span;
        sleep(match answers {
            true => span,
            false => span.min(Duration::from_millis(AWAY_SPAN_MS)),
        })
        .await;
    }
}

async fn probe(state: &GatewayState) -> bool {
    let started = state.now();
    let read = state.store.probe(ObjectKind::Budgets, SECRET_NAME).await;
    state.note_store_call(StoreCall::Probe, started, &read);
    !read.as_ref().is_err_and(StoreFailure::is_away)
}
