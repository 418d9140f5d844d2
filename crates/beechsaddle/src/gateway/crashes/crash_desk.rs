//! The `crash_desk` module provides what this router knows of crashes, and which requests it takes.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

use beechsaddle_core::gateway::{CrashRegistry, CrashReport, CrashVerdict, RequestFingerprint};
use beechsaddle_core::prelude::*;
use beechsaddle_core::report::LogLevel;
use tokio::sync::Notify;

use super::crash_spread::{NoteOrigin, spread_notes};
use super::crash_store::StoredCrashes;
use crate::gateway::gateway_state::GatewayState;

/// When to ask again for a request that is being tried, in milliseconds: most runs are over by then.
const TRIAL_RETRY_MS: u64 = 1_000;

/// Crashes that this router knows of, and what is under way because of them.
#[derive(Default)]
pub(in crate::gateway) struct CrashDesk {
    pub(super) book: RefCell<CrashRegistry>,
    /// Requests that are being tried here.
    trials: RefCell<BTreeSet<RequestFingerprint>>,
    /// What the store has.
    pub(super) stored: RefCell<StoredCrashes>,
    /// Wakes the writer of the store's object.
    pub(super) wake: Notify,
}

impl CrashDesk {
    /// How many crashes a request may have caused.
    pub(in crate::gateway) fn crash_count(&self, fingerprint: RequestFingerprint) -> usize {
        self.book.borrow().crash_count(fingerprint)
    }

    /// How many of these were not seen just now.
    pub(in crate::gateway) fn settled_count(
        &self,
        now: ClockTime,
        fingerprint: RequestFingerprint,
    ) -> usize {
        self.book.borrow().settled_count(now, fingerprint)
    }

    /// Whether a request is refused everywhere.
    pub(in crate::gateway) fn is_blocked(
        &self,
        now: ClockTime,
        fingerprint: RequestFingerprint,
    ) -> bool {
        let verdict = self.book.borrow().verdict(now, fingerprint);
        matches!(verdict, CrashVerdict::Blocked { .. })
    }

    /// How many requests are refused.
    pub(in crate::gateway) fn blocked_count(&self) -> usize {
        self.book.borrow().blocked_count()
    }

    /// Forgets what is too old.
    pub(in crate::gateway) fn expire(&self, now: ClockTime) {
        self.book.borrow_mut().expire(now);
    }
}

/// Whether a request is taken.
pub(in crate::gateway) enum CrashAdmission {
    /// It is; the guard is held while it is tried.
    Admitted(Option<TrialGuard>),
    /// It crashes targets.
    Refused {
        /// When to come back, in milliseconds.
        retry_ms: u64,
        /// Targets that crashed under it.
        targets: String,
    },
}

/// One try of a request that may crash targets. Dropping it lets the next try begin.
pub(in crate::gateway) struct TrialGuard {
    state: Rc<GatewayState>,
    fingerprint: RequestFingerprint,
}

impl Drop for TrialGuard {
    fn drop(&mut self) {
        let mut trials = self.state.crashes.trials.borrow_mut();
        trials.remove(&self.fingerprint);
    }
}

/// Decides whether a request is taken that has just arrived.
pub(in crate::gateway) fn admit_request(
    state: &Rc<GatewayState>,
    fingerprint: RequestFingerprint,
) -> CrashAdmission {
    let now = state.now();
    let verdict = state.crashes.book.borrow().verdict(now, fingerprint);
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
        targets: target_names(&state.crashes.book.borrow(), fingerprint),
    }
}

/// Begins a try, if it is this router's to try the request and it is not trying it.
fn try_trial(
    state: &Rc<GatewayState>,
    now: ClockTime,
    fingerprint: RequestFingerprint,
) -> Option<TrialGuard> {
    let ring = state.lending.ring.borrow();
    let is_own = ring.coordinator_of(now, &fingerprint.to_string()).is_none();
    let is_new = is_own && state.crashes.trials.borrow_mut().insert(fingerprint);
    is_new.then(|| TrialGuard {
        state: Rc::clone(state),
        fingerprint,
    })
}

/// Notes that a request ran to its end: it crashes nothing.
pub(in crate::gateway) fn note_completed(
    state: &Rc<GatewayState>,
    fingerprint: RequestFingerprint,
) {
    if state.crashes.book.borrow().is_empty() {
        return;
    }
    let cleared = state.crashes.book.borrow_mut().clear(fingerprint);
    if cleared.is_empty() {
        return;
    }
    let fields = [("fingerprint", fingerprint.to_string())];
    let report = &state.report;
    report.log(LogLevel::Info, "request_cleared", fields);
    state.note_blocked_count();
    spread_notes(state, [fingerprint], NoteOrigin::Own);
}

/// Takes over crashes; gives the requests of which something was news.
pub(super) fn take_sightings(
    state: &GatewayState,
    reports: impl IntoIterator<Item = CrashReport>,
) -> BTreeSet<RequestFingerprint> {
    let now = state.now();
    let mut news = BTreeSet::new();
    for sighting in reports {
        let fingerprint = sighting.fingerprint;
        let mut book = state.crashes.book.borrow_mut();
        if book.record(now, sighting) {
            news.insert(fingerprint);
        }
    }
    for fingerprint in &news {
        log_block(state, now, *fingerprint);
    }
    state.note_blocked_count();
    news
}

fn log_block(state: &GatewayState, now: ClockTime, fingerprint: RequestFingerprint) {
    let book = state.crashes.book.borrow();
    let CrashVerdict::Blocked { left_ms } = book.verdict(now, fingerprint) else {
        return;
    };
    let fields = [
        ("fingerprint", fingerprint.to_string()),
        ("targets", target_names(&book, fingerprint)),
        ("span_ms", left_ms.to_string()),
    ];
    state
        .report
        .log(LogLevel::Warning, "request_blocked", fields);
}

fn target_names(book: &CrashRegistry, fingerprint: RequestFingerprint) -> String {
    let targets = book.targets(fingerprint);
    let names: Vec<_> = targets.iter().map(|target| target.name.as_str()).collect();
    names.join(",")
}
