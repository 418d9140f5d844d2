//! The `retry_policy` module provides whether a failed attempt is followed by another one.

use super::{RetryBudget, RetryDecision};
use crate::call::AttemptFailure;
use crate::clock::ClockTime;
use crate::random::SeededRandom;
use crate::refusal::{CallRefusal, RanState, RefusalReason};

/// Settings of a [`RetryPolicy`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryOptions {
    /// How many attempts a call may have in all.
    pub attempts: u32,
    /// Retries as a share of recent requests, in thousandths.
    pub share_permille: u64,
    /// Retries in ten seconds that are allowed however few requests there are.
    pub floor: u64,
    /// The least time before a caller whose attempts failed should come back, in milliseconds.
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

/// A failed attempt and its call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptFacts {
    /// Why the attempt failed.
    pub failure: AttemptFailure,
    /// Whether the call may be repeated.
    pub repeatable: bool,
    /// Whether a byte of an answer went to the caller.
    pub first_byte_sent: bool,
    /// How many attempts were made, this one included.
    pub attempts: u32,
    /// Whether an earlier attempt may have run.
    pub may_have_run: bool,
    /// When the caller gives up.
    pub deadline: Option<ClockTime>,
    /// How long the first byte takes at another target, in milliseconds; zero when not known.
    pub first_byte_ms: u64,
}

/// Decides on retries of one router.
#[derive(Debug)]
pub struct RetryPolicy {
    options: RetryOptions,
    budget: RetryBudget,
    random: SeededRandom,
}

impl RetryPolicy {
    /// A policy; equal seeds give equal decisions.
    pub fn new(options: RetryOptions, seed: u64) -> Self {
        RetryPolicy {
            budget: RetryBudget::new(options.share_permille, options.floor),
            options,
            random: SeededRandom::new(seed),
        }
    }

    /// Notes the first attempt of a call.
    pub fn requested(&mut self, now: ClockTime) {
        self.budget.requested(now);
    }

    /// What follows a failed attempt. The next attempt goes to a target that was not tried.
    pub fn decide(&mut self, now: ClockTime, facts: &AttemptFacts) -> RetryDecision {
        if facts.first_byte_sent {
            // Another target's answer does not continue this one: the caller would get two halves.
            return RetryDecision::Abort;
        }
        if !facts.repeatable && (facts.may_have_run || !facts.failure.is_not_run()) {
            // It may have run, and running it again could pay out twice.
            return self.refuse(RefusalReason::OutcomeUnknown, facts, None);
        }
        if facts
            .deadline
            .is_some_and(|deadline| now.plus_ms(facts.first_byte_ms) >= deadline)
        {
            return self.refuse(RefusalReason::DeadlineExceeded, facts, None);
        }
        let retry_after_ms = self.retry_after_ms();
        if facts.attempts >= self.options.attempts {
            return self.refuse(RefusalReason::AttemptsFailed, facts, Some(retry_after_ms));
        }
        if self.budget.try_take(now) {
            return RetryDecision::Retry;
        }
        RetryDecision::Refuse {
            refusal: refusal_of(RefusalReason::AttemptsFailed, facts, Some(retry_after_ms)),
            budget_empty: true,
        }
    }

    fn refuse(
        &self,
        reason: RefusalReason,
        facts: &AttemptFacts,
        retry_after_ms: Option<u64>,
    ) -> RetryDecision {
        RetryDecision::Refuse {
            refusal: refusal_of(reason, facts, retry_after_ms),
            budget_empty: false,
        }
    }

    /// When to come back, spread so that the callers of a failed target do not return together.
    fn retry_after_ms(&mut self) -> u64 {
        let least_ms = self.options.retry_after_ms;
        least_ms + self.random.below(least_ms + 1)
    }
}

/// A refusal that says "not run" only if no attempt can have run.
fn refusal_of(
    reason: RefusalReason,
    facts: &AttemptFacts,
    retry_after_ms: Option<u64>,
) -> CallRefusal {
    let is_not_run = facts.failure.is_not_run() && !facts.may_have_run;
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
