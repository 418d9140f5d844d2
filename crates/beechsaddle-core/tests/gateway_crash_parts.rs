//! Tests of the verdict on prompt parts with which requests crash targets.

use beechsaddle_core::gateway::{
    CompletionLog, CrashDecision, CrashFacts, CrashRegistry, CrashReport, CrashVerdict, PromptPart,
    PromptShape, SuspectKey, SuspectKind, TargetIncarnation, TrialFacts, TrialReply, TrialSchedule,
};
use beechsaddle_core::prelude::*;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const NOW: ClockTime = ClockTime::from_millis(1_000_000);

fn part(id: &str) -> SuspectKey {
    SuspectKey::for_part(id)
}

fn own(number: u64) -> SuspectKey {
    SuspectKey::for_request("/stream/1", "acme", &number.to_be_bytes())
}

fn target(number: u64) -> TargetIncarnation {
    TargetIncarnation {
        name: TargetName::new(format!("engine-{number}")),
        started: None,
    }
}

fn report(key: SuspectKey, target_number: u64, known_before: u32) -> CrashReport {
    CrashReport {
        key,
        target: target(target_number),
        facts: CrashFacts {
            known_before,
            run_ms: 100,
            is_cleared: false,
            seen_at: NOW,
        },
    }
}

/// Records crashes one after the other, each under all these parts and a request of its own.
fn crash_in_turn(registry: &mut CrashRegistry, numbers: std::ops::Range<u64>, parts: &[&str]) {
    for number in numbers {
        registry.record(NOW, report(own(number), number, 0));
        for id in parts {
            let known_before = registry.crash_count(part(id)) as u32;
            registry.record(NOW, report(part(id), number, known_before));
        }
    }
}

fn is_blocked(registry: &CrashRegistry, id: &str) -> bool {
    let verdict = registry.verdict(NOW, part(id));
    matches!(verdict, CrashVerdict::Blocked { .. })
}

fn is_refused(registry: &CrashRegistry, ids: &[&str]) -> bool {
    let keys: Vec<_> = ids.iter().map(|id| part(id)).collect();
    let decision = registry.decide(NOW, &keys);
    matches!(decision, CrashDecision::Refused { .. })
}

/// Requests of which no two are alike crash targets. Their common part is refused, and none of the
/// other parts.
#[test]
fn verdict_part_of_different_requests_is_blocked() {
    let mut registry = CrashRegistry::default();
    for number in 0..4 {
        let other = format!("other-{number}");
        assert_eq!(
            registry.verdict(NOW, part("bad")),
            [CrashVerdict::Clear, CrashVerdict::Suspected][usize::from(number > 0)]
        );
        crash_in_turn(&mut registry, number..number + 1, &[&other, "bad"]);
    }
    assert_eq!(registry.verdict(NOW, part("bad")), CrashVerdict::OnTrial);
    crash_in_turn(&mut registry, 4..5, &["other-4", "bad"]);
    assert!(is_blocked(&registry, "bad"));
    assert!(is_refused(&registry, &["new", "bad"]));
    assert_eq!(registry.verdict(NOW, part("other-4")), CrashVerdict::Clear);
    assert_eq!(registry.blocked_count(SuspectKind::Part), 1);
    assert_eq!(registry.blocked_count(SuspectKind::Request), 0);
}

/// A part that completes now and then is not refused, although most targets that crash have it.
#[test]
fn verdict_part_that_completes_stays_clear() {
    let mut registry = CrashRegistry::default();
    for number in 0..20 {
        crash_in_turn(&mut registry, number..number + 1, &["popular"]);
        if number % 3 == 2 {
            registry.clear(part("popular"));
        }
        assert!(!is_blocked(&registry, "popular"));
    }
}

/// Two parts have always crashed together. Requests with both are refused; one with either of them
/// is tried, and shows which part it was.
#[test]
fn decide_inseparable_parts_are_tried_apart() {
    let mut registry = CrashRegistry::default();
    crash_in_turn(&mut registry, 0..5, &["first", "bad"]);
    assert!(is_refused(&registry, &["first", "bad"]));
    let trial = CrashDecision::OnTrial(vec![part("first")]);
    assert_eq!(registry.decide(NOW, &[part("first")]), trial);
    let mut completed = registry.clone();
    completed.clear(part("first"));
    assert!(is_blocked(&completed, "bad"));
    assert!(!is_refused(&completed, &["first"]));
    crash_in_turn(&mut registry, 5..7, &["bad"]);
    assert!(is_blocked(&registry, "bad"));
    assert_eq!(registry.verdict(NOW, part("first")), CrashVerdict::Clear);
}

/// Targets that all end at once while a part runs on them do not have it refused, however often that
/// happens.
#[test]
fn verdict_targets_killed_together_block_no_part() {
    let mut registry = CrashRegistry::default();
    for number in 0..24 {
        registry.record(NOW, report(part("popular"), number, 0));
    }
    assert_eq!(
        registry.verdict(NOW, part("popular")),
        CrashVerdict::OnTrial
    );
}

/// The same body crashes targets, again and again. The request is refused, and not the parts of its
/// prompt, which others use as well.
#[test]
fn verdict_same_request_blocks_no_part() {
    let mut registry = CrashRegistry::default();
    for number in 0..12 {
        for key in [own(1), part("first"), part("second")] {
            let known_before = registry.crash_count(key) as u32;
            registry.record(NOW, report(key, number, known_before));
        }
    }
    let verdict = registry.verdict(NOW, own(1));
    assert!(matches!(verdict, CrashVerdict::Blocked { .. }));
    assert!(!is_refused(&registry, &["first", "second"]));
    assert_eq!(registry.verdict(NOW, part("first")), CrashVerdict::Clear);
}

/// Routers reach the same decisions from the same reports of parts, in any order and with duplicates.
#[test]
fn decide_order_of_reports_of_parts_does_not_matter() {
    for seed in 0..300 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut crashes = Vec::new();
        for _ in 0..random.random_range(6..60) {
            let key = part(&format!("part-{}", random.random_range(0..4)));
            let known_before = random.random_range(0..3);
            let mut crash = report(key, random.random_range(0..8), known_before);
            crash.facts.is_cleared = random.random_bool(0.05);
            crashes.push(crash);
        }
        let deliver = |crashes: &[CrashReport]| {
            let mut registry = CrashRegistry::default();
            for crash in crashes {
                registry.record(NOW, crash.clone());
            }
            registry
        };
        let first = deliver(&crashes);
        let mut delivered = crashes.clone();
        delivered.extend(crashes.iter().take(9).cloned());
        delivered.shuffle(&mut random);
        let second = deliver(&delivered);
        for ids in [[0, 1], [1, 2], [2, 3], [0, 3]] {
            let keys = ids.map(|id| part(&format!("part-{id}")));
            let decisions = [&first, &second].map(|registry| registry.decide(NOW, &keys));
            assert_eq!(decisions[0], decisions[1], "seed {seed}, parts {ids:?}");
        }
    }
}

/// Twenty crashes of targets with 64 requests of four parts each, none of which completes, do not
/// evict the part that causes them, nor exceed what the store keeps.
#[test]
fn record_crashes_of_full_targets_retain_the_cause() {
    let mut registry = CrashRegistry::default();
    for number in 0..20 {
        let known_before = registry.crash_count(part("bad")) as u32;
        registry.record(NOW, report(part("bad"), number, known_before));
        for run in 0..64 {
            registry.record(NOW, report(own(number * 64 + run), number, 0));
            for place in 0..3 {
                let id = format!("part-{number}-{run}-{place}");
                registry.record(NOW, report(part(&id), number, 0));
            }
        }
    }
    assert!(is_blocked(&registry, "bad"));
    assert!(registry.stored().any(|report| report.key == part("bad")));
    assert!(registry.stored().count() <= 2_048);
}

/// Routers that retain different crashes of a popular part settle on the newest ones, in place of
/// taking up from each other and the store what the other has dropped, for as long as they run.
#[test]
fn record_more_crashes_than_retained_settles() {
    let crash = |number: u64| {
        let mut crash = report(part("popular"), number, 0);
        crash.facts.seen_at = NOW.plus_ms(number);
        crash
    };
    let mut first = CrashRegistry::default();
    let mut second = CrashRegistry::default();
    for number in 0..30 {
        first.record(NOW, crash(number));
        second.record(NOW, crash(29 - number));
    }
    for _ in 0..2 {
        for crash in first.reports(part("popular")) {
            assert!(!second.record(NOW, crash));
        }
        for crash in second.reports(part("popular")) {
            assert!(!first.record(NOW, crash));
        }
    }
    assert!(!first.record(NOW, crash(3)));
}

/// The store keeps no crashes of a part that has completed since.
#[test]
fn stored_excludes_completed_parts() {
    let mut registry = CrashRegistry::default();
    crash_in_turn(&mut registry, 0..3, &["popular"]);
    assert_eq!(registry.stored().count(), 3);
    registry.clear(part("popular"));
    assert_eq!(registry.stored().count(), 0);
    assert!(registry.is_shared(part("popular")));
}

/// The last part of a prompt belongs to the request alone, so only the others are suspected.
#[test]
fn for_shared_parts_excludes_the_last() {
    let shape = |ids: &[&str]| PromptShape {
        parts: ids
            .iter()
            .map(|id| PromptPart {
                id: (*id).to_owned(),
                tokens: 10,
            })
            .collect(),
    };
    let keys = SuspectKey::for_shared_parts(&shape(&["first", "second", "first", "own"]));
    assert_eq!(keys.len(), 2);
    assert!(keys.contains(&part("first")) && keys.contains(&part("second")));
    assert!(SuspectKey::for_shared_parts(&shape(&["own"])).is_empty());
    assert!(SuspectKey::for_shared_parts(&shape(&[])).is_empty());
    assert_eq!(part("first").kind(), SuspectKind::Part);
    assert_eq!(own(1).kind(), SuspectKind::Request);
    let text = part("first").to_string();
    assert_eq!(SuspectKey::try_parse(&text), Some(part("first")));
}

fn facts(crashes: usize, domains_before: usize) -> TrialFacts {
    TrialFacts {
        crashes,
        settled_at: NOW,
        last_at: NOW,
        domains_before,
    }
}

/// One trial runs at a time. The next one begins when the crash of the last is known, or when its
/// outcome has not come in time.
#[test]
fn try_begin_grants_one_trial_at_a_time() {
    let mut schedule = TrialSchedule::default();
    let key = part("bad");
    assert_eq!(
        schedule.try_begin(NOW, key, facts(4, 0)),
        TrialReply::Granted
    );
    let soon = NOW.plus_ms(20);
    let reply = schedule.try_begin(soon, key, facts(4, 0));
    assert!(matches!(reply, TrialReply::Wait { wait_ms: 1_000 }));
    assert_eq!(
        schedule.try_begin(soon, part("other"), facts(4, 0)),
        TrialReply::Granted
    );
    assert_eq!(
        schedule.try_begin(soon, key, facts(5, 0)),
        TrialReply::Granted
    );
    let later = soon.plus_ms(3_000);
    assert_eq!(
        schedule.try_begin(later, key, facts(5, 0)),
        TrialReply::Granted
    );
}

/// A trial that ended with neither a crash nor a completion holds the next one up only as long as its
/// outcome may still arrive.
#[test]
fn end_without_outcome_lets_the_next_trial_begin() {
    let mut schedule = TrialSchedule::default();
    let key = part("bad");
    schedule.try_begin(NOW, key, facts(4, 0));
    schedule.end(NOW.plus_ms(50), key);
    let reply = schedule.try_begin(NOW.plus_ms(60), key, facts(4, 0));
    assert_eq!(reply, TrialReply::Wait { wait_ms: 290 });
    let later = NOW.plus_ms(350);
    assert_eq!(
        schedule.try_begin(later, key, facts(4, 0)),
        TrialReply::Granted
    );
}

/// A trial may begin right after the crash of the one before, which may have been that of another part:
/// a sound request must not be refused for it.
#[test]
fn settled_at_is_that_of_the_first_crash() {
    let mut registry = CrashRegistry::default();
    for number in 0..4 {
        let mut crash = report(part("first"), number, 1);
        crash.facts.seen_at = NOW.plus_ms(1_000 * number);
        registry.record(NOW, crash);
    }
    assert_eq!(registry.settled_at(part("first")), NOW.plus_ms(100));
    assert_eq!(registry.last_at(part("first")), NOW.plus_ms(3_000));
}

/// Domains that cannot reach each other do not all try at once: each waits until the outcome in the
/// domains before it must have arrived by way of the store.
#[test]
fn try_begin_later_domains_wait_for_earlier_ones() {
    let mut schedule = TrialSchedule::default();
    let reply = schedule.try_begin(NOW, part("bad"), facts(4, 2));
    assert_eq!(reply, TrialReply::Wait { wait_ms: 6_000 });
    let later = NOW.plus_ms(6_000);
    assert_eq!(
        schedule.try_begin(later, part("bad"), facts(4, 2)),
        TrialReply::Granted
    );
}

/// A completion counts for a while, and a flood of parts does not exhaust the memory.
#[test]
fn contains_completion_expires() {
    let mut log = CompletionLog::default();
    log.record(NOW, part("popular"));
    assert!(log.contains(NOW.plus_ms(9_000), part("popular")));
    assert!(!log.contains(NOW, part("other")));
    assert!(!log.contains(NOW.plus_ms(25_000), part("popular")));
    let mut flooded = CompletionLog::default();
    let ids = (0..40_000).map(|number| part(&number.to_string()));
    let ids: Vec<_> = ids.collect();
    ids.iter().for_each(|id| flooded.record(NOW, *id));
    let retained = ids.iter().filter(|id| flooded.contains(NOW, **id));
    assert!(retained.count() <= 16_384);
}
