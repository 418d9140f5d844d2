//! Tests of which limits callers may go by while versions of the configuration change them.

use beechsaddle_core::gateway::{CallerLimits, ChangeBounds, IdleLimit, LimitHistory};
use beechsaddle_core::prelude::*;

const START: ClockTime = ClockTime::from_millis(1_000_000);
const BOUNDS: ChangeBounds = ChangeBounds {
    in_force_ms: 2_000,
    settle_ms: 3_000,
};
/// Number of open connections that leaves most descriptors free.
const FEW: usize = 10;
/// Number of open connections that takes most descriptors.
const MANY: usize = 3_000;

fn limits(idle_timeout_ms: u64) -> CallerLimits {
    CallerLimits {
        idle_timeout_ms,
        ..CallerLimits::default()
    }
}

/// A router that applied a version at the start, and whose store answered each second until `now`.
fn history(idle_timeout_ms: u64, now: ClockTime) -> LimitHistory {
    let mut history = LimitHistory::default();
    history.record_answer(START, BOUNDS);
    history.record_version(START, limits(idle_timeout_ms), BOUNDS);
    record_answers(&mut history, START, now);
    history
}

fn record_answers(history: &mut LimitHistory, from: ClockTime, to: ClockTime) {
    let mut at = from;
    while at < to {
        at = at.plus_ms(1_000).min(to);
        history.record_answer(at, BOUNDS);
    }
}

fn idle_ms(history: &LimitHistory, now: ClockTime) -> u64 {
    history.idle_limit(now, BOUNDS, FEW).as_millis()
}

// Callers use connections up to four fifths of the idle time of a version that the router hears of
// only at the end of its bound.
#[test]
fn idle_limit_covers_version_under_way() {
    let now = START.plus_ms(10_000);
    let history = history(1_000, now);
    let limit = history.idle_limit(now, BOUNDS, FEW);
    assert!(matches!(limit, IdleLimit::Known(_)), "{limit:?}");
    assert!(limit.as_millis() > 1_000 + BOUNDS.in_force_ms);
    assert!(limit.as_millis() < 1_000 + 2 * BOUNDS.in_force_ms);
}

// A longer time takes effect late, and connections that are idle already are closed.
#[test]
fn idle_limit_longer_applies_at_once() {
    let now = START.plus_ms(10_000);
    let mut history = history(1_000, now);
    history.record_version(now, limits(8_000), BOUNDS);
    assert!(idle_ms(&history, now) > 8_000);
}

// A shorter time cuts callers who have not heard of it, or is never enforced.
#[test]
fn idle_limit_shorter_applies_when_all_callers_know() {
    let now = START.plus_ms(10_000);
    let mut history = history(8_000, now);
    history.record_version(now, limits(1_000), BOUNDS);
    let last = now.plus_ms(BOUNDS.in_force_ms);
    record_answers(&mut history, now, last);
    assert!(idle_ms(&history, last) > 8_000);
    let after = last.plus_ms(1_000);
    record_answers(&mut history, last, after);
    assert!(idle_ms(&history, after) < 4_000);
}

// Of several versions in short sequence only the last two count, and callers by an earlier one are
// cut.
#[test]
fn idle_limit_covers_all_recent_versions() {
    let now = START.plus_ms(10_000);
    let mut history = history(8_000, now);
    for (step, idle_timeout_ms) in [1_000, 500, 100].into_iter().enumerate() {
        let at = now.plus_ms(step as u64 * 200);
        history.record_version(at, limits(idle_timeout_ms), BOUNDS);
    }
    assert!(idle_ms(&history, now.plus_ms(1_900)) > 8_000);
}

// A router that is cut off from the store closes connections by an idle time that may be
// superseded, or keeps them for ever.
#[test]
fn idle_limit_unconfirmed_keeps_longer_within_bound() {
    let now = START.plus_ms(10_000);
    let history = history(1_000, now);
    let away = now.plus_ms(BOUNDS.in_force_ms + 1);
    let limit = history.idle_limit(away, BOUNDS, FEW);
    assert_eq!(limit, IdleLimit::Unconfirmed(60_000));
}

// Idle connections use up the descriptors of a router that is cut off from the store.
#[test]
fn idle_limit_unconfirmed_frees_descriptors() {
    let now = START.plus_ms(10_000);
    let history = history(1_000, now);
    let away = now.plus_ms(60_000);
    let limit = history.idle_limit(away, BOUNDS, MANY);
    assert!(matches!(limit, IdleLimit::Known(_)), "{limit:?}");
}

// A router that reaches the store again closes connections by its old version, before it has read
// the newest one.
#[test]
fn idle_limit_unconfirmed_until_store_has_settled() {
    let now = START.plus_ms(10_000);
    let mut history = history(1_000, now);
    let back = now.plus_ms(30_000);
    history.record_answer(back, BOUNDS);
    let limit = history.idle_limit(back, BOUNDS, FEW);
    assert!(matches!(limit, IdleLimit::Unconfirmed(_)), "{limit:?}");
    let settled = back.plus_ms(BOUNDS.settle_ms + BOUNDS.in_force_ms);
    record_answers(&mut history, back, settled);
    let limit = history.idle_limit(settled, BOUNDS, FEW);
    assert!(matches!(limit, IdleLimit::Known(_)), "{limit:?}");
}

// A longer idle time of the operator's is cut to that of a router without the store.
#[test]
fn idle_limit_unconfirmed_never_shortens() {
    let now = START.plus_ms(10_000);
    let history = history(90_000, now);
    let away = now.plus_ms(10_000);
    assert!(idle_ms(&history, away) > 90_000);
}

// An answer of the store that was relayed late takes back what a newer one has shown.
#[test]
fn record_answer_late_changes_nothing() {
    let now = START.plus_ms(10_000);
    let mut history = history(1_000, now);
    history.record_answer(START.plus_ms(500), BOUNDS);
    let limit = history.idle_limit(now, BOUNDS, FEW);
    assert!(matches!(limit, IdleLimit::Known(_)), "{limit:?}");
}

// The widest limits are those of one version, and callers by another one are refused by the others
// of its limits.
#[test]
fn widest_takes_each_limit_by_itself() {
    let mut history = LimitHistory::default();
    let former = CallerLimits {
        head_bytes: 65_536,
        body_bytes: 1_000,
        head_timeout_ms: 9_000,
        idle_timeout_ms: 1_000,
    };
    let newest = CallerLimits {
        head_bytes: 16_384,
        body_bytes: 2_000,
        head_timeout_ms: 300,
        idle_timeout_ms: 8_000,
    };
    history.record_version(START, former, BOUNDS);
    history.record_version(START, newest, BOUNDS);
    let widest = history.widest(START.plus_ms(1_000));
    let expected = CallerLimits {
        head_bytes: 65_536,
        body_bytes: 2_000,
        head_timeout_ms: 9_000,
        idle_timeout_ms: 8_000,
    };
    assert_eq!(widest, expected);
    assert_eq!(history.widest(START.plus_ms(3_000)), newest);
}

// The limits from before the first version keep connections open that no caller uses.
#[test]
fn widest_of_first_version_is_its_own() {
    let mut history = LimitHistory::default();
    assert_eq!(history.widest(START), CallerLimits::default());
    history.record_version(START, limits(1_000), BOUNDS);
    assert_eq!(history.widest(START), limits(1_000));
}

// Slow heads that a version allows are cut while the router does not know it yet, or slow callers
// hold connections for ever.
#[test]
fn head_timeout_covers_version_under_way() {
    let now = START.plus_ms(10_000);
    let history = history(1_000, now);
    let head_ms = history.head_timeout_ms(now, BOUNDS);
    let known_ms = CallerLimits::default().head_timeout_ms;
    assert!(head_ms > known_ms + BOUNDS.in_force_ms);
    assert!(head_ms < known_ms + 2 * BOUNDS.in_force_ms);
}

// Limits without bound, which an operator may set, overflow with the time that a change takes.
#[test]
fn limits_of_any_size_do_not_overflow() {
    let mut history = LimitHistory::default();
    let unbounded = CallerLimits {
        head_timeout_ms: u64::MAX,
        ..limits(u64::MAX)
    };
    history.record_answer(START, BOUNDS);
    history.record_version(START, unbounded, BOUNDS);
    assert_eq!(idle_ms(&history, START), u64::MAX);
    assert_eq!(history.head_timeout_ms(START, BOUNDS), u64::MAX);
}
