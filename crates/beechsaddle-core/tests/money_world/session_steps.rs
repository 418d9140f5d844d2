//! The `session_steps` module provides what several golden sessions do.

use beechsaddle_core::members::MemberLiveness;
use beechsaddle_core::money::{BudgetAccount, MoneyOptions};
use beechsaddle_core::platform::{PlatformCall, PlatformReply};
use beechsaddle_core::prelude::*;

use super::{Flight, MoneyWorld, test_options};

pub const BUDGET: &str = "north";

pub fn session_options() -> MoneyOptions {
    MoneyOptions {
        journal_period_ms: 500,
        fold_period_ms: 1_000,
        ..test_options()
    }
}

pub fn world_of(domains: &[&str], tokens: u64) -> MoneyWorld {
    let mut world = MoneyWorld::new(session_options(), domains);
    world.top_up(BUDGET, "first", tokens);
    world
}

/// The router of `slots` that holds the budget for the others.
pub fn holder_of(world: &MoneyWorld, slots: std::ops::Range<usize>) -> usize {
    let picked = world.slots[slots.start].members.picked_for(BUDGET);
    let mut indexes = slots;
    indexes
        .find(|index| world.slots[*index].router == picked)
        .expect("the picked router is one of them")
}

pub fn other_than(holder: usize, slots: std::ops::Range<usize>) -> usize {
    let mut indexes = slots;
    indexes
        .find(|index| *index != holder)
        .expect("there is more than one router")
}

pub fn admitted(world: &MoneyWorld, call: &CallId) -> bool {
    matches!(world.calls[call].admitted, Some(Ok(())))
}

pub fn refusal(world: &MoneyWorld, call: &CallId) -> CallRefusal {
    match &world.calls[call].admitted {
        Some(Err(refusal)) => refusal.clone(),
        other => panic!("{call} is {other:?}"),
    }
}

/// Calls, lets the holder answer, and has the engine generate tokens.
pub fn run_call(world: &mut MoneyWorld, entry: usize, bound: u64, tokens: u64) -> CallId {
    let call = world.call(entry, BUDGET, None, bound);
    world.run(1_500);
    world.serve(&call, tokens);
    call
}

pub fn die(world: &mut MoneyWorld, router: usize) {
    world.crash(router);
    world.set_liveness(router, MemberLiveness::Gone);
}

/// Drains all routers in turn and returns what the ledger says in the end.
pub fn close(world: &mut MoneyWorld) -> BudgetAccount {
    world.run(3_000);
    for index in 0..world.slots.len() {
        if world.slots[index].desk.is_none() {
            continue;
        }
        world.drain(index);
        world.run(5_000);
        let is_drained = world.with_desk(index, |desk, _, _, _| desk.is_drained());
        assert_eq!(is_drained, Some(true), "r{index} is drained");
        die(world, index);
    }
    let account = world.account(BUDGET);
    assert_eq!(account.granted(), 0, "nothing is granted any more");
    assert!(account.promised() <= account.paid());
    account
}

/// Applies the next platform write of a router and loses its answer.
pub fn lose_answer(world: &mut MoneyWorld, router: usize) {
    let found = world.flights.iter().position(|flight| {
        let is_write = matches!(
            flight,
            Flight::Call {
                call: PlatformCall::Write { .. },
                ..
            }
        );
        is_write && matches!(flight, Flight::Call { router: from, .. } if *from == router)
    });
    let index = found.expect("a write is on its way");
    let Flight::Call { ticket, call, .. } = world.flights.remove(index) else {
        unreachable!("the flight is a call");
    };
    world.store.apply(call);
    let reply = PlatformReply::Unknown;
    world.flights.push(Flight::Reply {
        router,
        ticket,
        reply,
    });
}

/// Lets time pass until a write by `router` of an object below `prefix` is on its way.
pub fn run_to_write(world: &mut MoneyWorld, router: usize, prefix: &str) {
    let is_wanted = |flight: &Flight| match flight {
        Flight::Call {
            router: from,
            call: PlatformCall::Write { key, .. },
            ..
        } => *from == router && key.as_str().starts_with(prefix),
        _ => false,
    };
    for _ in 0..5_000 {
        if world.flights.iter().any(is_wanted) {
            return;
        }
        if world.flights.is_empty() {
            world.advance(50);
        } else {
            world.deliver(0);
        }
    }
    panic!("the router writes nothing there");
}
