//! When a failed attempt is followed by another one.

mod routing_support;

use beechsaddle_core::admission::{
    AttemptFacts, RetryBudget, RetryDecision, RetryOptions, RetryPolicy,
};
use beechsaddle_core::call::AttemptFailure;
use beechsaddle_core::prelude::*;
use quickcheck::{QuickCheck, TestResult};
use routing_support::*;

const FACTS: AttemptFacts = AttemptFacts {
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
    assert_eq!(policy.decide(at(0), &FACTS), RetryDecision::Retry);
}

#[test]
fn decide_not_repeatable() {
    // A payout confirmation whose connection broke may have run: a second attempt could pay twice.
    // Only a connection that was never made leaves it unrun for certain.
    let mut policy = policy();
    for failure in AttemptFailure::ALL {
        let facts = AttemptFacts {
            failure,
            repeatable: false,
            ..FACTS
        };
        let decision = policy.decide(at(0), &facts);
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
    // The caller has half an answer. Another target's answer would not continue it.
    let facts = AttemptFacts {
        first_byte_sent: true,
        ..FACTS
    };
    assert_eq!(policy().decide(at(0), &facts), RetryDecision::Abort);
}

#[test]
fn decide_not_run_only_if_never_sent() {
    // The last attempt could not connect, but an earlier one broke off after bytes were sent. "Not
    // run" would be a lie, and the caller would send the call again in good faith.
    let facts = AttemptFacts {
        failure: AttemptFailure::ConnectFailed,
        attempts: 3,
        may_have_run: true,
        ..FACTS
    };
    assert_eq!(
        refusal(policy().decide(at(0), &facts)).ran,
        RanState::Unknown
    );
    let facts = AttemptFacts {
        may_have_run: false,
        ..facts
    };
    assert_eq!(refusal(policy().decide(at(0), &facts)).ran, RanState::No);
}

#[test]
fn decide_deadline_too_near() {
    // Another attempt would answer after the caller has gone.
    let facts = AttemptFacts {
        deadline: Some(at(100)),
        first_byte_ms: 200,
        ..FACTS
    };
    let refusal = refusal(policy().decide(at(0), &facts));
    assert_eq!(refusal.reason, RefusalReason::DeadlineExceeded);
}

/// Attempts for each call when this share of attempts fails, over ten seconds of 100 calls each.
fn amplification(failing_percent: u64) -> f64 {
    let mut policy = policy();
    let mut random = beechsaddle_core::random::SeededRandom::new(5);
    let mut attempts = 0_u32;
    for call in 0..1_000 {
        let now = at(call * 10);
        policy.requested(now);
        let mut facts = FACTS;
        attempts += 1;
        while random.below(100) < failing_percent {
            if policy.decide(now, &facts) != RetryDecision::Retry {
                break;
            }
            facts.attempts += 1;
            attempts += 1;
        }
    }
    f64::from(attempts) / 1_000.0
}

#[test]
fn decide_storm_amplification() {
    // Every target fails. Three attempts for each call would triple the load on targets that
    // already cannot carry it, and hold them down; the budget keeps it at a tenth more.
    for percent in [10, 50, 100] {
        let factor = amplification(percent);
        assert!(
            factor <= 1.11,
            "{factor} attempts a call at {percent} % failing"
        );
    }
}

#[test]
fn try_take_bound_in_any_history() {
    // Retries never exceed their share of the requests of the span, or the floor, in any order.
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
        // Histories stay below the ten seconds of the window, so the totals are those of it.
        TestResult::from_bool(retries <= (requests / 10).max(3))
    }
    QuickCheck::new()
        .tests(300)
        .quickcheck(holds as fn(Vec<(bool, u8)>) -> TestResult);
}
