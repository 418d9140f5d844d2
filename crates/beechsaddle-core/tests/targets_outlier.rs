//! Bad targets are ejected, but never so many that the others cannot carry the load.

mod routing_support;

use beechsaddle_core::call::AttemptFailure;
use beechsaddle_core::members::HostState;
use beechsaddle_core::prelude::*;
use beechsaddle_core::target::ProbeOutcome;
use beechsaddle_core::targets::{TargetChoice, TargetOptions, TargetTable};
use routing_support::*;

fn fail(table: &mut TargetTable, now: ClockTime, number: usize, times: usize) {
    for _ in 0..times {
        table.started(now, &target(number), &[], WORK);
        table.failed(now, &target(number), AttemptFailure::ServerError);
    }
}

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

fn ejected(table: &TargetTable, now: ClockTime) -> usize {
    table
        .status(now)
        .iter()
        .filter(|status| status.ejected)
        .count()
}

#[test]
fn failed_in_row_ejects() {
    // One of four targets fails every call while its probes succeed. Without ejection callers would
    // lose every fourth call.
    let mut table = listed(4);
    fail(&mut table, at(10), 2, 3);
    for _ in 0..100 {
        assert_ne!(
            chosen(table.choose(at(20), &engine_call(&[], &[]))),
            target(2)
        );
    }
    let mut outbox = CoreOutbox::new();
    table.tick(at(5_100), &members(0, 1), &mut outbox);
    assert_eq!(ejected(&table, at(5_100)), 0, "the ejection has ended");
}

#[test]
fn failed_all_ejects_at_most_half() {
    // A common cause, such as a bad model version, makes all targets fail. Ejecting all but one
    // would overload that one; at least half must stay, so that calls still find a target.
    let mut table = listed(6);
    for number in 0..6 {
        fail(&mut table, at(10), number, 20);
    }
    assert_eq!(ejected(&table, at(11)), 3);
    assert!(matches!(
        table.choose(at(11), &engine_call(&[], &[])),
        TargetChoice::Chosen(_)
    ));
}

#[test]
fn failed_only_target_stays() {
    let mut table = listed(1);
    fail(&mut table, at(10), 0, 50);
    assert_eq!(ejected(&table, at(11)), 0);
    assert_eq!(
        chosen(table.choose(at(11), &engine_call(&[], &[]))),
        target(0)
    );
}

#[test]
fn choose_ejected_when_others_leave() {
    // After the other target leaves, the ejected one is the only one left and must be used.
    let mut table = listed(2);
    fail(&mut table, at(10), 0, 3);
    table.on_target(
        at(11),
        &probed(&target(1), ProbeOutcome::Leaving),
        &mut CoreOutbox::new(),
    );
    assert_eq!(
        chosen(table.choose(at(12), &engine_call(&[], &[]))),
        target(0)
    );
}

#[test]
fn failed_busy_pauses_without_ejection() {
    // A full engine answers 503. Ejecting it would move its load to the others, which would fill up
    // next.
    let mut table = listed(3);
    for _ in 0..10 {
        table.started(at(10), &target(1), &[], WORK);
        table.failed(at(10), &target(1), AttemptFailure::TargetBusy);
    }
    assert_eq!(ejected(&table, at(11)), 0);
    for _ in 0..50 {
        assert_ne!(
            chosen(table.choose(at(12), &engine_call(&[], &[]))),
            target(1)
        );
    }
}

#[test]
fn first_byte_slow_ejects() {
    // One of five engines is ten times slower but answers, so no failure is counted, while one call
    // in five waits ten times as long for its first token.
    let mut table = listed(5);
    for round in 0..30 {
        for number in 0..5 {
            let now = at(100 + round * 100);
            let latency_ms = if number == 4 { 1_500 } else { 150 };
            table.started(now, &target(number), &[], WORK);
            table.first_byte(now, &target(number), latency_ms);
            table.ended(now, &target(number));
        }
    }
    let status = table.status(at(3_100));
    let ejected_targets: Vec<&TargetName> = status
        .iter()
        .filter(|status| status.ejected)
        .map(|status| &status.target)
        .collect();
    assert_eq!(ejected_targets, [&target(4)]);
}

#[test]
fn choose_slow_start_after_return() {
    // A target returns after being down. As the least loaded one it would get all new calls at
    // once, before its caches are warm.
    let mut table = listed(3);
    let members = members(0, 1);
    for name in [0, 1] {
        for _ in 0..10 {
            table.started(at(50), &target(name), &[], WORK);
        }
    }
    let mut outbox = CoreOutbox::new();
    for moment in [100, 200] {
        table.on_target(
            at(moment),
            &probed(&target(2), ProbeOutcome::Failed),
            &mut outbox,
        );
    }
    assert_eq!(table.status(at(201))[2].state, HostState::Down);
    table.on_target(at(300), &healthy(&target(2), 0, 0), &mut outbox);
    table.tick(at(301), &members, &mut outbox);
    let mut sent = 0;
    for _ in 0..20 {
        let name = chosen(table.choose(at(400), &engine_call(&[], &[])));
        table.started(at(400), &name, &[], WORK);
        sent += usize::from(name == target(2));
    }
    assert!(
        sent <= 2,
        "{sent} of 20 calls went to the cold target at once"
    );
}

#[test]
fn choose_all_probes_failing() {
    // A release breaks the health endpoint of all targets while calls still work. Refusing all
    // calls would turn broken probes into an outage.
    let mut table = listed(2);
    for number in 0..2 {
        for moment in [100, 200] {
            let event = probed(&target(number), ProbeOutcome::Failed);
            table.on_target(at(moment), &event, &mut CoreOutbox::new());
        }
    }
    assert!(matches!(
        table.choose(at(201), &engine_call(&[], &[])),
        TargetChoice::Chosen(_)
    ));
}

#[test]
fn request_probe_bounded_under_failures() {
    // A hundred calls fail at a target at every tick, and each failure requests a probe. The target
    // must be probed, but with a bounded rate.
    let mut table = listed(1);
    let members = members(0, 1);
    table.tick(at(0), &members, &mut CoreOutbox::new());
    let mut sent = 0;
    for step in 0..20 {
        fail(&mut table, at(2_000 + step * 50), 0, 100);
        let mut outbox = CoreOutbox::new();
        table.tick(at(2_000 + step * 50), &members, &mut outbox);
        sent += probes(&outbox).len();
        for name in probes(&outbox) {
            table.on_target(at(2_000 + step * 50), &healthy(&name, 0, 0), &mut outbox);
        }
    }
    assert!((1..=10).contains(&sent), "{sent} probes within a second");
}

#[test]
fn choose_slow_target_without_affinity() {
    // One engine is three times slower, too little for ejection. As an affinity target it would
    // have the lowest cost, since it has little to read, and every turn of its conversations would
    // be slow.
    let mut table = listed(4);
    for round in 0..20 {
        for number in 0..4 {
            let now = at(100 + round * 100);
            let latency_ms = if number == 1 { 384 } else { 128 };
            table.started(now, &target(number), &[], WORK);
            table.first_byte(now, &target(number), latency_ms);
            table.ended(now, &target(number));
        }
    }
    assert_eq!(ejected(&table, at(2_200)), 0);
    for conversation in 0..40 {
        let prefix: Vec<u64> = (0..16)
            .map(|block| conversation * 100 + block + 1)
            .collect();
        let name = chosen(table.choose(at(2_200), &engine_call(&prefix, &[])));
        assert_ne!(name, target(1));
    }
}
