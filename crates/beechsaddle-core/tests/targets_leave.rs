//! A leaving target gets no new calls, even if older sources show it as live.

mod routing_support;

use beechsaddle_core::members::HostState;
use beechsaddle_core::peer::TargetUpdate;
use beechsaddle_core::prelude::*;
use beechsaddle_core::target::ProbeOutcome;
use beechsaddle_core::targets::{TargetChoice, TargetOptions, TargetTable};
use routing_support::*;

/// The target tables of `count` routers with `targets` targets each, with the member table of each
/// router.
fn domain(
    count: usize,
    targets: usize,
) -> Vec<(TargetTable, beechsaddle_core::members::MemberTable)> {
    (0..count)
        .map(|number| {
            let mut table = TargetTable::new(
                TargetOptions::default(),
                router(number),
                DomainName::new(DOMAIN),
                number as u64,
            );
            table.on_hosts(at(0), &hosts(targets), &mut CoreOutbox::new());
            (table, members(number, count))
        })
        .collect()
}

fn leave_update(epoch: u64, sequence: u64) -> TargetUpdate {
    TargetUpdate {
        target: target(0),
        epoch,
        state: HostState::Leaving,
        sequence,
        load: None,
        engine: None,
    }
}

fn live_update(epoch: u64, sequence: u64) -> TargetUpdate {
    TargetUpdate {
        state: HostState::Live,
        ..leave_update(epoch, sequence)
    }
}

fn is_ever_chosen(table: &mut TargetTable, now: ClockTime, wanted: &TargetName) -> bool {
    (0..100).any(|_| match table.choose(now, &engine_call(&[], &[])) {
        TargetChoice::Chosen(chosen) => chosen.target == *wanted,
        _ => false,
    })
}

#[test]
fn choose_leaving_listed_live() {
    // A prober sees a target leaving and reports it to a second router by heartbeat. Then both
    // receive the delayed host list that still shows the target as live. New calls there would be
    // cut when the host exits.
    let mut session = RoutingSession::default();
    let mut routers = domain(2, 2);
    let mut outbox = CoreOutbox::new();
    let (prober, _) = &mut routers[0];
    let event = probed(&target(0), ProbeOutcome::Leaving);
    session.record(at(10), "prober.on_target", &event);
    prober.on_target(at(10), &event, &mut outbox);
    session.record(at(10), "prober.actions", &outbox.actions);
    session.record(at(10), "prober.urgent_news", &prober.has_urgent_update());
    let update = prober.take_updates(at(10));
    session.record(at(10), "prober.take_news", &update);
    session.record(at(10), "prober.urgent_news", &prober.has_urgent_update());
    routers[1].0.on_updates(at(60), &router(0), &update);
    for (number, (table, _)) in routers.iter_mut().enumerate() {
        table.on_hosts(at(500), &hosts(2), &mut CoreOutbox::new());
        session.record(
            at(500),
            "choose",
            &table.choose(at(500), &engine_call(&[], &[])),
        );
        session.record(at(500), "status", &table.status(at(500)));
        assert!(
            !is_ever_chosen(table, at(500), &target(0)),
            "router {number}"
        );
    }
    let tried = [target(1)];
    let choice = routers[0].0.choose(at(500), &engine_call(&[], &tried));
    session.record(at(500), "prober.choose", &choice);
    session.check("targets_leave");
}

#[test]
fn on_updates_outdated_live_after_leave() {
    // A peer that was frozen sends an outdated state, with a higher sequence number because it
    // counted many changes. It must not bring calls back to a leaving host, and must be sent the
    // leave again.
    let (mut table, _) = domain(1, 2).remove(0);
    table.on_updates(at(10), &router(1), &[leave_update(1, 1)]);
    table.take_updates(at(20));
    table.on_updates(at(30), &router(2), &[live_update(1, 99)]);
    assert!(!is_ever_chosen(&mut table, at(40), &target(0)));
    let updates = table.take_updates(at(50));
    let update = updates.iter().find(|update| update.target == target(0));
    assert_eq!(update.map(|update| update.state), Some(HostState::Leaving));
}

#[test]
fn on_target_late_healthy_after_leave() {
    // Two probe results are reordered: the earlier "live" is handled after the later "leaving".
    let (mut table, _) = domain(1, 2).remove(0);
    let mut outbox = CoreOutbox::new();
    table.on_target(
        at(10),
        &probed(&target(0), ProbeOutcome::Leaving),
        &mut outbox,
    );
    table.on_target(at(11), &healthy(&target(0), 0, 0), &mut outbox);
    assert!(!is_ever_chosen(&mut table, at(12), &target(0)));
}

#[test]
fn on_updates_leave_against_own_probe() {
    // A peer's probe found the target leaving just after this router's own probe found it live.
    let (mut table, _) = domain(1, 2).remove(0);
    table.on_target(at(10), &healthy(&target(0), 0, 0), &mut CoreOutbox::new());
    table.on_target(at(10), &healthy(&target(1), 0, 0), &mut CoreOutbox::new());
    table.on_updates(at(20), &router(1), &[leave_update(1, 1)]);
    assert!(!is_ever_chosen(&mut table, at(30), &target(0)));
}

#[test]
fn take_updates_repeats_leave() {
    // The heartbeat with the leave is lost. Peers would send calls until their own list shows it,
    // so each later heartbeat repeats the leave.
    let (mut table, _) = domain(1, 2).remove(0);
    let event = probed(&target(0), ProbeOutcome::Leaving);
    table.on_target(at(10), &event, &mut CoreOutbox::new());
    for round in 0..5 {
        let updates = table.take_updates(at(20 + round * 500));
        let update = updates.iter().find(|update| update.target == target(0));
        assert_eq!(update.map(|update| update.state), Some(HostState::Leaving));
    }
}

#[test]
fn on_hosts_later_epoch_after_leave() {
    // The host is replaced under the same name: the leave applied to the old host, and the new one
    // serves.
    let (mut table, _) = domain(1, 2).remove(0);
    table.on_updates(at(10), &router(1), &[leave_update(1, 1)]);
    let mut list = hosts(2);
    list[0].epoch = 2;
    table.on_hosts(at(5_000), &list, &mut CoreOutbox::new());
    assert!(is_ever_chosen(&mut table, at(20_000), &target(0)));
    // A late update about the old host does not apply to the new one.
    table.on_updates(at(20_010), &router(1), &[leave_update(1, 7)]);
    assert!(is_ever_chosen(&mut table, at(20_020), &target(0)));
}

#[test]
fn on_hosts_listed_again_after_gone() {
    // The host left and was unlisted, then an older list still shows it as live. Calls there would
    // fail to connect or reach another host.
    let (mut table, _) = domain(1, 2).remove(0);
    table.on_updates(at(10), &router(1), &[leave_update(1, 1)]);
    table.on_hosts(at(1_000), &hosts(2)[1..], &mut CoreOutbox::new());
    table.tick(at(2_000), &members(0, 1), &mut CoreOutbox::new());
    table.on_hosts(at(3_000), &hosts(2), &mut CoreOutbox::new());
    assert!(!is_ever_chosen(&mut table, at(3_001), &target(0)));
}

#[test]
fn tick_leave_in_force_within_two_seconds() {
    // One of twelve targets starts to leave while the host list still shows it as live. Eight
    // routers tick, take turns probing and send urgent updates at once over a 2 ms network. After
    // two seconds all routers must see it as leaving, even if every second heartbeat is lost.
    let mut routers = domain(8, 12);
    let leaving_since = 3_000;
    for step in 0..100 {
        let now = at(step * 50);
        let mut sent = Vec::new();
        for (number, (table, members)) in routers.iter_mut().enumerate() {
            let mut outbox = CoreOutbox::new();
            table.tick(now, members, &mut outbox);
            for name in probes(&outbox) {
                let is_leaving = name == target(3) && step * 50 >= leaving_since;
                let event = match is_leaving {
                    true => probed(&name, ProbeOutcome::Leaving),
                    false => healthy(&name, 1, 0),
                };
                table.on_target(now, &event, &mut CoreOutbox::new());
            }
            if table.has_urgent_update() || step % 10 == 0 {
                sent.push((number, table.take_updates(now)));
            }
        }
        for (from, update) in sent {
            for (to, (table, _)) in routers.iter_mut().enumerate() {
                if (from + to + step as usize).is_multiple_of(2) && from != to {
                    table.on_updates(now.plus_ms(2), &router(from), &update);
                }
            }
        }
        if step * 50 >= leaving_since + 2_000 {
            break;
        }
    }
    let now = at(leaving_since + 2_000);
    for (table, _) in &mut routers {
        let state = table.status(now)[target_index(3)].state;
        assert_eq!(state, HostState::Leaving);
    }
}

/// The index of a target in a status list, which is sorted by name.
fn target_index(number: usize) -> usize {
    let mut names: Vec<TargetName> = (0..12).map(target).collect();
    names.sort();
    names
        .iter()
        .position(|name| *name == target(number))
        .expect("one of the listed targets")
}

#[test]
fn take_updates_repeats_engine_state() {
    // Heartbeats must fit into a byte budget per second. Loads change with every probe but engine
    // states rarely; still, a new router must receive the engine state from its peers soon.
    let (mut table, members) = domain(1, 2).remove(0);
    table.tick(at(0), &members, &mut CoreOutbox::new());
    let mut with_engine = 0;
    for round in 1..=17_u32 {
        let event = healthy(&target(0), 40 * (round % 2), 0);
        table.on_target(at(u64::from(round) * 500), &event, &mut CoreOutbox::new());
        let updates = table.take_updates(at(u64::from(round) * 500 + 10));
        let update = updates.iter().find(|update| update.target == target(0));
        let update = update.expect("the load changed");
        assert!(update.load.is_some());
        with_engine += u32::from(update.engine.is_some());
    }
    assert_eq!(with_engine, 1 + 4);
}
