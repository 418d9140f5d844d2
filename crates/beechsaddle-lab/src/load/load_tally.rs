//! The `load_tally` module provides the outcome counts and latencies of a run.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

use super::{CallOutcome, CallResult, ResponseTimes};

/// The highest latency that is recorded, in microseconds: ten minutes.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Counts and latencies of a run, as its callers see them.
#[derive(Clone, Debug)]
pub struct LoadTally {
    /// Number of calls that ended.
    pub ended: u64,
    /// Number of calls with a complete response.
    pub answered: u64,
    /// Number of final refusals, by reason.
    pub refused: BTreeMap<String, u64>,
    /// Number of calls without a definite outcome after the last try.
    pub lost: u64,
    /// Number of responses that belonged to another call.
    pub crossed: u64,
    /// Number of truncated responses that ended without a transport error.
    pub short: u64,
    /// Number of retries.
    pub retried: u64,
    /// Idempotency keys of the calls that must not be repeated.
    pub non_repeatable_keys: Vec<String>,
    /// Sum of the token usage that responses reported.
    pub tokens: u64,
    /// The router's call ids of the tries that were refused as not run.
    pub not_run: Vec<String>,
    /// Time to the first token of streamed responses, in microseconds.
    pub first: Histogram<u64>,
    /// Time to the end of all responses, in microseconds.
    pub whole: Histogram<u64>,
    /// The longest time between two tokens of streamed responses, in microseconds.
    pub gap: Histogram<u64>,
}

impl LoadTally {
    /// Creates an empty tally.
    ///
    /// # Errors
    ///
    /// Returns an error if a histogram cannot be created.
    pub fn try_new() -> eyre::Result<Self> {
        Ok(LoadTally {
            ended: 0,
            answered: 0,
            refused: BTreeMap::new(),
            lost: 0,
            crossed: 0,
            short: 0,
            retried: 0,
            non_repeatable_keys: Vec::new(),
            tokens: 0,
            not_run: Vec::new(),
            first: Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)?,
            whole: Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)?,
            gap: Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)?,
        })
    }

    /// Adds a call that ended.
    pub fn add(&mut self, result: CallResult) {
        self.ended += 1;
        self.retried += u64::from(result.tries.saturating_sub(1));
        match &result.outcome {
            CallOutcome::Answered(times) => self.add_answer(&result, times),
            CallOutcome::Refused(refusal) => {
                *self.refused.entry(refusal.reason.clone()).or_default() += 1;
            }
            CallOutcome::Crossed => self.crossed += 1,
            CallOutcome::Short => self.short += 1,
            CallOutcome::Broken => self.lost += 1,
        }
        self.not_run.extend(result.not_run);
        if !result.repeatable {
            self.non_repeatable_keys.push(result.call.key);
        }
    }

    /// Returns the number of final refusals for any reason.
    pub fn refusals(&self) -> u64 {
        self.refused.values().sum()
    }

    fn add_answer(&mut self, result: &CallResult, times: &ResponseTimes) {
        self.answered += 1;
        self.tokens += times.tokens;
        self.whole.saturating_record(micros(times.whole));
        if result.call.kind == super::CallKind::StreamedChat {
            self.first.saturating_record(micros(times.first));
            self.gap.saturating_record(micros(times.longest_gap));
        }
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(MAX_LATENCY_US)
}
