//! Tests of the verdict on requests that run on targets which crash.

use beechsaddle_core::gateway::{
    CrashBook, CrashFacts, CrashSighting, CrashVerdict, RequestFingerprint, TargetIncarnation,
};
use beechsaddle_core::prelude::*;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const NOW: ClockTime = ClockTime::from_millis(1_000_000);

fn request(number: u64) -> RequestFingerprint {
    RequestFingerprint::new("/stream/1", "acme", &number.to_be_bytes())
}

fn target(number: u64) -> TargetIncarnation {
    TargetIncarnation {
        name: TargetName::new(format!("engine-{number}")),
        started: None,
    }
}

fn sighting(request_number: u64, target_number: u64, known_before: u32) -> CrashSighting {
    CrashSighting {
        fingerprint: request(request_number),
        target: target(target_number),
        facts: CrashFacts {
            known_before,
            run_ms: 100,
            is_cleared: false,
            seen_at: NOW,
        },
    }
}

fn running(sighting: CrashSighting, run_ms: u32) -> CrashSighting {
    let facts = CrashFacts {
        run_ms,
        ..sighting.facts
    };
    CrashSighting { facts, ..sighting }
}

fn book(sightings: impl IntoIterator<Item = CrashSighting>) -> CrashBook {
    let mut book = CrashBook::default();
    for sighting in sightings {
        book.note(NOW, sighting);
    }
    book
}

fn is_blocked(book: &CrashBook, request_number: u64) -> bool {
    let verdict = book.verdict(NOW, request(request_number));
    matches!(verdict, CrashVerdict::Blocked { .. })
}

/// Guards against a request that goes on crashing targets after the third.
#[test]
fn verdict_third_crash_blocks() {
    let mut book = book([sighting(1, 1, 0), sighting(1, 2, 1)]);
    assert_eq!(book.verdict(NOW, request(1)), CrashVerdict::Suspected);
    book.note(NOW, sighting(1, 3, 2));
    assert!(is_blocked(&book, 1));
    assert_eq!(book.verdict(NOW, request(2)), CrashVerdict::Clear);
}

/// Guards against one crash that counts several times, as it is told by several ways.
#[test]
fn verdict_repeated_news_of_a_crash_count_once() {
    let book = book([1, 1, 2, 2, 1, 2].map(|number| sighting(1, number, 1)));
    assert_eq!(book.crash_count(request(1)), 2);
    assert_eq!(book.verdict(NOW, request(1)), CrashVerdict::Suspected);
}

/// Guards against a popular request that is refused since many targets were killed at once.
#[test]
fn verdict_targets_lost_at_once_block_nobody() {
    let book = book((1..=6).map(|number| sighting(1, number, 0)));
    assert_eq!(book.verdict(NOW, request(1)), CrashVerdict::OnTrial);
}

/// Guards against a request that was sent on from one of many killed targets to the next, and counts as a repeat.
#[test]
fn settled_count_leaves_out_what_was_just_seen() {
    let book = book([sighting(1, 1, 0), sighting(1, 2, 0)]);
    assert_eq!(book.settled_count(NOW.plus_ms(20), request(1)), 0);
    assert_eq!(book.settled_count(NOW.plus_ms(1_000), request(1)), 2);
    assert_eq!(book.crash_count(request(1)), 2);
}

/// Guards against a request that is refused for crashes which another one beside it caused.
#[test]
fn verdict_companion_of_the_cause_is_clear() {
    let cause = (1..=4).map(|number| sighting(1, number, number as u32 - 1));
    let companion = (2..=4).map(|number| sighting(2, number, number as u32 - 1));
    let book = book(cause.chain(companion));
    assert!(is_blocked(&book, 1));
    assert_eq!(book.verdict(NOW, request(2)), CrashVerdict::Clear);
    assert_eq!(book.crash_count(request(2)), 0);
}

/// Guards against two refused requests where one of them suffices, and against a verdict that stays wrong.
#[test]
fn verdict_between_two_rights_itself_with_the_next_crash() {
    let both = (1..=3).flat_map(|number| {
        let known_before = number as u32 - 1;
        [
            running(sighting(1, number, known_before), 900),
            running(sighting(2, number, known_before), 80),
        ]
    });
    let mut book = book(both);
    assert!(is_blocked(&book, 2), "it had just begun each time");
    assert!(!is_blocked(&book, 1));
    book.note(NOW, sighting(1, 4, 3));
    assert!(is_blocked(&book, 1));
    assert!(!is_blocked(&book, 2));
}

/// Guards against a request that stays refused though it has run to its end, and late news that undo this.
#[test]
fn verdict_completed_request_is_clear_for_good() {
    let crashes: Vec<_> = (1..=3).map(|number| sighting(1, number, 1)).collect();
    let mut seen = book(crashes.clone());
    let cleared = seen.clear(request(1));
    assert_eq!(cleared.len(), 3);
    assert_eq!(seen.verdict(NOW, request(1)), CrashVerdict::Clear);
    for crash in crashes.clone() {
        assert!(!seen.note(NOW, crash));
    }
    assert_eq!(seen.verdict(NOW, request(1)), CrashVerdict::Clear);
    let mut other = book(crashes);
    for crash in cleared {
        other.note(NOW, crash);
    }
    assert_eq!(other.verdict(NOW, request(1)), CrashVerdict::Clear);
}

/// Guards against a request that stays refused for ever, and one that gets three more targets each time it is not.
#[test]
fn verdict_after_its_span_one_more_crash_blocks_for_longer() {
    let mut book = book((1..=3).map(|number| sighting(1, number, 1)));
    let CrashVerdict::Blocked { left_ms } = book.verdict(NOW, request(1)) else {
        panic!("it is not refused");
    };
    let later = NOW.plus_ms(left_ms);
    assert_eq!(book.verdict(later, request(1)), CrashVerdict::OnTrial);
    let mut again = sighting(1, 4, 3);
    again.facts.seen_at = later;
    book.note(later, again);
    let CrashVerdict::Blocked { left_ms: longer_ms } = book.verdict(later, request(1)) else {
        panic!("it is not refused again");
    };
    assert!(longer_ms > left_ms);
    let much_later = later.plus_ms(3 * longer_ms);
    book.expire(much_later);
    assert_eq!(book.verdict(much_later, request(1)), CrashVerdict::Clear);
    assert!(book.is_empty());
}

/// Guards against routers that heard the same in another order and come to other verdicts.
#[test]
fn note_any_order_gives_one_verdict() {
    for seed in 0..300 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut news = Vec::new();
        for _ in 0..random.random_range(3..40) {
            let known_before = random.random_range(0..3);
            let number = random.random_range(0..5);
            let mut crash = sighting(number, random.random_range(0..6), known_before);
            crash.facts.run_ms = random.random_range(1..1_000);
            crash.facts.is_cleared = random.random_bool(0.05);
            news.push(crash);
        }
        let first = book(news.clone());
        let mut told = news.clone();
        told.extend(news.iter().take(7).cloned());
        told.shuffle(&mut random);
        let second = book(told);
        for number in 0..5 {
            let verdicts = [&first, &second].map(|book| book.verdict(NOW, request(number)));
            assert_eq!(verdicts[0], verdicts[1], "seed {seed}, request {number}");
        }
    }
}

/// Guards against a flood of different requests that has a router forget those it refuses, or run out of memory.
#[test]
fn note_flood_keeps_those_that_are_refused() {
    let mut book = book((1..=3).map(|number| sighting(0, number, 1)));
    for number in 1..5_000 {
        book.note(NOW, sighting(number, number + 10, 0));
    }
    assert!(is_blocked(&book, 0));
    let kept = (1..5_000).filter(|number| book.crash_count(request(*number)) > 0);
    assert!(kept.count() < 600);
}

/// Guards against requests that are taken for each other.
#[test]
fn fingerprint_tells_path_caller_and_body_apart() {
    let parts = [
        ("/a", "acme", "x"),
        ("/a?b", "acme", "x"),
        ("/a", "other", "x"),
        ("/a", "acme", "y"),
        ("/aa", "cme", "x"),
        ("/a", "acmex", ""),
    ];
    let prints = parts.map(|(path, caller, body)| {
        let print = RequestFingerprint::new(path, caller, body.as_bytes());
        assert_eq!(
            RequestFingerprint::try_parse(&print.to_string()),
            Some(print)
        );
        assert_eq!(
            RequestFingerprint::try_from_bytes(&print.to_bytes()),
            Some(print)
        );
        print
    });
    for (number, print) in prints.iter().enumerate() {
        assert!(!prints[number + 1..].contains(print));
    }
    assert_eq!(RequestFingerprint::try_parse("+1"), None);
    assert_eq!(RequestFingerprint::try_from_bytes(&[1; 15]), None);
}
