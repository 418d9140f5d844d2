//! Tests of targets that have asked for rest.

mod choice_support;

use beechsaddle_core::gateway::{AttemptLoad, RestRegistry, TargetRecord, TargetRoster};
use beechsaddle_core::prelude::*;
use choice_support::{NAMES, START, choose, chosen, roster, stats};

fn record(roster: &TargetRoster, name: &str) -> TargetRecord {
    let entry = roster.get(&TargetName::new(name));
    entry.expect("a target").record.clone()
}

fn rest(roster: &mut TargetRoster, name: &str, at: ClockTime, rest_ms: u64) -> bool {
    let target = record(roster, name).incarnation();
    roster.rests.record(at, target, rest_ms)
}

/// A later, shorter rest must not end an earlier one, and a rest of any length must not wrap.
#[test]
fn record_latest_end_counts() {
    let target = record(&roster(), "e1");
    let mut rests = RestRegistry::default();
    let at = |ms| START.plus_ms(ms);
    assert!(rests.record(at(0), target.incarnation(), 3_000));
    assert!(!rests.record(at(100), target.incarnation(), 500));
    assert_eq!(rests.left_ms(at(700), &target), 2_300);
    assert!(rests.record(at(2_000), target.incarnation(), 2_000));
    assert_eq!(rests.left_ms(at(3_500), &target), 500);
    assert_eq!(rests.left_ms(at(4_000), &target), 0);
    assert!(rests.record(at(9_000), target.incarnation(), u64::MAX));
    assert!(rests.left_ms(at(1_000_000_000_000), &target) > 0);
}

/// A rest of no time must neither be one nor begin the time after one.
#[test]
fn record_zero_is_no_rest() {
    let target = record(&roster(), "e1");
    let mut rests = RestRegistry::default();
    assert!(!rests.record(START, target.incarnation(), 0));
    assert_eq!(rests.wait_ms(START, &target, 100, 1), 0);
}

/// A restart under the same name must not rest for the incarnation before, and an entry that comes
/// back must not end the rest of its incarnation.
#[test]
fn rest_follows_the_incarnation() {
    let mut roster = roster();
    assert!(rest(&mut roster, "e1", START, 60_000));
    let entry = record(&roster, "e1");
    roster.withdraw(START, &entry.name);
    roster.put(START, entry.clone());
    assert!(roster.rests.left_ms(START, &record(&roster, "e1")) > 0);
    let restarted = TargetRecord {
        started: Some(2),
        revision: 2,
        ..entry
    };
    roster.put(START, restarted);
    assert_eq!(roster.rests.left_ms(START, &record(&roster, "e1")), 0);
}

/// A resting target is not chosen, even if all others are ejected or none is left, and neither for a
/// request that may crash its target.
#[test]
fn resting_target_is_never_chosen() {
    for shared in [None, Some("a"), Some("b"), Some("c")] {
        let mut roster = roster();
        let affinity = chosen(&roster, shared, None);
        rest(&mut roster, &affinity, START, 500);
        for name in NAMES.iter().filter(|name| **name != affinity) {
            stats(&mut roster, name).eject(START);
        }
        assert_ne!(chosen(&roster, shared, None), affinity);
        assert_ne!(chosen(&roster, shared, Some("print")), affinity);
    }
    let mut roster = roster();
    for name in NAMES {
        rest(&mut roster, name, START, 500);
    }
    assert_eq!(choose(&roster, Some("a"), None), None);
    assert_eq!(choose(&roster, None, Some("print")), None);
}

/// All that waited for the end of a rest must not meet the first target that takes requests again.
#[test]
fn rested_target_gets_what_its_slots_take() {
    let mut roster = roster();
    let rested_at = ClockTime::from_millis(START.as_millis() - 500);
    for name in NAMES {
        rest(&mut roster, name, rested_at, 1_000);
    }
    let first = record(&roster, "e1");
    let mut rests = RestRegistry::default();
    rests.record(rested_at, first.incarnation(), 500);
    roster.rests = rests;
    for name in ["e2", "e3", "e4"] {
        rest(&mut roster, name, rested_at, 1_000);
    }
    let slots = first.slots as usize;
    for _ in 0..slots {
        assert_eq!(chosen(&roster, None, None), "e1");
        stats(&mut roster, "e1").start(AttemptLoad::default());
    }
    assert_eq!(choose(&roster, None, None), None);
    let wait_ms = |at: ClockTime, routers| roster.rests.wait_ms(at, &first, 1, routers);
    assert_eq!(wait_ms(START, 1), 0);
    assert!(wait_ms(START, 6) > 0, "six routers share six slots");
    assert!(wait_ms(START, 0) == 0, "the routers are not known");
    assert_eq!(wait_ms(START.plus_ms(1_000), 6), 0);
}
