//! Tests of routers that know no other router of their domain yet.

mod fleet_setup;
mod router_support;

use beechsaddle_core::call::CallRoute;
use beechsaddle_core::event::TICK_MS;

use router_support::{ANSWER_USAGE, RouterWorld};

/// The maximum time to the end of a call, in milliseconds.
const CALL_MS: u64 = 5_000;

/// Three routers, one of which has just started and has not heard of the others.
fn world_with_new_router() -> RouterWorld {
    let mut world = RouterWorld::new(3, 100_000);
    world.are_peers_cut = true;
    world.restart(0);
    world.run(1_000);
    world.is_platform_slow = true;
    world
}

/// Makes a call at the new router and returns the time to the end of its answer, in milliseconds.
fn time_call(world: &mut RouterWorld) -> u64 {
    let route = CallRoute::Chat {
        model: "glas".into(),
    };
    let arrival = world.arrival(0, route);
    let started_at = world.now;
    let call = world.call_for(0, arrival, 0);
    while !world.finished.contains(&call) {
        assert_eq!(world.refused.get(&call), None);
        assert!(world.now.since(started_at) < CALL_MS, "the call has no end");
        world.run(TICK_MS);
    }
    world.now.since(started_at)
}

// A router answers calls before it has heard of its peers, and is killed right after the end of an
// answer. No other router has the usage, so the bill must be in the journal by then.
#[test]
fn answer_ended_before_peers_are_known_is_billed() {
    let mut world = world_with_new_router();
    // The second call needs neither a grant nor a mark, and its bill follows a segment that has
    // just been written.
    for _ in 0..2 {
        time_call(&mut world);
    }
    world.are_peers_cut = false;
    world.restart(0);
    world.run(60_000);
    let account = world.account();
    let billed = (account.bills, account.settled);
    assert_eq!(billed, (2, 2 * ANSWER_USAGE.total()), "{account:?}");
}

// Without other routers and without the platform, nothing can keep the usage. Answers must end
// nevertheless, and without the wait for either.
#[test]
fn answer_ends_without_peers_and_platform() {
    let mut world = world_with_new_router();
    time_call(&mut world);
    world.run(1_000);
    world.is_platform_down = true;
    world.run(10_000);
    let span_ms = time_call(&mut world);
    assert!(span_ms <= 2 * TICK_MS, "{span_ms} ms");
    world.is_platform_down = false;
    world.run(60_000);
    assert_eq!(world.account().bills, 2);
}
