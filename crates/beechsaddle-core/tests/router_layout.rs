//! Tests of routers that do not know the fleet's layout yet.

mod fleet_setup;
mod router_support;

use beechsaddle_core::call::CallRoute;

use router_support::{ANSWER_USAGE, RouterWorld};

/// The number of restarts. Each picks other routers for the former process's journal.
const RESTARTS: u64 = 20;

fn call(world: &mut RouterWorld, entry: usize, wait_ms: u64) {
    let route = CallRoute::Chat {
        model: "glas".into(),
    };
    let arrival = world.arrival(entry, route);
    let call = world.call_for(entry, arrival, wait_ms);
    assert_eq!(world.refused.get(&call), None);
}

// A router that restarts is handed bills against its former process's journal before it knows the
// layout. With the shards of its settings it would take that journal for folded, fold the bills
// before the journal, and the ledger would drop them.
#[test]
fn bill_handed_over_before_the_layout_is_known_is_counted() {
    let mut world = RouterWorld::new(3, 100_000);
    world.is_platform_slow = true;
    for restart in 1..=RESTARTS {
        // The third call's bill waits for the next segment, since the second's has just been
        // written.
        call(&mut world, 0, 3_000);
        let holder = (0..3).find(|router| !world.routers[*router].grants().is_empty());
        let holder = holder.expect("a router holds a grant");
        call(&mut world, (holder + 1) % 3, 200);
        call(&mut world, (holder + 1) % 3, 200);
        // No other router folds the former process's journal before the next call.
        world.cut_off = (0..3).filter(|router| *router != holder).collect();
        world.restart_proposing(holder, 64);
        world.run(2_000);
        call(&mut world, holder, 1_000);
        world.cut_off.clear();
        world.run(30_000);
        let account = world.account();
        assert_eq!(
            (account.bills, account.settled),
            (4 * restart, 4 * restart * ANSWER_USAGE.total()),
            "after restart {restart} of router {holder}: {account:?}"
        );
    }
}
