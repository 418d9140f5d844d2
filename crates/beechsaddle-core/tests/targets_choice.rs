//! Choice among several usable targets.

mod routing_support;

use beechsaddle_core::members::HostState;
use beechsaddle_core::prelude::*;
use beechsaddle_core::report::{CounterName, ReportAction};
use beechsaddle_core::target::{CacheUpdate, LoadReport, ProbeOutcome, TargetEvent};
use beechsaddle_core::targets::{TargetChoice, TargetOptions, TargetTable};
use quickcheck::{QuickCheck, TestResult};
use routing_support::*;

const PREFIX: [u64; 16] = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16];

fn listed(count: usize) -> TargetTable {
    let mut table = table(TargetOptions::default());
    table.on_hosts(at(0), &hosts(count), &mut CoreOutbox::new());
    for number in 0..count {
        table.on_target(
            at(0),
            &healthy(&target(number), 0, 0),
            &mut CoreOutbox::new(),
        );
    }
    table
}

fn with_cache(target: &TargetName, cache: CacheUpdate) -> TargetEvent {
    TargetEvent::Probed {
        target: target.clone(),
        outcome: ProbeOutcome::Healthy {
            load: LoadReport::default(),
            engine: Some(engine_state("m")),
        },
        cache: Some(cache),
    }
}

fn added(first: u64, next: u64) -> CacheUpdate {
    CacheUpdate {
        first,
        next,
        added: PREFIX.to_vec(),
        removed: Vec::new(),
    }
}

#[test]
fn choose_target_with_cached_prefix() {
    let mut table = listed(6);
    table.on_target(
        at(10),
        &with_cache(&target(4), added(0, 16)),
        &mut CoreOutbox::new(),
    );
    for _ in 0..20 {
        assert_eq!(
            chosen(table.choose(at(11), &engine_call(&PREFIX, &[]))),
            target(4)
        );
    }
}

#[test]
fn choose_other_when_cached_target_overloaded() {
    // One target has a popular prefix cached. Once waiting there takes longer than prefilling the
    // prompt elsewhere, choosing by cache alone would queue every call at it.
    let mut table = listed(4);
    table.on_target(
        at(10),
        &with_cache(&target(2), added(0, 16)),
        &mut CoreOutbox::new(),
    );
    for _ in 0..4 {
        table.started(at(11), &target(2), &[99], WORK);
    }
    assert_ne!(
        chosen(table.choose(at(12), &engine_call(&PREFIX, &[]))),
        target(2)
    );
}

#[test]
fn choose_after_gap_in_cache_events() {
    // Cache events are lost, possibly including an eviction. With the old entries, calls would go
    // to a target that must read the whole prompt instead of to the affinity target.
    let preferred = chosen(listed(4).choose(at(1), &engine_call(&PREFIX, &[])));
    let cached = (0..4)
        .map(target)
        .find(|name| *name != preferred)
        .expect("another target");
    let mut table = listed(4);
    table.on_target(
        at(10),
        &with_cache(&cached, added(0, 16)),
        &mut CoreOutbox::new(),
    );
    assert_eq!(
        chosen(table.choose(at(11), &engine_call(&PREFIX, &[]))),
        cached
    );
    let gapped = CacheUpdate {
        first: 40,
        next: 40,
        ..CacheUpdate::default()
    };
    table.on_target(
        at(60_000),
        &with_cache(&cached, gapped),
        &mut CoreOutbox::new(),
    );
    assert_eq!(
        chosen(table.choose(at(60_001), &engine_call(&PREFIX, &[]))),
        preferred
    );
}

#[test]
fn choose_with_outdated_idle_reports() {
    // Load reports are seconds old and show targets as idle that this router has just sent calls
    // to. By reports alone, all calls of those seconds would go to one target.
    let mut table = listed(4);
    let mut counts = [0_usize; 4];
    for step in 0..40 {
        let now = at(100 + step * 10);
        let name = chosen(table.choose(now, &engine_call(&[], &[])));
        table.started(now, &name, &[], WORK);
        let index = (0..4).find(|number| target(*number) == name);
        counts[index.expect("one of four targets")] += 1;
        for number in 0..4 {
            table.on_target(now, &healthy(&target(number), 0, 0), &mut CoreOutbox::new());
        }
    }
    assert_eq!(counts, [10; 4]);
}

#[test]
fn choose_with_calls_of_other_routers() {
    // Another router fills a target; this router sent nothing there and sees it only in load
    // reports.
    let mut table = listed(2);
    for step in 0..50 {
        let now = at(step * 100);
        table.on_target(now, &healthy(&target(0), 30, 10), &mut CoreOutbox::new());
        table.on_target(now, &healthy(&target(1), 2, 0), &mut CoreOutbox::new());
    }
    for _ in 0..5 {
        let name = chosen(table.choose(at(5_000), &engine_call(&[], &[])));
        table.started(at(5_000), &name, &[], WORK);
        assert_eq!(name, target(1));
    }
}

#[test]
fn choose_other_model_loaded() {
    // An engine has loaded another model and would refuse the call or answer with the wrong model.
    let mut table = listed(2);
    let outcome = ProbeOutcome::Healthy {
        load: LoadReport::default(),
        engine: Some(engine_state("other")),
    };
    let mut outbox = CoreOutbox::new();
    table.on_target(at(10), &probed(&target(0), outcome.clone()), &mut outbox);
    for _ in 0..20 {
        assert_eq!(
            chosen(table.choose(at(11), &engine_call(&[], &[]))),
            target(1)
        );
    }
    table.on_target(at(12), &probed(&target(1), outcome), &mut outbox);
    assert_eq!(
        table.choose(at(13), &engine_call(&[], &[])),
        TargetChoice::NoModel
    );
}

#[test]
fn choose_plain_balances_calls() {
    let mut table = listed(3);
    for _ in 0..30 {
        let name = chosen(table.choose(at(10), &plain_call(&[])));
        table.started(at(10), &name, &[], Default::default());
    }
    for status in table.status(at(11)) {
        assert!((8..=12).contains(&status.in_flight), "{status:?}");
    }
}

#[test]
fn choose_other_domain_last() {
    // All own targets were tried or are leaving. Only then may a call go to another domain, and
    // each such call is counted, since it takes time and the other domain's capacity.
    let mut table = listed(1);
    let mut remote = host("remote", 1, HostState::Live);
    remote.domain = DomainName::new("rijeka-hala");
    table.on_hosts(at(5), &[remote], &mut CoreOutbox::new());
    for _ in 0..20 {
        let name = chosen(table.choose(at(6), &engine_call(&[], &[])));
        assert_eq!(name, target(0));
    }
    let tried = [target(0)];
    let name = chosen(table.choose(at(7), &engine_call(&[], &tried)));
    assert_eq!(name, TargetName::new("remote"));
    table.started(at(7), &name, &[], WORK);
    let mut outbox = CoreOutbox::new();
    table.tick(at(50), &members(0, 1), &mut outbox);
    let counted = CoreAction::from(ReportAction::Add {
        counter: CounterName::CrossDomain,
        amount: 1,
    });
    assert!(outbox.actions.contains(&counted));
    let both = [target(0), name];
    assert_eq!(
        table.choose(at(51), &engine_call(&[], &both)),
        TargetChoice::AllTried
    );
}

#[test]
fn choose_same_affinity_target_on_all_routers() {
    // For a prompt that no router has seen, all routers choose the same target, so that its prefix
    // is read once per domain and not once per router.
    let targets: std::collections::BTreeSet<TargetName> = (0..6)
        .map(|seed| {
            let mut table = TargetTable::new(
                TargetOptions::default(),
                router(seed),
                DomainName::new(DOMAIN),
                seed as u64,
            );
            table.on_hosts(at(0), &hosts(6), &mut CoreOutbox::new());
            chosen(table.choose(at(1), &engine_call(&PREFIX, &[])))
        })
        .collect();
    assert_eq!(targets.len(), 1);
}

#[test]
fn plan_probes_balanced_over_routers() {
    // With 195 targets and 24 routers, each target has two probers, and no router has much more
    // than its even part of them.
    let mut most = 0;
    let mut total = 0;
    for number in 0..24 {
        let mut table = TargetTable::new(
            TargetOptions::default(),
            router(number),
            DomainName::new(DOMAIN),
            0,
        );
        table.on_hosts(at(0), &hosts(195), &mut CoreOutbox::new());
        let members = members(number, 24);
        let mut sent = std::collections::BTreeSet::new();
        for step in 0..40 {
            let mut outbox = CoreOutbox::new();
            table.tick(at(step * 50), &members, &mut outbox);
            sent.extend(probes(&outbox));
        }
        most = most.max(sent.len());
        total += sent.len();
    }
    assert_eq!(total, 2 * 195);
    assert!(most <= 32, "one router probes {most} targets");
}

/// Applies one step of a random history. Returns whether the choice was allowed.
fn take_step(
    table: &mut TargetTable,
    now: ClockTime,
    step: (u8, u8),
    expected_in_flight: &mut [u32; 4],
    left: &mut [bool; 4],
) -> bool {
    let (kind, index) = (step.0 % 6, usize::from(step.1 % 4));
    let mut outbox = CoreOutbox::new();
    let name = target(index);
    match kind {
        0 => {
            let tried = [name];
            let choice = table.choose(now, &engine_call(&PREFIX[..index], &tried));
            if let TargetChoice::Chosen(chosen) = choice {
                let number = (0..4).find(|number| target(*number) == chosen.target);
                let number = number.expect("one of four targets");
                table.started(now, &chosen.target, &PREFIX[..index], WORK);
                expected_in_flight[number] += 1;
                return number != index && !left[number];
            }
        }
        1 => {
            table.ended(now, &name);
            expected_in_flight[index] = expected_in_flight[index].saturating_sub(1);
        }
        2 => {
            table.failed(now, &name, beechsaddle_core::call::AttemptFailure::TimedOut);
            expected_in_flight[index] = expected_in_flight[index].saturating_sub(1);
        }
        3 if step.0 > 200 => {
            table.on_target(now, &probed(&name, ProbeOutcome::Leaving), &mut outbox);
            left[index] = true;
        }
        3 | 4 => table.on_target(now, &healthy(&name, u32::from(step.0), 0), &mut outbox),
        _ => table.on_hosts(now, &hosts(4), &mut outbox),
    }
    true
}

#[test]
fn choose_random_histories() {
    fn holds(steps: Vec<(u8, u8)>) -> TestResult {
        let mut table = listed(4);
        let mut expected_in_flight = [0; 4];
        let mut left = [false; 4];
        for (number, step) in steps.into_iter().enumerate() {
            let now = at(number as u64 * 37);
            if !take_step(&mut table, now, step, &mut expected_in_flight, &mut left) {
                return TestResult::error("a leaving or tried target was chosen");
            }
            let counted: Vec<u32> = table.status(now).iter().map(|one| one.in_flight).collect();
            if counted != expected_in_flight {
                return TestResult::error(format!(
                    "{counted:?} in flight, not {expected_in_flight:?}"
                ));
            }
        }
        TestResult::passed()
    }
    QuickCheck::new()
        .tests(300)
        .quickcheck(holds as fn(Vec<(u8, u8)>) -> TestResult);
}
