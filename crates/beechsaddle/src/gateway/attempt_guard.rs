//! The `attempt_guard` module provides the load of one attempt on its target.

use std::rc::Rc;

use beechsaddle_core::gateway::{
    AttemptEnd, AttemptLoad, RequestFingerprint, TargetRecord, TargetStats,
};
use beechsaddle_core::prelude::*;
use beechsaddle_core::report::LogLevel;

use super::crashes::{SuspectRun, look_for_crash};
use super::gateway_metrics::WordLabel;
use super::gateway_state::GatewayState;

/// Prompt tokens that an engine reads in a millisecond, to tell reading from waiting.
const READ_TOKENS_PER_MS: u64 = 50;

/// How long nothing must have come from a target for any call before a silent one takes it out of
/// use, in milliseconds. A short answer that takes long is given up early, and one in a hundred does;
/// ejecting its target for that took a third of a service of three away, several times a second.
const DEAD_MS: u64 = 400;

/// One attempt as its target's gauge counts it. Dropping it takes the attempt off the target.
pub(super) struct AttemptGuard {
    state: Rc<GatewayState>,
    target: TargetRecord,
    load: AttemptLoad,
    fingerprint: RequestFingerprint,
    /// Crashes that the request may have caused some time before.
    known_before: usize,
    /// Whether the request may have caused any.
    is_suspect: bool,
    started_at: ClockTime,
    has_first: bool,
}

impl AttemptGuard {
    /// Puts an attempt on a target.
    pub(super) fn start(
        state: &Rc<GatewayState>,
        target: TargetRecord,
        load: AttemptLoad,
        fingerprint: RequestFingerprint,
    ) -> Self {
        let guard = AttemptGuard {
            state: Rc::clone(state),
            fingerprint,
            known_before: state.crashes.settled_count(state.now(), fingerprint),
            is_suspect: state.crashes.crash_count(fingerprint) > 0,
            started_at: state.now(),
            target,
            load,
            has_first: false,
        };
        guard.change(|stats, _| {
            stats.start(load);
            stats.suspects += u64::from(guard.is_suspect);
        });
        guard
    }

    /// The target.
    pub(super) fn target(&self) -> &TargetRecord {
        &self.target
    }

    /// The first event or the whole answer has come.
    pub(super) fn record_first(&mut self) {
        if self.has_first {
            return;
        }
        self.has_first = true;
        let (load, started_at) = (self.load, self.started_at);
        let reading_ms = load.prefill_tokens / READ_TOKENS_PER_MS;
        self.change(|stats, now| {
            let waited_ms = now.since(started_at).saturating_sub(reading_ms);
            stats.record_first(now, load, waited_ms.max(1));
        });
    }

    /// Something came from the target.
    pub(super) fn note_progress(&self) {
        self.change(|stats, now| stats.progress_at = now);
    }

    /// How long nothing came from the target for any attempt, in milliseconds.
    pub(super) fn silence_ms(&self) -> u64 {
        let now = self.state.now();
        let roster = self.state.roster.borrow();
        let progress_at = roster
            .get(&self.target.name)
            .map_or(self.started_at, |entry| entry.stats.progress_at);
        now.since(progress_at.max(self.started_at))
    }

    /// The attempt brought a usable answer.
    pub(super) fn note_success(&self) {
        self.change(|stats, now| stats.record_outcome(now, false));
    }

    /// The attempt brought no usable answer.
    pub(super) fn note_end(&self, end: AttemptEnd) {
        let label = WordLabel { what: end.as_str() };
        self.state.metrics.attempt_ends.get_or_create(&label).inc();
        let is_dead = self.silence_ms() >= DEAD_MS;
        let is_link_full = self.state.is_link_full();
        let mut is_ejected = false;
        self.change(|stats, now| {
            match end {
                // A full target is no broken one.
                AttemptEnd::NotRun => {}
                AttemptEnd::Failed | AttemptEnd::Broken => stats.record_outcome(now, true),
                AttemptEnd::Silent if !is_dead => stats.record_outcome(now, true),
                // Behind a full link of its own a router reaches nobody in time; that says nothing of
                // the target, and ejecting all of them would leave only bad choices.
                AttemptEnd::Unsent if is_link_full => {}
                AttemptEnd::Unsent | AttemptEnd::Silent => {
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

    /// What may have crashed the target, where its connection breaks.
    pub(super) fn suspect_run(&self) -> SuspectRun {
        SuspectRun {
            fingerprint: self.fingerprint,
            target: self.target.clone(),
            known_before: self.known_before,
            started_at: self.started_at,
        }
    }

    /// Finds out whether the target has crashed, where its connection broke.
    pub(super) async fn look_for_crash(&self, end: AttemptEnd) {
        look_for_crash(&self.state, self.suspect_run(), end).await;
    }

    /// Takes a target out of use whose address another one has.
    pub(super) fn note_misdirected(&self) {
        self.change(|stats, now| stats.eject(now));
        self.state.pool.forget(self.target.address);
    }

    fn log_ejection(&self, end: AttemptEnd) {
        self.state.metrics.ejections.inc();
        self.state.pool.forget(self.target.address);
        let fields = [
            ("target", self.target.name.to_string()),
            ("address", self.target.address.to_string()),
            ("end", end.as_str().to_owned()),
        ];
        self.state
            .report
            .log(LogLevel::Warning, "target_ejected", fields);
    }

    fn change(&self, change: impl FnOnce(&mut TargetStats, ClockTime)) {
        let now = self.state.now();
        let mut roster = self.state.roster.borrow_mut();
        // A target that left while the attempt ran has no gauge any more, and one that started again
        // has another, which this attempt was never counted in.
        let is_same = roster
            .get(&self.target.name)
            .is_some_and(|entry| entry.record.started == self.target.started);
        if let Some(stats) = roster.stats_mut(&self.target.name).filter(|_| is_same) {
            change(stats, now);
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        let (load, has_first) = (self.load, self.has_first);
        let is_suspect = self.is_suspect;
        self.change(|stats, _| {
            stats.suspects = stats.suspects.saturating_sub(u64::from(is_suspect));
            if !has_first {
                stats.forget_pending(load);
            }
            stats.end();
        });
    }
}
