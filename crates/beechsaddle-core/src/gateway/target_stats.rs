//! The `target_stats` module provides one router's statistics of a target: load, speed, failures.

use super::{LimitState, OutlierScore, PaceWindow, SpeedAverage, WarmUpWindow};
use crate::clock::ClockTime;

/// How long a target is ejected after a connection to it failed, in milliseconds. An attempt costs
/// the caller one connect timeout at most, as nothing was sent.
const EJECTION_INITIAL_MS: u64 = 700;

/// The longest ejection, in milliseconds: a target that has recovered is tried within this time.
const EJECTION_MAX_MS: u64 = 6_000;

/// The weight of the newest sample of speed. Five samples make up four fifths of the average.
const SAMPLE_WEIGHT: f64 = 0.25;

/// How long a sample of speed is valid without newer ones, in milliseconds. A target that appeared
/// slow receives no work, and would otherwise never be measured again.
const SAMPLE_LIFE_MS: u64 = 6_000;

/// The shortest prompt that gives a sample of how fast a target reads, in tokens: with fewer, the
/// path and the first step of the answer take most of the time.
const READ_SAMPLE_TOKENS: u64 = 1_000;

/// Number of events whose intervals weigh as much as the reading of one prompt.
const EVENTS_PER_SAMPLE: f64 = 32.0;

/// The load of one attempt on a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptLoad {
    /// Prompt tokens that the target probably has to process.
    pub prefill_tokens: u64,
}

/// Statistics of one target as seen by this router.
#[derive(Clone, Debug)]
pub struct TargetStats {
    /// Attempts in flight.
    pub active: u64,
    /// Attempts in flight of requests that may crash the target.
    pub suspects: u64,
    /// Prompt tokens of attempts without a first event.
    pub pending_tokens: u64,
    /// The limit that the target announces.
    pub limit: LimitState,
    /// Recent requests, for the slow start.
    pub warm_up: WarmUpWindow,
    /// The part of the requests that it gets after a start or a recovery.
    pub pace: PaceWindow,
    /// When the last response of the target was received.
    pub progress_at: ClockTime,
    outliers: OutlierScore,
    speed_ms: f64,
    speed_at: ClockTime,
    event_ms: SpeedAverage,
    read_ms_per_token: SpeedAverage,
    ejected_until: ClockTime,
    ejections: u32,
}

impl TargetStats {
    /// Creates the statistics of a new target.
    pub fn new(now: ClockTime) -> Self {
        TargetStats {
            active: 0,
            suspects: 0,
            pending_tokens: 0,
            limit: LimitState::default(),
            warm_up: WarmUpWindow::default(),
            pace: PaceWindow::default(),
            progress_at: now,
            outliers: OutlierScore::new(now),
            speed_ms: 0.0,
            speed_at: now,
            event_ms: SpeedAverage::default(),
            read_ms_per_token: SpeedAverage::default(),
            ejected_until: ClockTime::ZERO,
            ejections: 0,
        }
    }

    /// Records that an attempt is sent.
    pub fn start(&mut self, load: AttemptLoad) {
        self.active += 1;
        self.pending_tokens += load.prefill_tokens;
    }

    /// Records an attempt's first event or complete answer, which came `waited_ms` later than
    /// expected.
    pub fn record_first(&mut self, now: ClockTime, load: AttemptLoad, waited_ms: u64) {
        self.pending_tokens = self.pending_tokens.saturating_sub(load.prefill_tokens);
        let before_ms = (self.speed_ms > 0.0).then_some(self.speed_ms);
        self.pace.record_first(now, waited_ms, before_ms);
        let known = match now.since(self.speed_at) < SAMPLE_LIFE_MS && self.speed_ms > 0.0 {
            true => self.speed_ms,
            false => waited_ms as f64,
        };
        self.speed_ms = known + (waited_ms as f64 - known) * SAMPLE_WEIGHT;
        self.speed_at = now;
        self.progress_at = now;
    }

    /// Records that the target's first event came `took_ms` after its request, whose prompt it had
    /// to process.
    pub fn record_read(&mut self, now: ClockTime, load: AttemptLoad, took_ms: u64) {
        if load.prefill_tokens < READ_SAMPLE_TOKENS {
            return;
        }
        let ms_per_token = took_ms.max(1) as f64 / load.prefill_tokens as f64;
        self.read_ms_per_token.record(now, ms_per_token, 1.0);
    }

    /// Records that `events` events of a stream came within `span_ms` after the one before them.
    pub fn record_events(&mut self, now: ClockTime, span_ms: u64, events: u64) {
        let interval_ms = span_ms as f64 / events as f64;
        let weight = events as f64 / EVENTS_PER_SAMPLE;
        self.event_ms.record(now, interval_ms, weight);
    }

    /// Records that an attempt ended before its first event.
    pub fn forget_pending(&mut self, load: AttemptLoad) {
        self.pending_tokens = self.pending_tokens.saturating_sub(load.prefill_tokens);
    }

    /// Records that an attempt is over.
    pub fn end(&mut self) {
        self.active = self.active.saturating_sub(1);
    }

    /// Records whether an attempt failed.
    pub fn record_outcome(&mut self, now: ClockTime, is_failure: bool) {
        self.outliers.record(now, is_failure);
        if is_failure {
            self.pace.record_failure(now);
        }
        if !is_failure {
            self.clear_ejection();
            self.progress_at = now;
        }
    }

    /// Ejects the target for a time that grows with each ejection.
    pub fn eject(&mut self, now: ClockTime) {
        if now < self.ejected_until {
            return;
        }
        let span = EJECTION_INITIAL_MS << self.ejections.min(4);
        self.ejected_until = now.plus_ms(span.min(EJECTION_MAX_MS));
        self.pace.begin(self.ejected_until);
        self.ejections += 1;
    }

    /// Ends the ejection, if its reason was not the target.
    pub fn clear_ejection(&mut self) {
        self.ejections = 0;
        self.ejected_until = ClockTime::ZERO;
    }

    pub fn is_ejected(&self, now: ClockTime) -> bool {
        now < self.ejected_until
    }

    /// Returns the remaining time of the ejection, in milliseconds.
    pub fn ejected_for_ms(&self, now: ClockTime) -> u64 {
        self.ejected_until.since(now)
    }

    /// Returns the share of recent attempts that failed.
    pub fn failure_share(&self, now: ClockTime) -> f64 {
        self.outliers.failure_share(now)
    }

    /// Returns the recent wait for an answer in milliseconds; `None` without a recent sample.
    pub fn speed_ms(&self, now: ClockTime) -> Option<f64> {
        let is_known = self.speed_ms > 0.0 && now.since(self.speed_at) < SAMPLE_LIFE_MS;
        is_known.then_some(self.speed_ms)
    }

    /// Returns the mean time between two events of a stream, in milliseconds; `None` without a sample
    /// of the last minute.
    pub fn event_ms(&self, now: ClockTime) -> Option<f64> {
        self.event_ms.mean(now)
    }

    /// Returns how many prompt tokens the target processes in a millisecond, as calls wait for it;
    /// `None` without a sample of the last minute.
    pub fn read_per_ms(&self, now: ClockTime) -> Option<f64> {
        self.read_ms_per_token.mean(now).map(f64::recip)
    }

    /// Returns the weight of the samples of both speeds: that of the one with more of them.
    pub fn speed_samples(&self, now: ClockTime) -> f64 {
        let events = self.event_ms.weight(now);
        events.max(self.read_ms_per_token.weight(now))
    }

    /// Returns when the newest sample of either speed was taken.
    pub fn speed_sampled_at(&self) -> ClockTime {
        let events = self.event_ms.sampled_at();
        events.max(self.read_ms_per_token.sampled_at())
    }
}
