//! Decisions after a failed attempt.

mod routing_support;

use beechsaddle_core::admission::{
    FailedAttempt, RetryBudget, RetryDecision, RetryOptions, RetryPolicy,
};
use beechsaddle_core::call::AttemptFailure;
use beechsaddle_core::prelude::*;
use quickcheck::{QuickCheck, TestResult};
use routing_support::*;

const FAILED_ATTEMPT: FailedAttempt = FailedAttempt {
    failure: AttemptFailure::ServerError,
    repeatable: true,
    first_byte_sent: false,
    attempts: 1,
    may_have_run: false,
    deadline: None,
    first_byte_ms: 0,
};

fn policy() -> RetryPolicy {
    RetryPolicy::new(RetryOptions::default(), 1)
}

fn refusal(decision: RetryDecision) -> CallRefusal {
    match decision {
        RetryDecision::Refuse { refusal, .. } => refusal,
        other => panic!("not refused: {other:?}"),
    }
}

#[test]
fn decide_repeatable_failure() {
    let mut policy = policy();
    assert_eq!(policy.decide(at(0), &FAILED_ATTEMPT), RetryDecision::Retry);
}

#[test]
fn decide_not_repeatable() {
    // A payout confirmation whose connection broke may have been executed, and a second attempt
    // could pay twice. Only a connection that was never established rules this out.
    let mut policy = policy();
    for failure in AttemptFailure::ALL {
        let attempt = FailedAttempt {
            failure,
            repeatable: false,
            ..FAILED_ATTEMPT
        };
        let decision = policy.decide(at(0), &attempt);
        if failure == AttemptFailure::ConnectFailed {
            assert_eq!(decision, RetryDecision::Retry);
            continue;
        }
        let refusal = refusal(decision);
        assert_eq!(refusal.reason, RefusalReason::OutcomeUnknown, "{failure:?}");
        assert_eq!(refusal.ran, RanState::Unknown, "{failure:?}");
    }
}

#[test]
fn decide_after_first_byte() {
    // The caller has received part of an answer, which another target's answer would not continue.
    let attempt = FailedAttempt {
        first_byte_sent: true,
        ..FAILED_ATTEMPT
    };
    assert_eq!(policy().decide(at(0), &attempt), RetryDecision::Abort);
}

#[test]
fn decide_not_run_only_if_never_sent() {
    // The last attempt could not connect, but an earlier one failed after bytes were sent. "Not
    // run" would be wrong, and the caller would safely assume that it may repeat the call.
    let attempt = FailedAttempt {
        failure: AttemptFailure::ConnectFailed,
        attempts: 3,
        may_have_run: true,
        ..FAILED_ATTEMPT
    };
    assert_eq!(
        refusal(policy().decide(at(0), &attempt)).ran,
        RanState::Unknown
    );
    let attempt = FailedAttempt {
        may_have_run: false,
        ..attempt
    };
    assert_eq!(refusal(policy().decide(at(0), &attempt)).ran, RanState::No);
}

#[test]
fn decide_deadline_too_near() {
    // Another attempt would answer after the deadline of the caller.
    let attempt = FailedAttempt {
        deadline: Some(at(100)),
        first_byte_ms: 200,
        ..FAILED_ATTEMPT
    };
    let refusal = refusal(policy().decide(at(0), &attempt));
    assert_eq!(refusal.reason, RefusalReason::DeadlineExceeded);
}

/// Attempts per call when the given share of attempts fails, over ten seconds with 100 calls each.
fn amplification(failing_percent: u64) -> f64 {
    let mut policy = policy();
    let mut random = beechsaddle_core::random::SeededRandom::new(5);
    let mut attempts = 0_u32;
    for call in 0..1_000 {
        let now = at(call * 10);
        policy.requested(now);
        let mut attempt = FAILED_ATTEMPT;
        attempts += 1;
        while random.below(100) < failing_percent {
            if policy.decide(now, &attempt) != RetryDecision::Retry {
                break;
            }
            attempt.attempts += 1;
            attempts += 1;
        }
    }
    f64::from(attempts) / 1_000.0
}

#[test]
fn decide_bounds_retry_amplification() {
    // All targets fail. Three attempts per call would triple the load on overloaded targets and
    // prevent their recovery; the retry budget limits retries to a tenth of the calls.
    for percent in [10, 50, 100] {
        let factor = amplification(percent);
        assert!(
            factor <= 1.11,
            "{factor} attempts per call at {percent} % failures"
        );
    }
}

#[test]
fn try_take_bounded_in_random_histories() {
    // In any order, retries stay within their share of the requests in the window, or the floor.
    fn holds(steps: Vec<(bool, u8)>) -> TestResult {
        let mut budget = RetryBudget::new(100, 3);
        let (mut requests, mut retries) = (0_u64, 0_u64);
        let mut now = at(0);
        for (is_request, span) in steps {
            now = now.plus_ms(u64::from(span) / 16);
            if is_request {
                budget.requested(now);
                requests += 1;
            } else if budget.try_take(now) {
                retries += 1;
            }
        }
        // Histories are shorter than the ten-second window, so totals equal the sums of the window.
        TestResult::from_bool(retries <= (requests / 10).max(3))
    }
    QuickCheck::new()
        .tests(300)
        .quickcheck(holds as fn(Vec<(bool, u8)>) -> TestResult);
}
