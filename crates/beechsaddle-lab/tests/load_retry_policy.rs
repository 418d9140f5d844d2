//! Tests of the retry policy of the load tool's callers.

use std::time::Duration;

use beechsaddle_lab::load::{CallOutcome, CallerRetryPolicy, ParsedRefusal};

/// Additional tries of a caller whose last try had no response.
const EXTRA_TRIES: u32 = 8;

fn policy(retries: u32) -> CallerRetryPolicy {
    CallerRetryPolicy {
        retries,
        try_timeout: Duration::from_secs(1),
    }
}

fn refused(retry_after_ms: Option<u64>) -> CallOutcome {
    CallOutcome::Refused(ParsedRefusal {
        reason: "overloaded".to_owned(),
        not_run: true,
        retry_after_ms,
        call: "a@1#1".to_owned(),
    })
}

fn tries_after(outcome: &CallOutcome, retries: u32) -> Option<u32> {
    (1..100).find(|tries| policy(retries).wait_after(outcome, *tries).is_none())
}

#[test]
fn wait_after_refusal_ends_after_retries() {
    assert_eq!(tries_after(&refused(Some(1)), 2), Some(3));
}

#[test]
fn wait_after_final_refusal_ends_at_once() {
    assert_eq!(tries_after(&refused(None), 2), Some(1));
}

// Guards against calls counted as lost without need. A caller was refused until its last retry,
// whose connection broke. The outcome is unknown, and a retry with the same key is safe.
#[test]
fn wait_after_lost_connection_keeps_retrying() {
    assert_eq!(tries_after(&CallOutcome::Broken, 2), Some(3 + EXTRA_TRIES));
}

#[test]
fn wait_after_lost_connection_without_key_ends_at_once() {
    assert_eq!(tries_after(&CallOutcome::Broken, 0), Some(1));
}

#[test]
fn wait_after_follows_retry_after_within_bounds() {
    let wait = |millis| policy(1).wait_after(&refused(Some(millis)), 1);
    assert_eq!(wait(700), Some(Duration::from_millis(700)));
    assert_eq!(wait(0), Some(Duration::from_millis(100)));
    assert_eq!(wait(60_000), Some(Duration::from_secs(2)));
}
