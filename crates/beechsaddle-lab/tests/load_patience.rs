//! Tests of how often callers of the load tool try.

use std::time::Duration;

use beechsaddle_lab::load::{CallOutcome, CallerPatience, ReadRefusal};

/// Tries beyond the retries that a caller without any word makes.
const WITHOUT_WORD: u32 = 8;

fn patience(retries: u32) -> CallerPatience {
    CallerPatience {
        retries,
        try_timeout: Duration::from_secs(1),
    }
}

fn refused(retry_after_ms: Option<u64>) -> CallOutcome {
    CallOutcome::Refused(ReadRefusal {
        reason: "overloaded".to_owned(),
        not_run: true,
        retry_after_ms,
        call: "a@1#1".to_owned(),
    })
}

fn tries_after(outcome: &CallOutcome, retries: u32) -> Option<u32> {
    (1..100).find(|tries| patience(retries).wait_after(outcome, *tries).is_none())
}

#[test]
fn patience_refused_ends_after_retries() {
    assert_eq!(tries_after(&refused(Some(1)), 2), Some(3));
}

#[test]
fn patience_refused_for_good_ends_at_once() {
    assert_eq!(tries_after(&refused(None), 2), Some(1));
}

// A caller was refused until its retries were used up, and its last try broke. It then knows
// nothing, and would be counted as lost, though asking once more under its key is safe.
#[test]
fn patience_broken_asks_on() {
    assert_eq!(tries_after(&CallOutcome::Broken, 2), Some(3 + WITHOUT_WORD));
}

#[test]
fn patience_broken_without_key_ends_at_once() {
    assert_eq!(tries_after(&CallOutcome::Broken, 0), Some(1));
}

#[test]
fn patience_waits_as_asked_within_bounds() {
    let wait = |millis| patience(1).wait_after(&refused(Some(millis)), 1);
    assert_eq!(wait(700), Some(Duration::from_millis(700)));
    assert_eq!(wait(0), Some(Duration::from_millis(100)));
    assert_eq!(wait(60_000), Some(Duration::from_secs(2)));
}
