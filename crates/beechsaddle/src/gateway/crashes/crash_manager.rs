//! The `crash_manager` module provides this router's crash reports and the admission of requests by
//! them.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

use beechsaddle_core::gateway::{
    CompletionLog, CrashDecision, CrashRegistry, CrashReport, CrashVerdict, SuspectKey,
    SuspectKind, TargetIncarnation, TrialSchedule,
};
use beechsaddle_core::prelude::*;
use beechsaddle_core::report::LogLevel;
use tokio::sync::Notify;

use super::crash_broadcast::{ReportOrigin, distribute_reports};
use super::crash_store::StoredCrashes;
use super::crash_trial::request_trials;
use super::trial_guard::{EndedTrials, TrialGuard};
use crate::gateway::gateway_state::GatewayState;

/// The crash reports of this router and the trials that it granted.
#[derive(Default)]
pub(in crate::gateway) struct CrashManager {
    pub(super) registry: RefCell<CrashRegistry>,
    /// The prompt parts that completed here lately.
    pub(super) completions: RefCell<CompletionLog>,
    pub(super) trials: RefCell<TrialSchedule>,
    /// Trials of other routers whose requests ended here.
    pub(super) ended: EndedTrials,
    /// The reports that the store has.
    pub(super) stored: RefCell<StoredCrashes>,
    /// Wakes the writer of the store's object.
    pub(super) writer_wake: Notify,
}

impl CrashManager {
    /// Returns the largest number of crashes that are attributed to one of these suspects.
    pub(in crate::gateway) fn crash_count(&self, keys: &[SuspectKey]) -> usize {
        let registry = self.registry.borrow();
        let counts = keys.iter().map(|key| registry.crash_count(*key));
        counts.max().unwrap_or(0)
    }

    /// Returns whether every router refuses a request with all of these suspects.
    pub(in crate::gateway) fn is_blocked(&self, now: ClockTime, keys: &[SuspectKey]) -> bool {
        let decision = self.registry.borrow().decide(now, keys);
        matches!(decision, CrashDecision::Refused { .. })
    }

    /// Returns the number of refused suspects of a kind.
    pub(in crate::gateway) fn blocked_count(&self, kind: SuspectKind) -> usize {
        self.registry.borrow().blocked_count(kind)
    }

    /// Returns whether a target is known to have crashed under one of these suspects.
    pub(super) fn has_crash(&self, keys: &[SuspectKey], target: &TargetIncarnation) -> bool {
        let registry = self.registry.borrow();
        keys.iter().any(|key| registry.has_crash(*key, target))
    }

    /// Removes expired reports.
    pub(in crate::gateway) fn expire(&self, now: ClockTime) {
        self.registry.borrow_mut().expire(now);
    }
}

/// Whether a request is admitted.
pub(in crate::gateway) enum CrashAdmission {
    /// The request is admitted, perhaps as the trial of suspects.
    Admitted { trials: Vec<TrialGuard> },
    /// The request may crash targets.
    Refused {
        /// What is suspected.
        key: SuspectKey,
        /// Retry delay in milliseconds.
        retry_ms: u64,
        /// Names of the targets that crashed under it.
        targets: String,
    },
}

/// Decides whether to admit a request that has just arrived and has all of these suspects.
pub(in crate::gateway) async fn admit_request(
    state: &Rc<GatewayState>,
    keys: &[SuspectKey],
) -> CrashAdmission {
    let decision = state.crashes.registry.borrow().decide(state.now(), keys);
    match decision {
        CrashDecision::Admitted => CrashAdmission::Admitted { trials: Vec::new() },
        CrashDecision::Refused { key, left_ms } => refuse(state, key, left_ms),
        CrashDecision::OnTrial(keys) => match request_trials(state, &keys).await {
            Ok(trials) => CrashAdmission::Admitted { trials },
            Err(refusal) => refuse(state, refusal.key, refusal.wait_ms),
        },
    }
}

fn refuse(state: &GatewayState, key: SuspectKey, retry_ms: u64) -> CrashAdmission {
    CrashAdmission::Refused {
        key,
        retry_ms,
        targets: target_names(&state.crashes.registry.borrow(), key),
    }
}

/// Records that a request completed, which clears it and the parts of its prompt of crashes.
pub(in crate::gateway) fn record_completion(state: &Rc<GatewayState>, keys: &[SuspectKey]) {
    let now = state.now();
    let mut completions = state.crashes.completions.borrow_mut();
    let parts = keys.iter().filter(|key| key.kind() == SuspectKind::Part);
    parts.for_each(|part| completions.record(now, *part));
    drop(completions);
    if state.crashes.registry.borrow().is_empty() {
        return;
    }
    for key in keys {
        clear_suspect(state, *key);
    }
}

fn clear_suspect(state: &Rc<GatewayState>, key: SuspectKey) {
    let cleared = state.crashes.registry.borrow_mut().clear(key);
    if cleared.is_empty() {
        return;
    }
    let event = match key.kind() {
        SuspectKind::Request => "request_cleared",
        SuspectKind::Part => "part_cleared",
    };
    let fields = [("fingerprint", key.to_string())];
    state.report.log(LogLevel::Info, event, fields);
    state.update_blocked_count();
    distribute_reports(state, [key], ReportOrigin::Local);
}

/// Applies crash reports and returns the suspects for which they changed anything.
pub(super) fn apply_reports(
    state: &GatewayState,
    reports: impl IntoIterator<Item = CrashReport>,
) -> BTreeSet<SuspectKey> {
    let now = state.now();
    let mut changed = BTreeSet::new();
    for report in reports {
        let key = report.key;
        let mut registry = state.crashes.registry.borrow_mut();
        if registry.record(now, report) {
            changed.insert(key);
        }
    }
    for key in &changed {
        log_blocked(state, now, *key);
    }
    state.update_blocked_count();
    changed
}

fn log_blocked(state: &GatewayState, now: ClockTime, key: SuspectKey) {
    let registry = state.crashes.registry.borrow();
    let CrashVerdict::Blocked { left_ms } = registry.verdict(now, key) else {
        return;
    };
    let fields = [
        ("fingerprint", key.to_string()),
        ("targets", target_names(&registry, key)),
        ("span_ms", left_ms.to_string()),
    ];
    let event = match key.kind() {
        SuspectKind::Request => "request_blocked",
        SuspectKind::Part => "part_blocked",
    };
    state.report.log(LogLevel::Warning, event, fields);
}

fn target_names(registry: &CrashRegistry, key: SuspectKey) -> String {
    let targets = registry.targets(key);
    let names: Vec<_> = targets.iter().map(|target| target.name.as_str()).collect();
    names.join(",")
}
