//! The `probe_state` module provides when one target is probed and what came of it.

use super::TargetOptions;
use crate::clock::ClockTime;
use crate::members::HostState;

/// The probes of one target by this router.
#[derive(Debug, Default)]
pub struct ProbeState {
    /// This router's place among the target's probers; `None` when others probe it.
    pub rank: Option<usize>,
    due: ClockTime,
    sent: Option<ClockTime>,
    failures: u32,
    view: Option<(HostState, ClockTime)>,
}

impl ProbeState {
    /// What own probes tell of the target, unless they are too old.
    pub fn view(&self, now: ClockTime, options: &TargetOptions) -> Option<HostState> {
        self.view
            .filter(|(_, seen)| now.since(*seen) <= options.view_fresh_ms)
            .map(|(state, _)| state)
    }

    /// Forgets what probes told, because another host took the target's place.
    pub fn reset(&mut self) {
        let rank = self.rank;
        *self = ProbeState::default();
        self.rank = rank;
    }

    /// Asks for a probe soon, because a call failed there.
    pub fn hurry(&mut self, now: ClockTime, options: &TargetOptions) {
        // A storm of failing calls must not become a storm of probes: at most one is on its way,
        // and the next one is not sent sooner than a repeated probe would be.
        let soon = now.plus_ms(options.probe_retry_ms);
        if self.rank.is_none() && self.due <= now {
            self.due = soon;
        }
        self.due = self.due.min(soon);
    }

    /// Whether to send a probe now; notes that it is sent.
    pub fn take_due(&mut self, now: ClockTime, options: &TargetOptions) -> bool {
        let is_asked = self.rank.is_some() || self.due > ClockTime::ZERO;
        if !is_asked || now < self.due || self.sent.is_some() {
            return false;
        }
        self.sent = Some(now);
        self.due = match self.rank {
            Some(_) => now.plus_ms(options.probe_period_ms),
            None => ClockTime::ZERO,
        };
        true
    }

    /// Whether a probe has had no outcome for too long; it counts as failed from now on.
    pub fn take_lost(&mut self, now: ClockTime, options: &TargetOptions) -> bool {
        let lost = self
            .sent
            .is_some_and(|sent| now.since(sent) >= options.probe_timeout_ms);
        if lost {
            self.sent = None;
        }
        lost
    }

    /// Sets the time of the first probe, so that the probers of a target take turns.
    pub fn set_phase(&mut self, due: ClockTime) {
        self.due = due;
    }

    /// A probe found the target live or leaving.
    pub fn answered(&mut self, now: ClockTime, state: HostState) {
        self.sent = None;
        self.failures = 0;
        self.view = Some((state, now));
    }

    /// A probe failed. Tells whether the target counts as down now.
    pub fn failed(&mut self, now: ClockTime, options: &TargetOptions) -> bool {
        self.sent = None;
        self.failures = self.failures.saturating_add(1);
        if self.failures < options.down_after {
            // One lost packet is no failure. A second try follows at once, so that the double
            // check does not cost a whole period.
            self.due = now.plus_ms(options.probe_retry_ms);
            return false;
        }
        self.view = Some((HostState::Down, now));
        true
    }
}
