//! The `target_note` module provides what one router or domain tells others of a target.

use super::speed_average::SPEED_LIFE_MS;
use super::{TargetIncarnation, TargetReport};
use crate::clock::ClockTime;
use crate::names::TargetName;

/// The longest time between two events that is believed, in milliseconds: no caller waits longer.
const EVENT_MS_MAX: f64 = 60_000.0;

/// The most tokens that a target is believed to process in a millisecond, far above any engine.
const READ_PER_MS_MAX: f64 = 10_000.0;

/// The most attempts in flight that are believed.
const ACTIVE_MAX: u64 = 4_096;

/// The most prompt tokens in flight that are believed.
const PENDING_MAX: u64 = 1 << 28;

/// The longest name of a target that is accepted, in bytes.
const NAME_BYTES_MAX: usize = 256;

/// Who sums up a note, which limits the weight of its samples, so that one sender that is wrong does not
/// outweigh all others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoteScope {
    /// One router.
    Router,
    /// A part of a domain's routers, or all.
    Domain,
}

/// What a router or a domain has measured of one target.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetNote {
    pub target: TargetIncarnation,
    pub report: TargetReport,
}

impl NoteScope {
    /// Returns the most weight that the samples of one note may have.
    fn max_samples(self) -> f64 {
        match self {
            NoteScope::Router => 64.0,
            NoteScope::Domain => 512.0,
        }
    }
}

impl TargetNote {
    /// Returns a note that says that nothing is known of a target and nothing in flight.
    pub fn empty(now: ClockTime, target: TargetIncarnation) -> Self {
        TargetNote {
            target,
            report: TargetReport::empty(now),
        }
    }

    /// Returns a note without a name, which says that its sender may lack what it was told before.
    pub fn request_all(now: ClockTime) -> Self {
        let target = TargetIncarnation {
            name: TargetName::new(""),
            started: None,
        };
        TargetNote::empty(now, target)
    }

    /// Whether the sender asks to be told everything once more.
    pub fn requests_all(&self) -> bool {
        self.target.name.as_str().is_empty() && self.report.is_empty()
    }

    /// Returns the note with its values within their bounds, or `None` if it makes no sense.
    pub fn try_limit(mut self, now: ClockTime, scope: NoteScope) -> Option<Self> {
        let name = self.target.name.as_str();
        let is_named = !name.is_empty() && name.len() <= NAME_BYTES_MAX;
        let report = &mut self.report;
        let speeds = [report.event_ms, report.read_per_ms];
        let mut numbers = speeds.into_iter().flatten();
        let are_speeds = numbers.all(|speed| speed.is_finite() && speed > 0.0);
        let is_count = |number: f64| number.is_finite() && number >= 0.0;
        let are_counts = is_count(report.samples) && is_count(report.failure_share);
        if !is_named || !are_speeds || !are_counts {
            return None;
        }
        report.event_ms = report.event_ms.map(|speed| speed.min(EVENT_MS_MAX));
        report.read_per_ms = report.read_per_ms.map(|speed| speed.min(READ_PER_MS_MAX));
        report.samples = report.samples.min(scope.max_samples());
        report.failure_share = report.failure_share.min(1.0);
        report.active = report.active.min(ACTIVE_MAX);
        report.pending_tokens = report.pending_tokens.min(PENDING_MAX);
        report.measured_at = report.measured_at.min(now);
        if now.since(report.measured_at) >= SPEED_LIFE_MS {
            report.forget_speeds();
        }
        Some(self)
    }
}

impl TargetReport {
    /// Returns a report without samples and load.
    pub(super) fn empty(now: ClockTime) -> Self {
        TargetReport {
            event_ms: None,
            read_per_ms: None,
            failure_share: 0.0,
            samples: 0.0,
            active: 0,
            pending_tokens: 0,
            measured_at: now,
        }
    }

    /// Whether the report says nothing.
    pub fn is_empty(&self) -> bool {
        let has_speed = self.event_ms.is_some() || self.read_per_ms.is_some();
        let has_load = self.active > 0 || self.pending_tokens > 0;
        !has_speed && !has_load && self.failure_share == 0.0
    }

    /// Returns the part of their weight that the samples still have, from 0 to 1.
    pub(super) fn fade(&self, now: ClockTime) -> f64 {
        let age_ms = now.since(self.measured_at).min(SPEED_LIFE_MS);
        1.0 - age_ms as f64 / SPEED_LIFE_MS as f64
    }

    fn forget_speeds(&mut self) {
        self.event_ms = None;
        self.read_per_ms = None;
        self.samples = 0.0;
    }
}
