//! The `crash_manager` module provides this router's crash reports and the admission of requests by
//! them.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

use beechsaddle_core::gateway::{CrashRegistry, CrashReport, CrashVerdict, SuspectKey};
use beechsaddle_core::prelude::*;
use beechsaddle_core::report::LogLevel;
use tokio::sync::Notify;

use super::crash_broadcast::{ReportOrigin, distribute_reports};
use super::crash_store::StoredCrashes;
use crate::gateway::gateway_state::GatewayState;

/// Retry delay for a request whose trial is in progress, in milliseconds: most runs finish within
/// it.
const TRIAL_RETRY_MS: u64 = 1_000;

/// The crash reports of this router and the trials in progress.
#[derive(Default)]
pub(in crate::gateway) struct CrashManager {
    pub(super) registry: RefCell<CrashRegistry>,
    /// Requests on trial at this router.
    trials: RefCell<BTreeSet<SuspectKey>>,
    /// The reports that the store has.
    pub(super) stored: RefCell<StoredCrashes>,
    /// Wakes the writer of the store's object.
    pub(super) writer_wake: Notify,
}

impl CrashManager {
    /// Returns how many crashes are attributed to a request.
    pub(in crate::gateway) fn crash_count(&self, fingerprint: SuspectKey) -> usize {
        self.registry.borrow().crash_count(fingerprint)
    }

    /// Returns how many of these crashes were not seen just before `now`.
    pub(in crate::gateway) fn settled_count(
        &self,
        now: ClockTime,
        fingerprint: SuspectKey,
    ) -> usize {
        self.registry.borrow().settled_count(now, fingerprint)
    }

    /// Returns whether every router refuses the request.
    pub(in crate::gateway) fn is_blocked(&self, now: ClockTime, fingerprint: SuspectKey) -> bool {
        let verdict = self.registry.borrow().verdict(now, fingerprint);
        matches!(verdict, CrashVerdict::Blocked { .. })
    }

    /// Returns the number of refused requests.
    pub(in crate::gateway) fn blocked_count(&self) -> usize {
        self.registry.borrow().blocked_count()
    }

    /// Removes expired reports.
    pub(in crate::gateway) fn expire(&self, now: ClockTime) {
        self.registry.borrow_mut().expire(now);
    }
}

/// Whether a request is admitted.
pub(in crate::gateway) enum CrashAdmission {
    /// The request is admitted; the guard is held during a trial.
    Admitted(Option<TrialGuard>),
    /// The request crashes targets.
    Refused {
        /// Retry delay in milliseconds.
        retry_ms: u64,
        /// Names of the targets that crashed while they ran it.
        targets: String,
    },
}

/// The trial of a request that may crash targets. Dropping it lets the next trial begin.
pub(in crate::gateway) struct TrialGuard {
    state: Rc<GatewayState>,
    fingerprint: SuspectKey,
}

impl Drop for TrialGuard {
    fn drop(&mut self) {
        let mut trials = self.state.crashes.trials.borrow_mut();
        trials.remove(&self.fingerprint);
    }
}

/// Decides whether to admit a request that has just arrived.
pub(in crate::gateway) fn admit_request(
    state: &Rc<GatewayState>,
    fingerprint: SuspectKey,
) -> CrashAdmission {
    let now = state.now();
    let verdict = state.crashes.registry.borrow().verdict(now, fingerprint);
    let retry_ms = match verdict {
        CrashVerdict::Clear | CrashVerdict::Suspected => return CrashAdmission::Admitted(None),
        CrashVerdict::Blocked { left_ms } => left_ms,
        CrashVerdict::OnTrial => match try_trial(state, now, fingerprint) {
            Some(guard) => return CrashAdmission::Admitted(Some(guard)),
            None => TRIAL_RETRY_MS,
        },
    };
    CrashAdmission::Refused {
        retry_ms,
        targets: target_names(&state.crashes.registry.borrow(), fingerprint),
    }
}

/// Begins a trial if this router is the request's coordinator and no trial of it is in progress.
fn try_trial(
    state: &Rc<GatewayState>,
    now: ClockTime,
    fingerprint: SuspectKey,
) -> Option<TrialGuard> {
    let ring = state.lending.ring.borrow();
    let is_own = ring.coordinator_of(now, &fingerprint.to_string()).is_none();
    let is_new = is_own && state.crashes.trials.borrow_mut().insert(fingerprint);
    is_new.then(|| TrialGuard {
        state: Rc::clone(state),
        fingerprint,
    })
}

/// Records that a request completed, which clears it of crashes.
pub(in crate::gateway) fn record_completion(state: &Rc<GatewayState>, fingerprint: SuspectKey) {
    if state.crashes.registry.borrow().is_empty() {
        return;
    }
    let cleared = state.crashes.registry.borrow_mut().clear(fingerprint);
    if cleared.is_empty() {
        return;
    }
    let fields = [("fingerprint", fingerprint.to_string())];
    let report = &state.report;
    report.log(LogLevel::Info, "request_cleared", fields);
    state.update_blocked_count();
    distribute_reports(state, [fingerprint], ReportOrigin::Local);
}

/// Applies crash reports and returns the requests for which they changed anything.
pub(super) fn apply_reports(
    state: &GatewayState,
    reports: impl IntoIterator<Item = CrashReport>,
) -> BTreeSet<SuspectKey> {
    let now = state.now();
    let mut changed = BTreeSet::new();
    for report in reports {
        let fingerprint = report.fingerprint;
        let mut registry = state.crashes.registry.borrow_mut();
        if registry.record(now, report) {
            changed.insert(fingerprint);
        }
    }
    for fingerprint in &changed {
        log_blocked(state, now, *fingerprint);
    }
    state.update_blocked_count();
    changed
}

fn log_blocked(state: &GatewayState, now: ClockTime, fingerprint: SuspectKey) {
    let registry = state.crashes.registry.borrow();
    let CrashVerdict::Blocked { left_ms } = registry.verdict(now, fingerprint) else {
        return;
    };
    let fields = [
        ("fingerprint", fingerprint.to_string()),
        ("targets", target_names(&registry, fingerprint)),
        ("span_ms", left_ms.to_string()),
    ];
    state
        .report
        .log(LogLevel::Warning, "request_blocked", fields);
}

fn target_names(registry: &CrashRegistry, fingerprint: SuspectKey) -> String {
    let targets = registry.targets(fingerprint);
    let names: Vec<_> = targets.iter().map(|target| target.name.as_str()).collect();
    names.join(",")
}
