//! The `probe_state` module provides the schedule and the results of the probes of one target.

use super::TargetOptions;
use crate::clock::ClockTime;
use crate::members::HostState;

/// This router's probes of one target.
#[derive(Debug, Default)]
pub struct ProbeState {
    /// This router's rank among the probers of the target; `None` when it is not one of them.
    pub rank: Option<usize>,
    due_at: ClockTime,
    sent_at: Option<ClockTime>,
    failures: u32,
    observed_state: Option<(HostState, ClockTime)>,
}

impl ProbeState {
    /// The state found by own probes, unless the result is too old.
    pub fn observed_state(&self, now: ClockTime, options: &TargetOptions) -> Option<HostState> {
        self.observed_state
            .filter(|(_, observed_at)| now.since(*observed_at) <= options.probe_max_age_ms)
            .map(|(state, _)| state)
    }

    /// Discards probe results because another host replaced the target.
    pub fn reset(&mut self) {
        let rank = self.rank;
        *self = ProbeState::default();
        self.rank = rank;
    }

    /// Schedules a probe soon because a call failed.
    pub fn request_probe(&mut self, now: ClockTime, options: &TargetOptions) {
        // Many failing calls must not cause as many probes: at most one is in flight, and the next
        // is not sent earlier than a retried probe would be.
        let earliest = now.plus_ms(options.probe_retry_ms);
        if self.rank.is_none() && self.due_at <= now {
            self.due_at = earliest;
        }
        self.due_at = self.due_at.min(earliest);
    }

    /// Whether a probe is due; marks it as sent.
    pub fn take_due(&mut self, now: ClockTime, options: &TargetOptions) -> bool {
        let is_requested = self.rank.is_some() || self.due_at > ClockTime::ZERO;
        if !is_requested || now < self.due_at || self.sent_at.is_some() {
            return false;
        }
        self.sent_at = Some(now);
        self.due_at = match self.rank {
            Some(_) => now.plus_ms(options.probe_period_ms),
            None => ClockTime::ZERO,
        };
        true
    }

    /// Whether the probe in flight timed out; it then counts as failed.
    pub fn take_timed_out(&mut self, now: ClockTime, options: &TargetOptions) -> bool {
        let timed_out = self
            .sent_at
            .is_some_and(|sent_at| now.since(sent_at) >= options.probe_timeout_ms);
        if timed_out {
            self.sent_at = None;
        }
        timed_out
    }

    /// Sets the time of the first probe, so that the probers of a target alternate.
    pub fn set_phase(&mut self, due_at: ClockTime) {
        self.due_at = due_at;
    }

    /// Records that a probe found the target live or leaving.
    pub fn answered(&mut self, now: ClockTime, state: HostState) {
        self.sent_at = None;
        self.failures = 0;
        self.observed_state = Some((state, now));
    }

    /// Records a failed probe. Returns whether the target now counts as down.
    pub fn failed(&mut self, now: ClockTime, options: &TargetOptions) -> bool {
        self.sent_at = None;
        self.failures = self.failures.saturating_add(1);
        if self.failures < options.down_after {
            // A single lost packet is not a failure. The retry follows at once, so that confirming
            // a failure does not take a whole period.
            self.due_at = now.plus_ms(options.probe_retry_ms);
            return false;
        }
        self.observed_state = Some((HostState::Down, now));
        true
    }
}
