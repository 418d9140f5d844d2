//! Tests of budgets that callers name and that are not theirs, or nobody's.

mod money_world;

use std::collections::BTreeSet;

use beechsaddle_core::prelude::*;
use money_world::MoneyWorld;
use money_world::session_steps::{BUDGET, admitted, refusal, world_of};

/// How much a router keeps, as the length of its text form.
fn desk_size(world: &mut MoneyWorld, router: usize) -> usize {
    let size = world.with_desk(router, |desk, _, _, _| format!("{desk:?}").len());
    size.expect("the router runs")
}

/// The budgets that any journal segment ever named.
fn journalled(world: &MoneyWorld) -> BTreeSet<BudgetName> {
    let segments = world.store.segments.values();
    segments
        .flat_map(|segment| segment.marks.keys().cloned())
        .collect()
}

fn assert_foreign(world: &MoneyWorld, call: &CallId) {
    let refusal = refusal(world, call);
    assert_eq!(
        (refusal.reason, refusal.ran),
        (RefusalReason::ForeignBudget, RanState::No)
    );
}

#[test]
fn admit_unknown_budget_is_foreign() {
    let mut world = world_of(&["d1", "d1"], 1_000);
    for entry in [0, 1] {
        for bound in [100, 0] {
            let call = world.call(entry, "nowhere", Some("retry"), bound);
            world.run(300);
            assert_foreign(&world, &call);
        }
    }
    assert_eq!(world.account(BUDGET).settled, 0);
}

// The caller names a budget that another workspace paid for, once before and once while its router
// holds a grant of it. Were it served, one customer would spend what another paid.
#[test]
fn admit_budget_of_another_workspace_is_foreign() {
    let mut world = world_of(&["d1"], 1_000);
    world.workspace = "stranger".into();
    let early = world.call(0, BUDGET, None, 100);
    world.run(300);
    assert_foreign(&world, &early);
    assert_eq!(world.account(BUDGET).grants.len(), 0, "no grant was taken");
    world.workspace = "tenant".into();
    let own = world.call(0, BUDGET, None, 100);
    world.run(300);
    assert!(admitted(&world, &own));
    world.run(5_000);
    world.workspace = "stranger".into();
    for bound in [100, 0] {
        let late = world.call(0, BUDGET, None, bound);
        assert_foreign(&world, &late);
    }
}

// Operators removed a budget, and tokens of a router that was cut off came back to it since then.
// Its own workspace may not spend them: the budget is no longer declared.
#[test]
fn admit_removed_budget_is_foreign() {
    let mut world = world_of(&["d1"], 1_000);
    world.edit_account(BUDGET, |account| account.is_removed = true);
    let call = world.call(0, BUDGET, None, 100);
    world.run(300);
    assert_foreign(&world, &call);
}

// A budget is named before operators declare it: the caller is refused, and admitted once the
// budget is there and the time has passed after which it is looked up again.
#[test]
fn admit_budget_declared_later_is_admitted() {
    let mut world = world_of(&["d1"], 1_000);
    let early = world.call(0, "south", None, 100);
    world.run(300);
    assert_foreign(&world, &early);
    world.top_up("south", "first", 1_000);
    world.run(1_000);
    let late = world.call(0, "south", None, 100);
    world.run(1_000);
    assert!(admitted(&world, &late));
}

// A caller with a valid key names 3,000 budgets that nobody has, each once, within 15 s. Every call
// is refused and did not run. Looked up and kept one by one, the names would fill the holder's
// memory and journal and take a read of the platform each.
#[test]
fn admit_many_unknown_budgets_costs_little() {
    let mut world = world_of(&["d1"], 1_000_000);
    let own = world.call(0, BUDGET, None, 100);
    world.run(1_000);
    assert!(admitted(&world, &own));
    world.serve(&own, 10);
    world.settle(&own);
    let size_before = desk_size(&mut world, 0);
    let calls_before = world.store.calls;
    let mut largest = 0;
    for number in 0..3_000 {
        let key = format!("key-{number}");
        world.call(0, &format!("made-up-{number}"), Some(&key), 100);
        if number % 10 == 9 {
            world.run(50);
            largest = largest.max(desk_size(&mut world, 0));
            world.log.clear();
        }
        if number % 100 == 99 {
            let own = world.call(0, BUDGET, None, 10);
            world.run(50);
            assert!(admitted(&world, &own), "the workspace's own budget serves");
            world.serve(&own, 10);
            world.settle(&own);
        }
    }
    world.run(1_000);
    for reason in world.reasons().into_iter().flatten() {
        let is_right = matches!(
            reason,
            RefusalReason::ForeignBudget | RefusalReason::BudgetUnreachable
        );
        assert!(is_right, "{reason:?}");
    }
    let refused = world.reasons().into_iter().flatten().count();
    assert_eq!(refused, 3_000);
    let names = journalled(&world).len();
    assert!(names <= 1 + 4, "{names} names are in the journal");
    let calls = world.store.calls - calls_before;
    assert!(calls < 400, "{calls} calls of the platform");
    assert!(
        largest < size_before + 10_000,
        "grew from {size_before} to {largest}"
    );
    world.run(70_000);
    let size_after = desk_size(&mut world, 0);
    assert!(size_after < size_before + 3_000, "{size_after} are left");
}

// The platform is down while a caller makes up 1,000 names. Every call is refused and can come back;
// none can be looked up, and what is kept of them stays small all the same.
#[test]
fn admit_many_unknown_budgets_in_an_outage_keeps_little() {
    let mut world = world_of(&["d1"], 1_000);
    let own = world.call(0, BUDGET, None, 100);
    world.run(1_000);
    assert!(admitted(&world, &own));
    let size_before = desk_size(&mut world, 0);
    world.is_platform_down = true;
    world.run(3_000);
    for number in 0..1_000 {
        world.call(0, &format!("made-up-{number}"), None, 100);
        if number % 10 == 9 {
            world.run(50);
        }
    }
    world.run(1_000);
    let reasons = world.reasons().into_iter().flatten();
    let unreachable = reasons.filter(|reason| *reason == RefusalReason::BudgetUnreachable);
    assert_eq!(unreachable.count(), 1_000);
    let size = desk_size(&mut world, 0);
    assert!(
        size < size_before + 30_000,
        "grew from {size_before} to {size}"
    );
}

// One workspace makes up names while another uses a budget for the first time. The second must not
// wait for the names of the first.
#[test]
fn admit_while_another_workspace_makes_up_names() {
    let mut world = world_of(&["d1"], 1_000);
    world.workspace = "stranger".into();
    for number in 0..500 {
        world.call(0, &format!("made-up-{number}"), None, 100);
    }
    world.workspace = "tenant".into();
    let own = world.call(0, BUDGET, None, 100);
    world.run(300);
    assert!(admitted(&world, &own));
}

// A workspace is not trusted any more after a wrong name: its next budget is looked up before the
// journal names it. The first call on it is served all the same, within the usual wait.
#[test]
fn admit_after_wrong_name_looks_up_first() {
    let mut world = world_of(&["d1"], 1_000);
    let wrong = world.call(0, "nowhere", None, 100);
    world.run(300);
    assert_foreign(&world, &wrong);
    let own = world.call(0, BUDGET, None, 100);
    world.run(100);
    assert!(admitted(&world, &own));
}
