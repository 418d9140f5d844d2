//! The `session_steps` module provides steps shared by the tests of accounting sessions, most of
//! which compare a session with a golden file.

use beechsaddle_core::accounting::{AccountingOptions, BudgetAccount};
use beechsaddle_core::members::MemberLiveness;
use beechsaddle_core::platform::{PlatformCall, PlatformReply};
use beechsaddle_core::prelude::*;

use super::{AccountingWorld, Delivery, test_options};

pub const BUDGET: &str = "north";

pub fn session_options() -> AccountingOptions {
    AccountingOptions {
        journal_period_ms: 500,
        fold_period_ms: 1_000,
        ..test_options()
    }
}

pub fn world_of(domains: &[&str], tokens: u64) -> AccountingWorld {
    let mut world = AccountingWorld::new(session_options(), domains);
    world.top_up(BUDGET, "first", tokens);
    world
}

/// Returns the router of `slots` that the members pick as the budget's holder.
pub fn holder_of(world: &AccountingWorld, slots: std::ops::Range<usize>) -> usize {
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

pub fn admitted(world: &AccountingWorld, call: &CallId) -> bool {
    matches!(world.calls[call].admitted, Some(Ok(())))
}

pub fn refusal(world: &AccountingWorld, call: &CallId) -> CallRefusal {
    match &world.calls[call].admitted {
        Some(Err(refusal)) => refusal.clone(),
        other => panic!("{call} was not refused: {other:?}"),
    }
}

/// Starts a call, waits for its admission and generates tokens for it.
pub fn run_call(world: &mut AccountingWorld, entry: usize, bound: u64, tokens: u64) -> CallId {
    let call = world.call(entry, BUDGET, None, bound);
    world.run(1_500);
    world.serve(&call, tokens);
    call
}

pub fn kill(world: &mut AccountingWorld, router: usize) {
    world.crash(router);
    world.set_liveness(router, MemberLiveness::Gone);
}

/// Drains all routers in turn and returns the final account.
pub fn drain_all(world: &mut AccountingWorld) -> BudgetAccount {
    world.run(3_000);
    for index in 0..world.slots.len() {
        if world.slots[index].manager.is_none() {
            continue;
        }
        world.drain(index);
        world.run(5_000);
        let is_drained = world.with_manager(index, |manager, _, _, _| manager.is_drained());
        assert_eq!(is_drained, Some(true), "r{index} is drained");
        kill(world, index);
    }
    let account = world.account(BUDGET);
    assert_eq!(
        account.granted(),
        0,
        "no tokens are granted after the drain"
    );
    assert!(account.allocated() <= account.paid());
    account
}

/// Applies the next platform write of a router and loses its reply.
pub fn lose_answer(world: &mut AccountingWorld, router: usize) {
    let found = world.deliveries.iter().position(|delivery| {
        let is_write = matches!(
            delivery,
            Delivery::Call {
                call: PlatformCall::Write { .. },
                ..
            }
        );
        is_write && matches!(delivery, Delivery::Call { router: from, .. } if *from == router)
    });
    let index = found.expect("a write is in flight");
    let Delivery::Call { ticket, call, .. } = world.deliveries.remove(index) else {
        unreachable!("the delivery is a call");
    };
    world.store.apply(call);
    let reply = PlatformReply::Unknown;
    world.deliveries.push(Delivery::Reply {
        router,
        ticket,
        reply,
    });
}

/// Advances time until a write by `router` to an object below `prefix` is in flight.
pub fn run_to_write(world: &mut AccountingWorld, router: usize, prefix: &str) {
    let is_wanted = |delivery: &Delivery| match delivery {
        Delivery::Call {
            router: from,
            call: PlatformCall::Write { key, .. },
            ..
        } => *from == router && key.as_str().starts_with(prefix),
        _ => false,
    };
    for _ in 0..5_000 {
        if world.deliveries.iter().any(is_wanted) {
            return;
        }
        if world.deliveries.is_empty() {
            world.advance(50);
        } else {
            world.deliver(0);
        }
    }
    panic!("the router did not write below the prefix");
}
