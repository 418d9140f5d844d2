//! Hosts that take over the name or address of another host are distinguished from it.

mod routing_support;

use beechsaddle_core::members::HostState;
use beechsaddle_core::peer::TargetUpdate;
use beechsaddle_core::prelude::*;
use beechsaddle_core::target::ProbeOutcome;
use beechsaddle_core::targets::{TargetChoice, TargetOptions};
use routing_support::*;

#[test]
fn on_hosts_other_name_same_address() {
    // A host is replaced under a new name at the same address, and the delayed list shows both. A
    // call for the old host would reach the new one, which may serve another model.
    let mut table = table(TargetOptions::default());
    let old = host("old", 4, HostState::Live);
    let mut new = host("new", 5, HostState::Live);
    new.address = old.address.clone();
    table.on_hosts(at(0), &[old, new], &mut CoreOutbox::new());
    for _ in 0..50 {
        let name = chosen(table.choose(at(1), &engine_call(&[], &[])));
        assert_eq!(name, TargetName::new("new"));
    }
}

#[test]
fn on_updates_later_epoch_than_listed() {
    // A peer's newer list shows the host as replaced, while this router's list has the old epoch.
    // The old host is gone and must get no calls until the own list shows the new address.
    let mut table = table(TargetOptions::default());
    table.on_hosts(at(0), &hosts(1), &mut CoreOutbox::new());
    let update = TargetUpdate {
        target: target(0),
        epoch: 2,
        state: HostState::Live,
        sequence: 1,
        load: None,
        engine: None,
    };
    table.on_updates(at(10), &router(1), &[update]);
    let choice = table.choose(at(11), &engine_call(&[], &[]));
    assert_eq!(choice, TargetChoice::NoneAlive);
    table.on_hosts(
        at(20),
        &[host("target-0", 2, HostState::Live)],
        &mut CoreOutbox::new(),
    );
    assert_eq!(
        chosen(table.choose(at(21), &engine_call(&[], &[]))),
        target(0)
    );
}

#[test]
fn on_hosts_older_list_after_replaced() {
    // Host lists arrive out of order. The older one must not restore the replaced host's address.
    let mut table = table(TargetOptions::default());
    let mut new = host("target-0", 2, HostState::Live);
    new.address = "10.9.9.9:80".to_owned();
    table.on_hosts(at(0), &[new], &mut CoreOutbox::new());
    table.on_hosts(at(10), &hosts(1), &mut CoreOutbox::new());
    let TargetChoice::Chosen(chosen) = table.choose(at(11), &engine_call(&[], &[])) else {
        panic!("no target was chosen");
    };
    assert_eq!(chosen.address, "10.9.9.9:80");
}

#[test]
fn ended_call_of_replaced_host() {
    // A call started on the old host ends after its replacement. It must be counted until then, and
    // exactly once.
    let mut table = table(TargetOptions::default());
    table.on_hosts(at(0), &hosts(1), &mut CoreOutbox::new());
    table.started(at(1), &target(0), &[], WORK);
    table.on_hosts(
        at(2),
        &[host("target-0", 2, HostState::Live)],
        &mut CoreOutbox::new(),
    );
    assert_eq!(table.status(at(3))[0].in_flight, 1);
    table.ended(at(4), &target(0));
    table.ended(at(5), &target(0));
    assert_eq!(table.status(at(6))[0].in_flight, 0);
}

#[test]
fn on_hosts_empty_list() {
    // The platform returns an empty list. A platform fault is more likely than the loss of all
    // targets, and applying the list would refuse every call.
    let mut table = table(TargetOptions::default());
    table.on_hosts(at(0), &hosts(2), &mut CoreOutbox::new());
    table.on_hosts(at(10), &[], &mut CoreOutbox::new());
    assert!(matches!(
        table.choose(at(11), &engine_call(&[], &[])),
        TargetChoice::Chosen(_)
    ));
}

#[test]
fn on_updates_down_against_own_probe() {
    // A peer cannot reach a target that this router reaches. This router keeps using it and
    // announces it as live to the others, and the two must not answer each other forever.
    let mut table = table(TargetOptions::default());
    table.on_hosts(at(0), &hosts(1), &mut CoreOutbox::new());
    table.on_target(at(10), &healthy(&target(0), 0, 0), &mut CoreOutbox::new());
    let update = TargetUpdate {
        target: target(0),
        epoch: 1,
        state: HostState::Down,
        sequence: 5,
        load: None,
        engine: None,
    };
    table.on_updates(at(20), &router(1), &[update]);
    assert_eq!(table.status(at(30))[0].state, HostState::Live);
    let updates = table.take_updates(at(40));
    assert_eq!(updates[0].state, HostState::Live);
    assert!(updates[0].sequence > 5);
    assert_eq!(table.take_updates(at(50)), []);
}

#[test]
fn on_updates_live_against_own_probe() {
    // Peers reach a target that this router cannot reach. This router must not send calls to it
    // because peers report it as live.
    let mut table = table(TargetOptions::default());
    table.on_hosts(at(0), &hosts(1), &mut CoreOutbox::new());
    for moment in [10, 110] {
        let event = probed(&target(0), ProbeOutcome::Failed);
        table.on_target(at(moment), &event, &mut CoreOutbox::new());
    }
    let update = TargetUpdate {
        target: target(0),
        epoch: 1,
        state: HostState::Live,
        sequence: 99,
        load: None,
        engine: None,
    };
    table.on_updates(at(120), &router(1), &[update]);
    assert_eq!(table.status(at(130))[0].state, HostState::Down);
}
