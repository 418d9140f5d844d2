//! The `load_estimate` module provides the current load of a target, estimated from delayed reports
//! and this router's own calls.

use std::collections::VecDeque;

use crate::clock::ClockTime;
use crate::target::LoadReport;

/// The time constant for averaging reports and own calls, in milliseconds. It is of the order of
/// the largest report delay, so that the delay cancels out in their difference.
const AVERAGING_MS: f64 = 2_000.0;

/// The weight of the newest call in exponential averages over calls.
const CALL_WEIGHT: f64 = 0.1;

/// The prompt tokens assumed for a waiting call of another router before this router has sent any.
const DEFAULT_UNCACHED_TOKENS: f64 = 500.0;

/// The initial value of the mean times to first token, in milliseconds.
const DEFAULT_FIRST_TOKEN_MS: f64 = 100.0;

/// The bounds of a measured slowdown, so that a single stalled call does not dominate the mean.
const SLOWDOWN_MIN: f64 = 0.05;
const SLOWDOWN_MAX: f64 = 20.0;

/// A call that was sent and has not returned its first byte.
#[derive(Clone, Copy, Debug)]
struct WaitingCall {
    uncached_tokens: u64,
    expected_ms: f64,
}

/// The estimated load of one target.
///
/// A report covers the calls of all routers, but is up to seconds old, while own calls are known
/// exactly. The calls of other routers are estimated as the averaged report minus the averaged own
/// calls; the delay cancels out in the difference while load changes slowly. Adding the current own
/// calls keeps a router from overloading a target that it has just filled and whose last report
/// still shows it idle.
#[derive(Debug, Default)]
pub struct LoadEstimate {
    in_flight: u32,
    waiting: VecDeque<WaitingCall>,
    report: LoadReport,
    average_own: f64,
    average_running: f64,
    average_waiting: f64,
    average_own_waiting: f64,
    has_report: bool,
    updated_at: ClockTime,
    mean_uncached: f64,
    mean_observed_ms: f64,
    mean_expected_ms: f64,
    slowdown: f64,
    samples: u32,
}

impl LoadEstimate {
    /// Creates the estimate of a target without reports or calls.
    pub fn new() -> Self {
        LoadEstimate {
            slowdown: 1.0,
            mean_observed_ms: DEFAULT_FIRST_TOKEN_MS,
            mean_expected_ms: DEFAULT_FIRST_TOKEN_MS,
            mean_uncached: DEFAULT_UNCACHED_TOKENS,
            ..LoadEstimate::default()
        }
    }

    /// Calls of this router in flight at the target.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// The last load report.
    pub fn report(&self) -> LoadReport {
        self.report
    }

    /// The measured time to first token relative to the expected one; 1.0 until measured.
    pub fn slowdown(&self) -> f64 {
        self.slowdown
    }

    /// The number of measured first tokens.
    pub fn samples(&self) -> u32 {
        self.samples
    }

    /// The estimated number of calls of all routers at the target.
    pub fn calls(&self) -> f64 {
        let others = self.average_running + self.average_waiting - self.average_own;
        f64::from(self.in_flight) + others.max(0.0)
    }

    /// The estimated number of prompt tokens waiting for prefill at the target.
    pub fn waiting_tokens(&self) -> f64 {
        let own: u64 = self.waiting.iter().map(|call| call.uncached_tokens).sum();
        let others = self.average_waiting - self.average_own_waiting;
        own as f64 + others.max(0.0) * self.mean_uncached
    }

    /// Records that this router sent a call.
    pub fn started(&mut self, now: ClockTime, uncached_tokens: u64, expected_ms: f64) {
        self.advance(now);
        self.in_flight += 1;
        self.waiting.push_back(WaitingCall {
            uncached_tokens,
            expected_ms,
        });
        self.mean_uncached += CALL_WEIGHT * (uncached_tokens as f64 - self.mean_uncached);
    }

    /// Records the first byte of an own call after `latency_ms`.
    pub fn first_byte(&mut self, now: ClockTime, latency_ms: u64) {
        self.advance(now);
        // Engines process prompts in order of arrival, so the first byte belongs to the oldest
        // waiting call.
        let Some(call) = self.waiting.pop_front() else {
            return;
        };
        if call.expected_ms <= 0.0 {
            return;
        }
        // Takes the ratio of means rather than the mean of ratios: a short prompt that waits
        // briefly has a large ratio but says little about speed.
        let weight = CALL_WEIGHT.max(1.0 / f64::from(self.samples + 2));
        let max_ms = call.expected_ms * SLOWDOWN_MAX;
        let observed_ms = (latency_ms as f64).min(max_ms);
        self.mean_observed_ms += weight * (observed_ms - self.mean_observed_ms);
        self.mean_expected_ms += weight * (call.expected_ms - self.mean_expected_ms);
        self.slowdown = (self.mean_observed_ms / self.mean_expected_ms).max(SLOWDOWN_MIN);
        self.samples = self.samples.saturating_add(1);
    }

    /// Records that an own call ended or failed.
    pub fn ended(&mut self, now: ClockTime) {
        self.advance(now);
        self.in_flight = self.in_flight.saturating_sub(1);
        // A call that its caller cancelled returns no first byte, so its waiting entry is removed
        // here.
        while self.waiting.len() > self.in_flight as usize {
            self.waiting.pop_front();
        }
    }

    /// Records a load report of the target, which is delayed.
    pub fn on_report(&mut self, now: ClockTime, report: LoadReport) {
        if !self.has_report {
            self.has_report = true;
            self.average_running = f64::from(report.running);
            self.average_waiting = f64::from(report.waiting);
            self.average_own = f64::from(self.in_flight);
            self.average_own_waiting = self.waiting.len() as f64;
            self.updated_at = now;
        }
        self.advance(now);
        self.report = report;
    }

    /// Resets the measured speed, so that a target that returns is measured anew.
    pub fn reset_speed(&mut self) {
        self.slowdown = 1.0;
        self.mean_observed_ms = DEFAULT_FIRST_TOKEN_MS;
        self.mean_expected_ms = DEFAULT_FIRST_TOKEN_MS;
        self.samples = 0;
    }

    /// Discards what is known of a host that was replaced. Own calls to it stay counted until they
    /// end.
    pub fn reset_host(&mut self, now: ClockTime) {
        *self = LoadEstimate {
            in_flight: self.in_flight,
            waiting: std::mem::take(&mut self.waiting),
            mean_uncached: self.mean_uncached,
            updated_at: now,
            ..LoadEstimate::new()
        };
    }

    fn advance(&mut self, now: ClockTime) {
        let elapsed_ms = now.since(self.updated_at) as f64;
        self.updated_at = now;
        if !self.has_report {
            return;
        }
        let weight = 1.0 - (-elapsed_ms / AVERAGING_MS).exp();
        let own = f64::from(self.in_flight);
        self.average_own += weight * (own - self.average_own);
        self.average_own_waiting += weight * (self.waiting.len() as f64 - self.average_own_waiting);
        self.average_running += weight * (f64::from(self.report.running) - self.average_running);
        self.average_waiting += weight * (f64::from(self.report.waiting) - self.average_waiting);
    }
}
