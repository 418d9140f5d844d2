//! The `caller_patience` module provides how long and how often callers try.

use std::time::Duration;

use super::{CallOutcome, ReadRefusal};

/// The shortest wait before a further try.
const SHORTEST_WAIT: Duration = Duration::from_millis(100);

/// The longest wait before a further try, whatever a refusal asks for.
const LONGEST_WAIT: Duration = Duration::from_secs(2);

/// How many more tries a caller with a key makes while it has no word at all.
const TRIES_WITHOUT_WORD: u32 = 8;

/// How callers go on after a try without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerPatience {
    /// How many further tries there are, each with the same idempotency key.
    pub retries: u32,
    /// How long one try may take.
    pub try_timeout: Duration,
}

impl CallerPatience {
    /// After how many tries the caller gives up. One that was refused has its answer; one whose
    /// connection broke knows nothing, and asks on with the same key, which makes asking safe.
    fn limit(&self, outcome: &CallOutcome) -> u32 {
        match (outcome, self.retries) {
            (CallOutcome::Broken, retries @ 1..) => retries + TRIES_WITHOUT_WORD,
            (_, retries) => retries,
        }
    }

    /// How long to wait before the next try; `None` when the outcome is final.
    pub fn wait_after(&self, outcome: &CallOutcome, tries: u32) -> Option<Duration> {
        if tries > self.limit(outcome) {
            return None;
        }
        match outcome {
            CallOutcome::Answered(_) | CallOutcome::Crossed | CallOutcome::Short => None,
            CallOutcome::Broken => Some(SHORTEST_WAIT * tries),
            CallOutcome::Refused(refusal) => wait_asked_for(refusal),
        }
    }
}

fn wait_asked_for(refusal: &ReadRefusal) -> Option<Duration> {
    let wait = Duration::from_millis(refusal.retry_after_ms?);
    Some(wait.clamp(SHORTEST_WAIT, LONGEST_WAIT))
}
