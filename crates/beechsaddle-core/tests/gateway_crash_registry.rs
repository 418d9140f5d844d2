//! Tests of the verdict on requests that run on targets which crash.

use beechsaddle_core::gateway::{
    CrashFacts, CrashRegistry, CrashReport, CrashVerdict, SuspectKey, TargetIncarnation,
};
use beechsaddle_core::prelude::*;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const NOW: ClockTime = ClockTime::from_millis(1_000_000);

fn request(number: u64) -> SuspectKey {
    SuspectKey::for_request("/stream/1", "acme", &number.to_be_bytes())
}

fn target(number: u64) -> TargetIncarnation {
    TargetIncarnation {
        name: TargetName::new(format!("engine-{number}")),
        started: None,
    }
}

fn report(request_number: u64, target_number: u64, known_before: u32) -> CrashReport {
    CrashReport {
        key: request(request_number),
        target: target(target_number),
        facts: CrashFacts {
            known_before,
            run_ms: 100,
            is_cleared: false,
            seen_at: NOW,
        },
    }
}

fn running(report: CrashReport, run_ms: u32) -> CrashReport {
    let facts = CrashFacts {
        run_ms,
        ..report.facts
    };
    CrashReport { facts, ..report }
}

fn registry(reports: impl IntoIterator<Item = CrashReport>) -> CrashRegistry {
    let mut registry = CrashRegistry::default();
    for report in reports {
        registry.record(NOW, report);
    }
    registry
}

fn is_blocked(registry: &CrashRegistry, request_number: u64) -> bool {
    let verdict = registry.verdict(NOW, request(request_number));
    matches!(verdict, CrashVerdict::Blocked { .. })
}

/// The third crash blocks a request, so that it does not go on to crash targets.
#[test]
fn verdict_third_crash_blocks() {
    let mut registry = registry([report(1, 1, 0), report(1, 2, 1)]);
    assert_eq!(registry.verdict(NOW, request(1)), CrashVerdict::Suspected);
    registry.record(NOW, report(1, 3, 2));
    assert!(is_blocked(&registry, 1));
    assert_eq!(registry.verdict(NOW, request(2)), CrashVerdict::Clear);
}

/// A crash counts once, although its report arrives on several paths.
#[test]
fn verdict_duplicate_crash_reports_count_once() {
    let registry = registry([1, 1, 2, 2, 1, 2].map(|number| report(1, number, 1)));
    assert_eq!(registry.crash_count(request(1)), 2);
    assert_eq!(registry.verdict(NOW, request(1)), CrashVerdict::Suspected);
}

/// A popular request is not refused because many targets that ran it were killed at once.
#[test]
fn verdict_simultaneous_crashes_block_no_request() {
    let registry = registry((1..=6).map(|number| report(1, number, 0)));
    assert_eq!(registry.verdict(NOW, request(1)), CrashVerdict::OnTrial);
}

/// Many targets are killed at once, and a request is retried from one to the next. Such recent
/// crashes are not settled yet, so the retry does not count as a repeat.
#[test]
fn settled_count_excludes_recent_crashes() {
    let registry = registry([report(1, 1, 0), report(1, 2, 0)]);
    assert_eq!(registry.settled_count(NOW.plus_ms(20), request(1)), 0);
    assert_eq!(registry.settled_count(NOW.plus_ms(1_000), request(1)), 2);
    assert_eq!(registry.crash_count(request(1)), 2);
}

/// A request is not refused for crashes that another request beside it caused.
#[test]
fn verdict_request_beside_the_cause_is_clear() {
    let cause = (1..=4).map(|number| report(1, number, number as u32 - 1));
    let companion = (2..=4).map(|number| report(2, number, number as u32 - 1));
    let registry = registry(cause.chain(companion));
    assert!(is_blocked(&registry, 1));
    assert_eq!(registry.verdict(NOW, request(2)), CrashVerdict::Clear);
    assert_eq!(registry.crash_count(request(2)), 0);
}

/// Of two requests that crash together, only one is refused if it explains all crashes. If it was
/// the wrong one, the next crash of the other corrects the verdict.
#[test]
fn verdict_wrong_suspect_is_corrected_by_next_crash() {
    let both = (1..=3).flat_map(|number| {
        let known_before = number as u32 - 1;
        [
            running(report(1, number, known_before), 900),
            running(report(2, number, known_before), 80),
        ]
    });
    let mut registry = registry(both);
    assert!(is_blocked(&registry, 2), "the one with shorter run times");
    assert!(!is_blocked(&registry, 1));
    registry.record(NOW, report(1, 4, 3));
    assert!(is_blocked(&registry, 1));
    assert!(!is_blocked(&registry, 2));
}

/// A request that ran to completion is no longer refused, and late reports do not undo this.
#[test]
fn verdict_completed_request_stays_clear() {
    let crashes: Vec<_> = (1..=3).map(|number| report(1, number, 1)).collect();
    let mut seen = registry(crashes.clone());
    let cleared = seen.clear(request(1));
    assert_eq!(cleared.len(), 3);
    assert_eq!(seen.verdict(NOW, request(1)), CrashVerdict::Clear);
    for crash in crashes.clone() {
        assert!(!seen.record(NOW, crash));
    }
    assert_eq!(seen.verdict(NOW, request(1)), CrashVerdict::Clear);
    let mut other = registry(crashes);
    for crash in cleared {
        other.record(NOW, crash);
    }
    assert_eq!(other.verdict(NOW, request(1)), CrashVerdict::Clear);
}

/// A refusal ends, but after one more crash the request is refused again, and for longer. Otherwise
/// the request could crash three more targets after each refusal.
#[test]
fn verdict_crash_after_block_expiry_blocks_longer() {
    let mut registry = registry((1..=3).map(|number| report(1, number, 1)));
    let CrashVerdict::Blocked { left_ms } = registry.verdict(NOW, request(1)) else {
        panic!("it is not refused");
    };
    let later = NOW.plus_ms(left_ms);
    assert_eq!(registry.verdict(later, request(1)), CrashVerdict::OnTrial);
    let mut again = report(1, 4, 3);
    again.facts.seen_at = later;
    registry.record(later, again);
    let CrashVerdict::Blocked { left_ms: longer_ms } = registry.verdict(later, request(1)) else {
        panic!("it is not refused again");
    };
    assert!(longer_ms > left_ms);
    let much_later = later.plus_ms(3 * longer_ms);
    registry.expire(much_later);
    assert_eq!(
        registry.verdict(much_later, request(1)),
        CrashVerdict::Clear
    );
    assert!(registry.is_empty());
}

/// Routers reach the same verdicts from the same reports, in any order and with duplicates.
#[test]
fn record_order_does_not_change_verdicts() {
    for seed in 0..300 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut crashes = Vec::new();
        for _ in 0..random.random_range(3..40) {
            let known_before = random.random_range(0..3);
            let number = random.random_range(0..5);
            let mut crash = report(number, random.random_range(0..6), known_before);
            crash.facts.run_ms = random.random_range(1..1_000);
            crash.facts.is_cleared = random.random_bool(0.05);
            crashes.push(crash);
        }
        let first = registry(crashes.clone());
        let mut delivered = crashes.clone();
        delivered.extend(crashes.iter().take(7).cloned());
        delivered.shuffle(&mut random);
        let second = registry(delivered);
        for number in 0..5 {
            let verdicts = [&first, &second].map(|registry| registry.verdict(NOW, request(number)));
            assert_eq!(verdicts[0], verdicts[1], "seed {seed}, request {number}");
        }
    }
}

/// A flood of different requests neither evicts the refused ones nor exhausts the memory.
#[test]
fn record_flood_retains_blocked_requests() {
    let mut registry = registry((1..=3).map(|number| report(0, number, 1)));
    for number in 1..5_000 {
        registry.record(NOW, report(number, number + 10, 0));
    }
    assert!(is_blocked(&registry, 0));
    let retained = (1..5_000).filter(|number| registry.crash_count(request(*number)) > 0);
    assert!(retained.count() < 600);
}

/// Requests that differ in path, caller or body have different fingerprints.
#[test]
fn fingerprint_distinguishes_path_caller_and_body() {
    let parts = [
        ("/a", "acme", "x"),
        ("/a?b", "acme", "x"),
        ("/a", "other", "x"),
        ("/a", "acme", "y"),
        ("/aa", "cme", "x"),
        ("/a", "acmex", ""),
    ];
    let prints = parts.map(|(path, caller, body)| {
        let print = SuspectKey::for_request(path, caller, body.as_bytes());
        assert_eq!(SuspectKey::try_parse(&print.to_string()), Some(print));
        assert_eq!(SuspectKey::try_from_bytes(&print.to_bytes()), Some(print));
        print
    });
    for (number, print) in prints.iter().enumerate() {
        assert!(!prints[number + 1..].contains(print));
    }
    assert_eq!(SuspectKey::try_parse("+1"), None);
    assert_eq!(SuspectKey::try_from_bytes(&[1; 15]), None);
}
