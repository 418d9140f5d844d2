//! The `retry_policy` module provides the decision whether a failed attempt is retried.

use super::{RetryBudget, RetryDecision};
use crate::call::AttemptFailure;
use crate::clock::ClockTime;
use crate::random::SeededRandom;
use crate::refusal::{CallRefusal, RanState, RefusalReason};

/// Settings of a [`RetryPolicy`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryOptions {
    /// The maximum number of attempts per call.
    pub attempts: u32,
    /// The maximum share of retries in recent requests, in thousandths.
    pub share_permille: u64,
    /// The number of retries in ten seconds that is always allowed.
    pub floor: u64,
    /// The minimum `Retry-After` for a caller whose attempts failed, in milliseconds.
    pub retry_after_ms: u64,
}

impl Default for RetryOptions {
    fn default() -> Self {
        RetryOptions {
            attempts: 3,
            share_permille: 100,
            floor: 3,
            retry_after_ms: 1_000,
        }
    }
}

/// A failed attempt and the state of its call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    pub failure: AttemptFailure,
    /// Whether the call may be executed more than once.
    pub repeatable: bool,
    /// Whether any byte of an answer was sent to the caller.
    pub first_byte_sent: bool,
    /// The number of attempts so far, including this one.
    pub attempts: u32,
    /// Whether an earlier attempt may have been executed.
    pub may_have_run: bool,
    /// The time at which the caller gives up.
    pub deadline: Option<ClockTime>,
    /// The expected time to the first byte at another target, in milliseconds; zero if unknown.
    pub first_byte_ms: u64,
}

/// Decides on the retries of one router.
#[derive(Debug)]
pub struct RetryPolicy {
    options: RetryOptions,
    budget: RetryBudget,
    random: SeededRandom,
}

impl RetryPolicy {
    /// Creates a policy; equal seeds give equal decisions.
    pub fn new(options: RetryOptions, seed: u64) -> Self {
        RetryPolicy {
            budget: RetryBudget::new(options.share_permille, options.floor),
            options,
            random: SeededRandom::new(seed),
        }
    }

    /// Records the first attempt of a call.
    pub fn requested(&mut self, now: ClockTime) {
        self.budget.requested(now);
    }

    /// Decides what follows a failed attempt. A retry goes to a target that was not tried yet.
    pub fn decide(&mut self, now: ClockTime, attempt: &FailedAttempt) -> RetryDecision {
        if attempt.first_byte_sent {
            // The answer of another target would not continue this one; the caller would get two
            // unrelated halves.
            return RetryDecision::Abort;
        }
        if !attempt.repeatable && (attempt.may_have_run || !attempt.failure.is_not_run()) {
            // The call may have been executed, and executing it again could repeat its side
            // effects, such as a payout.
            return self.refuse(RefusalReason::OutcomeUnknown, attempt, None);
        }
        if attempt
            .deadline
            .is_some_and(|deadline| now.plus_ms(attempt.first_byte_ms) >= deadline)
        {
            return self.refuse(RefusalReason::DeadlineExceeded, attempt, None);
        }
        let retry_after_ms = self.retry_after_ms();
        if attempt.attempts >= self.options.attempts {
            return self.refuse(RefusalReason::AttemptsFailed, attempt, Some(retry_after_ms));
        }
        if self.budget.try_take(now) {
            return RetryDecision::Retry;
        }
        RetryDecision::Refuse {
            refusal: refusal_of(RefusalReason::AttemptsFailed, attempt, Some(retry_after_ms)),
            budget_empty: true,
        }
    }

    fn refuse(
        &self,
        reason: RefusalReason,
        attempt: &FailedAttempt,
        retry_after_ms: Option<u64>,
    ) -> RetryDecision {
        RetryDecision::Refuse {
            refusal: refusal_of(reason, attempt, retry_after_ms),
            budget_empty: false,
        }
    }

    /// The `Retry-After` in milliseconds, with jitter so that the callers of a failed target do not
    /// retry at the same time.
    fn retry_after_ms(&mut self) -> u64 {
        let least_ms = self.options.retry_after_ms;
        least_ms + self.random.below(least_ms + 1)
    }
}

/// Creates a refusal that states "not run" only if no attempt can have been executed.
fn refusal_of(
    reason: RefusalReason,
    attempt: &FailedAttempt,
    retry_after_ms: Option<u64>,
) -> CallRefusal {
    let is_not_run = attempt.failure.is_not_run() && !attempt.may_have_run;
    CallRefusal {
        reason,
        ran: if is_not_run {
            RanState::No
        } else {
            RanState::Unknown
        },
        retry_after_ms,
    }
}
