//! The `crash_trial` module provides the requests for trials of what may crash targets, and their
//! answers.

use std::rc::Rc;
use std::time::Duration;

use beechsaddle_core::gateway::{CrashVerdict, PeerRecord, SuspectKey, TrialFacts, TrialReply};
use beechsaddle_core::report::LogLevel;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::trial_guard::{TrialEnd, TrialGuard};
use crate::gateway::gateway_metrics::{OutcomeLabel, TRIAL_OUTCOMES};
use crate::gateway::gateway_state::GatewayState;
use crate::gateway::token_lending::{LOAN_TIMEOUT, mark_down};

/// How long a call waits for the answer of the router that grants trials: a few round trips between
/// domains.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(150);

/// Retry delay after a question without an answer, in milliseconds: the next one goes to another
/// router.
const UNANSWERED_RETRY_MS: u64 = 1_000;

/// The refusal of a trial.
pub(super) struct TrialRefusal {
    /// The suspect that may not be tried now.
    pub(super) key: SuspectKey,
    /// When to try again, in milliseconds.
    pub(super) wait_ms: u64,
}

/// Requests the trial of each of these suspects for one request.
///
/// # Errors
///
/// The first [`TrialRefusal`].
pub(super) async fn request_trials(
    state: &Rc<GatewayState>,
    keys: &[SuspectKey],
) -> Result<Vec<TrialGuard>, TrialRefusal> {
    let mut guards = Vec::new();
    for key in keys {
        let granter = find_granter(state, *key);
        let reply = request_trial(state, granter.clone(), *key).await;
        record_reply(state, *key, reply);
        if let TrialReply::Wait { wait_ms } = reply {
            return Err(TrialRefusal { key: *key, wait_ms });
        }
        guards.push(TrialGuard {
            state: Rc::clone(state),
            key: *key,
            granter,
        });
    }
    Ok(guards)
}

/// Returns the router of the fleet that grants the trials of a suspect; `None` if it is this one.
fn find_granter(state: &GatewayState, key: SuspectKey) -> Option<PeerRecord> {
    let ring = state.lending.ring.borrow();
    ring.leader_of(state.now(), &key.to_string()).cloned()
}

/// Decides on the trial of a suspect that this router grants.
pub(in crate::gateway) fn begin_trial(state: &GatewayState, key: SuspectKey) -> TrialReply {
    let now = state.now();
    let registry = state.crashes.registry.borrow();
    if let CrashVerdict::Blocked { left_ms } = registry.verdict(now, key) {
        return TrialReply::Wait { wait_ms: left_ms };
    }
    let facts = TrialFacts {
        crashes: registry.crash_count(key),
        settled_at: registry.settled_at(key),
        last_at: registry.last_at(key),
        domains_before: state.lending.ring.borrow().domains_before(&key.to_string()),
    };
    let mut trials = state.crashes.trials.borrow_mut();
    trials.try_begin(now, key, facts)
}

async fn request_trial(
    state: &Rc<GatewayState>,
    granter: Option<PeerRecord>,
    key: SuspectKey,
) -> TrialReply {
    let Some(peer) = granter else {
        return begin_trial(state, key);
    };
    // An answer that arrives too late still tells whether the router is up, and a trial that it
    // grants has to be ended.
    let pending = spawn_local(ask_granter(Rc::clone(state), peer, key));
    match timeout(TRIAL_TIMEOUT, pending).await {
        Ok(Ok(Some(reply))) => reply,
        Ok(_) | Err(_) => TrialReply::Wait {
            wait_ms: UNANSWERED_RETRY_MS,
        },
    }
}

/// Asks a router; one that does not answer is marked as down.
async fn ask_granter(
    state: Rc<GatewayState>,
    peer: PeerRecord,
    key: SuspectKey,
) -> Option<TrialReply> {
    let asked_at = state.now();
    let secret = state.lending.secret();
    let asked = state.lending.links.request_trial(&peer, &secret, key);
    let failure = match timeout(LOAN_TIMEOUT, asked).await {
        Ok(Ok(reply)) => {
            let is_late = state.now().since(asked_at) >= TRIAL_TIMEOUT.as_millis() as u64;
            if is_late && reply == TrialReply::Granted {
                state.crashes.ended.push(TrialEnd { granter: peer, key });
                return None;
            }
            return Some(reply);
        }
        Ok(Err(error)) => error,
        Err(_) => "no answer in time".to_owned(),
    };
    mark_down(&state, &peer, &failure);
    None
}

fn record_reply(state: &GatewayState, key: SuspectKey, reply: TrialReply) {
    let [granted, refused] = TRIAL_OUTCOMES;
    let what = match reply {
        TrialReply::Granted => granted,
        TrialReply::Wait { .. } => refused,
    };
    let label = OutcomeLabel { what };
    state.metrics.crash_trials.get_or_create(&label).inc();
    if reply == TrialReply::Granted {
        let fields = [("fingerprint", key.to_string())];
        state.report.log(LogLevel::Info, "crash_trial", fields);
    }
}
