//! Tests of what a router measures of a target's speed.

use beechsaddle_core::gateway::{AttemptLoad, TargetStats};
use beechsaddle_core::prelude::*;

const START: ClockTime = ClockTime::from_millis(1_000_000);

fn prompt(tokens: u64) -> AttemptLoad {
    AttemptLoad {
        prefill_tokens: tokens,
    }
}

/// Guards against forgetting a target between two calls: a fleet of 68 routers sends each of 140 targets
/// a call in 17 s from one router.
#[test]
fn speeds_known_between_rare_calls() {
    let mut stats = TargetStats::new(START);
    stats.record_events(START, 720, 24);
    stats.record_read(START, prompt(3_000), 100);
    let later = START.plus_ms(17_000);
    assert_eq!(stats.event_ms(later), Some(30.0));
    let read = stats.read_per_ms(later).expect("known for a minute");
    assert!((read - 30.0).abs() < 1e-9, "{read}");
}

/// Guards against a speed that is kept for ever, or that turns into one that looks fast.
#[test]
fn speeds_unknown_a_minute_after_the_last_sample() {
    let mut stats = TargetStats::new(START);
    assert_eq!(stats.event_ms(START), None);
    stats.record_events(START, 720, 24);
    let late = START.plus_ms(60_000);
    assert_eq!(stats.event_ms(late), None);
    assert_eq!(stats.speed_samples(late), 0.0);
}

/// Guards against an average that hides a target that has turned slow within half a minute.
#[test]
fn speeds_follow_a_target_that_turns_slow() {
    let mut stats = TargetStats::new(START);
    for call in 0..8 {
        stats.record_events(START.plus_ms(call * 4_000), 2_160, 72);
    }
    for call in 8..12 {
        stats.record_events(START.plus_ms(call * 4_000), 6_480, 72);
    }
    let event_ms = stats.event_ms(START.plus_ms(44_000)).expect("sampled");
    assert!(event_ms > 60.0, "{event_ms}");
}

/// Guards against short prompts that measure the path, and against intervals of no events.
#[test]
fn speeds_ignore_short_prompts_and_empty_spans() {
    let mut stats = TargetStats::new(START);
    stats.record_read(START, prompt(600), 40);
    stats.record_events(START, 40, 0);
    stats.record_events(START, 0, 4);
    assert_eq!(stats.read_per_ms(START), None);
    assert_eq!(stats.event_ms(START), None);
}
