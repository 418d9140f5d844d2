//! The `trial_guard` module provides the ends of trials, of which the routers that granted them are told.

use std::cell::RefCell;
use std::rc::Rc;

use beechsaddle_core::gateway::{PeerRecord, SuspectKey};
use beechsaddle_core::report::LogLevel;
use futures::future::join_all;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::gateway::gateway_state::GatewayState;
use crate::gateway::token_lending::LOAN_TIMEOUT;

/// The trial of a suspect by one request. Dropping it has the router that granted the trial told that
/// the request has ended.
pub(in crate::gateway) struct TrialGuard {
    pub(super) state: Rc<GatewayState>,
    pub(super) key: SuspectKey,
    /// The router that granted the trial; `None` if it is this one.
    pub(super) granter: Option<PeerRecord>,
}

/// The end of a trial that another router granted.
pub(super) struct TrialEnd {
    pub(super) granter: PeerRecord,
    pub(super) key: SuspectKey,
}

/// Trials that have ended, until the routers that granted them are told.
#[derive(Default)]
pub(super) struct EndedTrials {
    ends: RefCell<Vec<TrialEnd>>,
    wake: Notify,
}

impl EndedTrials {
    /// Adds the end of a trial.
    pub(super) fn push(&self, end: TrialEnd) {
        self.ends.borrow_mut().push(end);
        self.wake.notify_one();
    }
}

impl TrialGuard {
    /// Returns the suspect that is tried.
    pub(in crate::gateway) fn key(&self) -> SuspectKey {
        self.key
    }
}

impl Drop for TrialGuard {
    fn drop(&mut self) {
        let key = self.key;
        match self.granter.take() {
            None => end_trial(&self.state, key),
            Some(granter) => self.state.crashes.ended.push(TrialEnd { granter, key }),
        }
    }
}

/// Tells other routers of the ends of the trials that they granted, indefinitely.
pub(in crate::gateway) async fn run_trial_ends(state: Rc<GatewayState>) {
    loop {
        state.crashes.ended.wake.notified().await;
        let ends = state.crashes.ended.ends.take();
        let sent = ends.iter().map(|end| send_end(&state, end));
        join_all(sent).await;
    }
}

/// Records that the request of a trial that this router granted has ended.
pub(in crate::gateway) fn end_trial(state: &GatewayState, key: SuspectKey) {
    let mut trials = state.crashes.trials.borrow_mut();
    trials.end(state.now(), key);
}

/// Tells a router that the request of a trial has ended. If it does not hear of that, it waits for the
/// outcome for as long as it may take.
async fn send_end(state: &GatewayState, end: &TrialEnd) {
    let secret = state.lending.secret();
    let links = &state.lending.links;
    let told = links.end_trial(&end.granter, &secret, end.key);
    let failure = match timeout(LOAN_TIMEOUT, told).await {
        Ok(Ok(())) => return,
        Ok(Err(error)) => error,
        Err(_) => "no answer in time".to_owned(),
    };
    let fields = [("peer", end.granter.host.to_string()), ("error", failure)];
    let report = &state.report;
    report.log(LogLevel::Debug, "trial_end_lost", fields);
}
