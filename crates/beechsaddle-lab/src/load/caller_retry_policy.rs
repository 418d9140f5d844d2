//! The `caller_retry_policy` module provides the retries and timeouts of callers.

use std::time::Duration;

use super::{CallOutcome, ParsedRefusal};

/// The shortest wait before a retry.
const MIN_WAIT: Duration = Duration::from_millis(100);

/// The longest wait before a retry, also where a refusal requests more.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// Additional tries of a caller with an idempotency key whose last try had no response.
const EXTRA_TRIES: u32 = 8;

/// The policy by which callers retry calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerRetryPolicy {
    /// Maximum number of retries, all with the same idempotency key.
    pub retries: u32,
    /// Timeout of one try.
    pub try_timeout: Duration,
}

impl CallerRetryPolicy {
    /// Returns the number of retries after which the caller gives up. A refusal is a definite
    /// outcome. After a lost connection the outcome is unknown, so the caller retries longer, which
    /// the same idempotency key makes safe.
    fn max_tries(&self, outcome: &CallOutcome) -> u32 {
        match (outcome, self.retries) {
            (CallOutcome::Broken, retries @ 1..) => retries + EXTRA_TRIES,
            (_, retries) => retries,
        }
    }

    /// Returns the wait before the next try, or `None` if the outcome is final.
    pub fn wait_after(&self, outcome: &CallOutcome, tries: u32) -> Option<Duration> {
        if tries > self.max_tries(outcome) {
            return None;
        }
        match outcome {
            CallOutcome::Answered(_) | CallOutcome::Crossed | CallOutcome::Short => None,
            CallOutcome::Broken => Some(MIN_WAIT * tries),
            CallOutcome::Refused(refusal) => requested_wait(refusal),
        }
    }
}

fn requested_wait(refusal: &ParsedRefusal) -> Option<Duration> {
    let wait = Duration::from_millis(refusal.retry_after_ms?);
    Some(wait.clamp(MIN_WAIT, MAX_WAIT))
}
