//! The `target_gauge` module provides what this router sees of one target: work, speed, failures.

use super::{LimitGauge, OutlierScore};
use crate::clock::ClockTime;

/// How long a target gets no work after a connection to it failed, in milliseconds. A try costs
/// the caller one connect timeout at most, as nothing was sent.
const FIRST_EJECTION_MS: u64 = 700;

/// The longest ejection, in milliseconds: a target that came back is tried within this.
const LONGEST_EJECTION_MS: u64 = 6_000;

/// The weight of the newest sample of speed. Five samples make four fifths of the average.
const SAMPLE_WEIGHT: f64 = 0.25;

/// How long a sample of speed counts without newer ones, in milliseconds. A target that looked
/// slow gets no work, and without this it would never be seen to be fast again.
const SAMPLE_LIFE_MS: u64 = 6_000;

/// What one attempt puts on a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptLoad {
    /// Prompt tokens that the target probably has to read.
    pub prefill_tokens: u64,
}

/// One target as this router sees it.
#[derive(Clone, Debug)]
pub struct TargetGauge {
    /// Attempts in flight.
    pub active: u64,
    /// Attempts in flight of requests that may crash it.
    pub suspects: u64,
    /// Prompt tokens of attempts that have no first event yet.
    pub pending_tokens: u64,
    /// The limit that it names.
    pub limit: LimitGauge,
    /// When anything last came from it.
    pub progress_at: ClockTime,
    outliers: OutlierScore,
    speed_ms: f64,
    speed_at: ClockTime,
    ejected_until: ClockTime,
    ejections: u32,
}

impl TargetGauge {
    /// A target that nothing is known of.
    pub fn new(now: ClockTime) -> Self {
        TargetGauge {
            active: 0,
            suspects: 0,
            pending_tokens: 0,
            limit: LimitGauge::default(),
            progress_at: now,
            outliers: OutlierScore::new(now),
            speed_ms: 0.0,
            speed_at: now,
            ejected_until: ClockTime::ZERO,
            ejections: 0,
        }
    }

    /// An attempt is sent.
    pub fn start(&mut self, load: AttemptLoad) {
        self.active += 1;
        self.pending_tokens += load.prefill_tokens;
    }

    /// An attempt's first event or whole answer came after `waited_ms` beyond what was expected.
    pub fn note_first(&mut self, now: ClockTime, load: AttemptLoad, waited_ms: u64) {
        self.pending_tokens = self.pending_tokens.saturating_sub(load.prefill_tokens);
        let known = match now.since(self.speed_at) < SAMPLE_LIFE_MS && self.speed_ms > 0.0 {
            true => self.speed_ms,
            false => waited_ms as f64,
        };
        self.speed_ms = known + (waited_ms as f64 - known) * SAMPLE_WEIGHT;
        self.speed_at = now;
        self.progress_at = now;
    }

    /// An attempt ended before its first event.
    pub fn forget_pending(&mut self, load: AttemptLoad) {
        self.pending_tokens = self.pending_tokens.saturating_sub(load.prefill_tokens);
    }

    /// An attempt is over.
    pub fn end(&mut self) {
        self.active = self.active.saturating_sub(1);
    }

    /// Notes how an attempt went.
    pub fn note_outcome(&mut self, now: ClockTime, is_failure: bool) {
        self.outliers.note(now, is_failure);
        if !is_failure {
            self.ejections = 0;
            self.ejected_until = ClockTime::ZERO;
            self.progress_at = now;
        }
    }

    /// Takes the target out of use for a while, each time for longer.
    pub fn eject(&mut self, now: ClockTime) {
        if now < self.ejected_until {
            return;
        }
        let span = FIRST_EJECTION_MS << self.ejections.min(4);
        self.ejected_until = now.plus_ms(span.min(LONGEST_EJECTION_MS));
        self.ejections += 1;
    }

    /// Whether the target is out of use.
    pub fn is_ejected(&self, now: ClockTime) -> bool {
        now < self.ejected_until
    }

    /// For how long the target is out of use yet, in milliseconds.
    pub fn ejected_for_ms(&self, now: ClockTime) -> u64 {
        self.ejected_until.since(now)
    }

    /// The share of recent attempts that failed.
    pub fn failure_share(&self, now: ClockTime) -> f64 {
        self.outliers.failure_share(now)
    }

    /// The recent wait for an answer in milliseconds; `None` without a recent sample.
    pub fn speed_ms(&self, now: ClockTime) -> Option<f64> {
        let is_known = self.speed_ms > 0.0 && now.since(self.speed_at) < SAMPLE_LIFE_MS;
        is_known.then_some(self.speed_ms)
    }
}
