//! The `load_estimate` module provides how busy a target is now, from late reports and own calls.

use std::collections::VecDeque;

use crate::clock::ClockTime;
use crate::target::LoadReport;

/// The time constant over which reports and own calls are averaged, in milliseconds. It is of the
/// order of the largest report lag, so that the lag cancels out of their difference.
const AVERAGE_MS: f64 = 2_000.0;

/// The weight of the newest call in averages over calls.
const CALL_WEIGHT: f64 = 0.1;

/// The prompt tokens that a waiting call of another router is taken for until own calls were sent.
const USUAL_UNCACHED_TOKENS: f64 = 500.0;

/// The time to a first token that means start from, in milliseconds.
const USUAL_FIRST_MS: f64 = 100.0;

/// The bounds of a single measured slowness, so that one stalled call does not decide alone.
const SLOWNESS_MIN: f64 = 0.05;
const SLOWNESS_MAX: f64 = 20.0;

/// A call that was sent and has not given its first byte.
#[derive(Clone, Copy, Debug)]
struct WaitingCall {
    uncached_tokens: u64,
    expected_ms: f64,
}

/// How busy one target is.
///
/// A report tells all calls of all routers, but as they were up to seconds ago. Own calls are known
/// exactly. The calls of others are taken as the averaged report less the averaged own calls: in the
/// difference the lag cancels out as long as load changes slowly. The estimate is that plus the own
/// calls of this moment, so that a router never piles calls onto a target which it has just filled
/// and whose report still says idle.
#[derive(Debug, Default)]
pub struct LoadEstimate {
    in_flight: u32,
    waiting: VecDeque<WaitingCall>,
    report: LoadReport,
    average_own: f64,
    average_running: f64,
    average_waiting: f64,
    average_own_waiting: f64,
    reported: bool,
    updated: ClockTime,
    mean_uncached: f64,
    mean_seen_ms: f64,
    mean_expected_ms: f64,
    slowness: f64,
    samples: u32,
}

impl LoadEstimate {
    /// The estimate for a target that nothing is known of.
    pub fn new() -> Self {
        LoadEstimate {
            slowness: 1.0,
            mean_seen_ms: USUAL_FIRST_MS,
            mean_expected_ms: USUAL_FIRST_MS,
            mean_uncached: USUAL_UNCACHED_TOKENS,
            ..LoadEstimate::default()
        }
    }

    /// Own calls that run there.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// The last report.
    pub fn report(&self) -> LoadReport {
        self.report
    }

    /// How many times longer first tokens take than expected; one until measured.
    pub fn slowness(&self) -> f64 {
        self.slowness
    }

    /// How many first tokens were measured.
    pub fn samples(&self) -> u32 {
        self.samples
    }

    /// Calls of all routers that are believed to run there.
    pub fn calls(&self) -> f64 {
        let others = self.average_running + self.average_waiting - self.average_own;
        f64::from(self.in_flight) + others.max(0.0)
    }

    /// Prompt tokens that are believed to wait there for being read.
    pub fn waiting_tokens(&self) -> f64 {
        let own: u64 = self.waiting.iter().map(|call| call.uncached_tokens).sum();
        let others = self.average_waiting - self.average_own_waiting;
        own as f64 + others.max(0.0) * self.mean_uncached
    }

    /// An own call was sent.
    pub fn started(&mut self, now: ClockTime, uncached_tokens: u64, expected_ms: f64) {
        self.advance(now);
        self.in_flight += 1;
        self.waiting.push_back(WaitingCall {
            uncached_tokens,
            expected_ms,
        });
        self.mean_uncached += CALL_WEIGHT * (uncached_tokens as f64 - self.mean_uncached);
    }

    /// An own call gave its first byte after `latency_ms`.
    pub fn first_byte(&mut self, now: ClockTime, latency_ms: u64) {
        self.advance(now);
        // Engines read prompts in the order of arrival, so that the oldest waiting call is the one.
        let Some(call) = self.waiting.pop_front() else {
            return;
        };
        if call.expected_ms <= 0.0 {
            return;
        }
        // The ratio of means, not the mean of ratios: a short prompt that waits a little has a large
        // ratio and says little about speed.
        let weight = CALL_WEIGHT.max(1.0 / f64::from(self.samples + 2));
        let most_ms = call.expected_ms * SLOWNESS_MAX;
        let seen_ms = (latency_ms as f64).min(most_ms);
        self.mean_seen_ms += weight * (seen_ms - self.mean_seen_ms);
        self.mean_expected_ms += weight * (call.expected_ms - self.mean_expected_ms);
        self.slowness = (self.mean_seen_ms / self.mean_expected_ms).max(SLOWNESS_MIN);
        self.samples = self.samples.saturating_add(1);
    }

    /// An own call ended or failed.
    pub fn ended(&mut self, now: ClockTime) {
        self.advance(now);
        self.in_flight = self.in_flight.saturating_sub(1);
        // A call whose caller hung up gives no first byte; what it left waiting goes with it.
        while self.waiting.len() > self.in_flight as usize {
            self.waiting.pop_front();
        }
    }

    /// The target told its load, some time after the fact.
    pub fn on_report(&mut self, now: ClockTime, report: LoadReport) {
        if !self.reported {
            self.reported = true;
            self.average_running = f64::from(report.running);
            self.average_waiting = f64::from(report.waiting);
            self.average_own = f64::from(self.in_flight);
            self.average_own_waiting = self.waiting.len() as f64;
            self.updated = now;
        }
        self.advance(now);
        self.report = report;
    }

    /// Forgets the measured speed, so that a target that comes back is measured anew.
    pub fn forget_speed(&mut self) {
        self.slowness = 1.0;
        self.mean_seen_ms = USUAL_FIRST_MS;
        self.mean_expected_ms = USUAL_FIRST_MS;
        self.samples = 0;
    }

    /// Forgets what another host told, whose place was taken. Own calls there still have to end.
    pub fn forget_host(&mut self, now: ClockTime) {
        *self = LoadEstimate {
            in_flight: self.in_flight,
            waiting: std::mem::take(&mut self.waiting),
            mean_uncached: self.mean_uncached,
            updated: now,
            ..LoadEstimate::new()
        };
    }

    fn advance(&mut self, now: ClockTime) {
        let span = now.since(self.updated) as f64;
        self.updated = now;
        if !self.reported {
            return;
        }
        let weight = 1.0 - (-span / AVERAGE_MS).exp();
        let own = f64::from(self.in_flight);
        self.average_own += weight * (own - self.average_own);
        self.average_own_waiting += weight * (self.waiting.len() as f64 - self.average_own_waiting);
        self.average_running += weight * (f64::from(self.report.running) - self.average_running);
        self.average_waiting += weight * (f64::from(self.report.waiting) - self.average_waiting);
    }
}
