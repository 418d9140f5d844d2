//! The `attempt_guard` module provides the accounting of one attempt in its target's statistics.

use std::cell::Cell;
use std::rc::Rc;

use beechsaddle_core::gateway::{AttemptEnd, AttemptLoad, TargetRecord, TargetStats};
use beechsaddle_core::prelude::*;
use beechsaddle_core::report::LogLevel;

use super::call_context::CallContext;
use super::crashes::{RunSuspect, SuspectRun, detect_crash, run_suspects};
use super::gateway_metrics::OutcomeLabel;
use super::gateway_state::GatewayState;
use super::open_attempts::OpenAttempts;

/// Prompt tokens that an engine processes per millisecond; separates prefill time from queueing.
const PREFILL_TOKENS_PER_MS: u64 = 50;

/// A silent attempt ejects its target only if the target sent nothing for any call for this long,
/// in milliseconds. A slow short response is abandoned early, which happens to one in a hundred;
/// ejecting the target for that removed a third of a service of three targets several times a
/// second.
const EJECT_SILENCE_MS: u64 = 400;

/// One attempt as counted in its target's statistics and among the call's open attempts. Dropping
/// it removes the attempt from both.
pub(super) struct AttemptGuard {
    state: Rc<GatewayState>,
    open: Rc<OpenAttempts>,
    target: TargetRecord,
    load: AttemptLoad,
    /// What may be suspected if the target crashes, as known when the attempt began.
    suspects: Vec<RunSuspect>,
    /// Whether the request is suspected of any crash, or the trial of a part of its prompt.
    is_suspect: bool,
    started_at: ClockTime,
    has_first_event: Cell<bool>,
    /// How the attempt ended without a usable response.
    failed_by: Cell<Option<AttemptEnd>>,
}

impl AttemptGuard {
    /// Counts a new attempt of a call on `target`.
    pub(super) fn start(call: &CallContext, target: TargetRecord, load: AttemptLoad) -> Self {
        let state = &call.state;
        let guard = AttemptGuard {
            state: Rc::clone(state),
            open: Rc::clone(&call.open),
            suspects: run_suspects(state, &call.suspects),
            is_suspect: call.isolation_key().is_some(),
            started_at: state.now(),
            target,
            load,
            has_first_event: Cell::new(false),
            failed_by: Cell::new(None),
        };
        guard.open.add(&guard.target.name);
        guard.update_stats(|stats, _| {
            stats.start(load);
            stats.suspects += u64::from(guard.is_suspect);
        });
        guard
    }

    pub(super) fn target(&self) -> &TargetRecord {
        &self.target
    }

    /// Returns the current time.
    pub(super) fn now(&self) -> ClockTime {
        self.state.now()
    }

    pub(super) fn started_at(&self) -> ClockTime {
        self.started_at
    }

    /// Records that the first event or the complete response arrived.
    pub(super) fn record_first_event(&self) {
        if self.has_first_event.replace(true) {
            return;
        }
        let (load, started_at) = (self.load, self.started_at);
        let prefill_ms = load.prefill_tokens / PREFILL_TOKENS_PER_MS;
        self.update_stats(|stats, now| {
            let took_ms = now.since(started_at);
            let waited_ms = took_ms.saturating_sub(prefill_ms);
            stats.record_first(now, load, waited_ms.max(1));
            stats.record_read(now, load, took_ms);
        });
    }

    /// Records that events of a stream came within a span after the one before them.
    pub(super) fn record_events(&self, span_ms: u64, events: u64) {
        self.update_stats(|stats, now| stats.record_events(now, span_ms, events));
    }

    /// Records that the target sent data.
    pub(super) fn record_progress(&self) {
        self.update_stats(|stats, now| stats.progress_at = now);
    }

    /// Returns the time since the target last sent anything for any attempt, in milliseconds.
    fn silence_ms(&self) -> u64 {
        let now = self.state.now();
        let roster = self.state.roster.borrow();
        let progress_at = roster
            .get(&self.target.name)
            .map_or(self.started_at, |entry| entry.stats.progress_at);
        now.since(progress_at.max(self.started_at))
    }

    /// Records that the attempt produced a usable response.
    pub(super) fn record_success(&self) {
        self.update_stats(|stats, now| stats.record_outcome(now, false));
    }

    /// Records that the attempt ended without a usable response, and returns its end, which is the
    /// first one that was recorded; ejects the target if it could not be reached or sends nothing at
    /// all.
    ///
    /// An attempt that has failed stays open until its response is read or a crash is looked for, and
    /// another one may answer meanwhile.
    pub(super) fn record_failure(&self, end: AttemptEnd) -> AttemptEnd {
        if let Some(end) = self.failed_by.get() {
            return end;
        }
        self.failed_by.set(Some(end));
        self.count_failure(end);
        end
    }

    fn count_failure(&self, end: AttemptEnd) {
        let label = OutcomeLabel { what: end.as_str() };
        self.state.metrics.attempt_ends.get_or_create(&label).inc();
        let is_target_silent = self.silence_ms() >= EJECT_SILENCE_MS;
        let is_link_full = self.state.is_link_full();
        let mut is_ejected = false;
        self.update_stats(|stats, now| {
            match end {
                // A target that declines work, was not tried or was not waited for is not faulty.
                AttemptEnd::Superseded
                | AttemptEnd::NotRun
                | AttemptEnd::Misdirected
                | AttemptEnd::Withdrawn
                | AttemptEnd::Resting
                | AttemptEnd::NoPath => {}
                AttemptEnd::Failed | AttemptEnd::Broken => stats.record_outcome(now, true),
                AttemptEnd::Silent if !is_target_silent => stats.record_outcome(now, true),
                // When this router's own link is saturated, connections fail everywhere. That says
                // nothing about the target, and ejecting all targets would leave only bad choices.
                AttemptEnd::Unsent if is_link_full => {}
                AttemptEnd::Unsent | AttemptEnd::Refused | AttemptEnd::Silent => {
                    stats.record_outcome(now, true);
                    stats.eject(now);
                    is_ejected = true;
                }
            }
        });
        if is_ejected {
            self.log_ejection(end);
        }
    }

    /// Returns the data needed to attribute a crash of the target to this request.
    pub(super) fn suspect_run(&self) -> SuspectRun {
        SuspectRun {
            suspects: self.suspects.clone(),
            target: self.target.clone(),
            started_at: self.started_at,
        }
    }

    /// Checks whether the target crashed after its connection broke.
    pub(super) async fn detect_crash(&self, end: AttemptEnd) {
        detect_crash(&self.state, self.suspect_run(), end).await;
    }

    /// Withdraws a target whose address now belongs to another process.
    pub(super) fn record_misdirected(&self) {
        let mut roster = self.state.roster.borrow_mut();
        let entry = roster.get_mut(&self.target.name);
        // An entry that is newer than the attempt may be of the process that answers.
        let entry = entry.filter(|entry| entry.record.revision == self.target.revision);
        let is_news = entry.is_some_and(|entry| entry.mark_replaced());
        drop(roster);
        self.state.pool.forget(self.target.address);
        if is_news {
            self.log_target(LogLevel::Info, "target_replaced", None);
        }
    }

    fn log_ejection(&self, end: AttemptEnd) {
        self.state.metrics.ejections.inc();
        self.state.pool.forget(self.target.address);
        self.log_target(LogLevel::Warning, "target_ejected", Some(end));
    }

    fn log_target(&self, level: LogLevel, event: &'static str, end: Option<AttemptEnd>) {
        let end = end.map(|end| ("end", end.as_str().to_owned()));
        let fields = [
            ("target", self.target.name.to_string()),
            ("address", self.target.address.to_string()),
        ];
        let fields = fields.into_iter().chain(end);
        self.state.report.log(level, event, fields);
    }

    fn update_stats(&self, update: impl FnOnce(&mut TargetStats, ClockTime)) {
        let now = self.state.now();
        let mut roster = self.state.roster.borrow_mut();
        // A target that was removed during the attempt has no statistics any more, and a restarted
        // one has new statistics that never counted this attempt.
        let is_same = roster
            .get(&self.target.name)
            .is_some_and(|entry| entry.record.started == self.target.started);
        if let Some(stats) = roster.stats_mut(&self.target.name).filter(|_| is_same) {
            update(stats, now);
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.open.remove(&self.target.name);
        let (load, has_first_event) = (self.load, self.has_first_event.get());
        let is_suspect = self.is_suspect;
        self.update_stats(|stats, _| {
            stats.suspects = stats.suspects.saturating_sub(u64::from(is_suspect));
            if !has_first_event {
                stats.forget_pending(load);
            }
            stats.end();
        });
    }
}
