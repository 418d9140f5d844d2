//! The `load_tally` module provides the count of a run.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

use super::{AnswerTimes, CallOutcome, CallResult};

/// The longest latency that is told apart, in microseconds: ten minutes.
const LONGEST_US: u64 = 600_000_000;

/// Everything that the callers of a run saw.
#[derive(Clone, Debug)]
pub struct LoadTally {
    /// Calls that ended.
    pub ended: u64,
    /// Calls answered in full.
    pub answered: u64,
    /// Refusals that were final, by reason.
    pub refused: BTreeMap<String, u64>,
    /// Calls without any final word after the last try.
    pub lost: u64,
    /// Answers of other calls.
    pub crossed: u64,
    /// Answers that ended as if they were whole.
    pub short: u64,
    /// Further tries.
    pub retried: u64,
    /// Idempotency keys of calls that may not be repeated.
    pub once_keys: Vec<String>,
    /// Tokens of the answers.
    pub tokens: u64,
    /// The router's ids of tries that were told that they did not run.
    pub not_run: Vec<String>,
    /// Microseconds to the first token of a streamed answer.
    pub first: Histogram<u64>,
    /// Microseconds to the end of any answer.
    pub whole: Histogram<u64>,
    /// Microseconds of the longest wait between two tokens of a streamed answer.
    pub gap: Histogram<u64>,
}

impl LoadTally {
    /// An empty count.
    ///
    /// # Errors
    ///
    /// When a histogram cannot be made.
    pub fn try_new() -> eyre::Result<Self> {
        Ok(LoadTally {
            ended: 0,
            answered: 0,
            refused: BTreeMap::new(),
            lost: 0,
            crossed: 0,
            short: 0,
            retried: 0,
            once_keys: Vec::new(),
            tokens: 0,
            not_run: Vec::new(),
            first: Histogram::new_with_bounds(1, LONGEST_US, 3)?,
            whole: Histogram::new_with_bounds(1, LONGEST_US, 3)?,
            gap: Histogram::new_with_bounds(1, LONGEST_US, 3)?,
        })
    }

    /// Counts a call that ended.
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
            self.once_keys.push(result.call.key);
        }
    }

    /// All final refusals.
    pub fn refusals(&self) -> u64 {
        self.refused.values().sum()
    }

    fn add_answer(&mut self, result: &CallResult, times: &AnswerTimes) {
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
    u64::try_from(span.as_micros()).unwrap_or(LONGEST_US)
}
