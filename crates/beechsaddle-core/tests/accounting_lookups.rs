//! Tests of requests that name budgets of other workspaces or budgets that do not exist.

mod accounting_world;

use std::collections::BTreeSet;

use accounting_world::AccountingWorld;
use accounting_world::session_steps::{BUDGET, admitted, refusal, world_of};
use beechsaddle_core::prelude::*;

/// Returns the size of a router's accounting state, as the length of its debug text.
fn manager_size(world: &mut AccountingWorld, router: usize) -> usize {
    let size = world.with_manager(router, |manager, _, _, _| format!("{manager:?}").len());
    size.expect("the router runs")
}

/// Returns the budgets that any journal segment ever named.
fn journalled(world: &AccountingWorld) -> BTreeSet<BudgetName> {
    let segments = world.store.segments.values();
    segments
        .flat_map(|segment| segment.marks.keys().cloned())
        .collect()
}

fn assert_foreign(world: &AccountingWorld, call: &CallId) {
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

// A caller names a budget that another workspace paid for, before and while its router holds a
// grant of it. Serving it would let one workspace spend what another paid for.
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

// A removed budget still has free tokens, as after a router that was cut off returned some. Its own
// workspace may not spend them, since the budget is no longer declared.
#[test]
fn admit_removed_budget_is_foreign() {
    let mut world = world_of(&["d1"], 1_000);
    world.edit_account(BUDGET, |account| account.is_removed = true);
    let call = world.call(0, BUDGET, None, 100);
    world.run(300);
    assert_foreign(&world, &call);
}

// A caller names a budget before operators declare it. It is refused, then admitted once the budget
// exists and the recheck period has passed.
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

// A caller with a valid key names 3,000 non-existent budgets, each once, within 15 s. Every call is
// refused without running. If each name were looked up and retained, the names would fill the
// holder's memory and journal and cost one platform read each.
#[test]
fn admit_many_unknown_budgets_bounds_memory_and_reads() {
    let mut world = world_of(&["d1"], 1_000_000);
    let own = world.call(0, BUDGET, None, 100);
    world.run(1_000);
    assert!(admitted(&world, &own));
    world.serve(&own, 10);
    world.settle(&own);
    let size_before = manager_size(&mut world, 0);
    let calls_before = world.store.calls;
    let mut largest = 0;
    for number in 0..3_000 {
        let key = format!("key-{number}");
        world.call(0, &format!("made-up-{number}"), Some(&key), 100);
        if number % 10 == 9 {
            world.run(50);
            largest = largest.max(manager_size(&mut world, 0));
            world.log.clear();
        }
        if number % 100 == 99 {
            let own = world.call(0, BUDGET, None, 10);
            world.run(50);
            assert!(
                admitted(&world, &own),
                "the workspace's own budget admits calls"
            );
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
    assert!(names <= 1 + 4, "the journal names {names} budgets");
    let calls = world.store.calls - calls_before;
    assert!(
        calls < 400,
        "{calls} platform calls for 3,000 unknown names"
    );
    assert!(
        largest < size_before + 10_000,
        "accounting state grew from {size_before} to {largest}"
    );
    world.run(70_000);
    let size_after = manager_size(&mut world, 0);
    assert!(
        size_after < size_before + 3_000,
        "accounting state is still {size_after} after pruning"
    );
}

// A caller invents 1,000 names during a platform outage. Every call is refused with a reason that
// permits a retry; no name can be looked up, and the retained state must stay small.
#[test]
fn admit_many_unknown_budgets_in_outage_bounds_memory() {
    let mut world = world_of(&["d1"], 1_000);
    let own = world.call(0, BUDGET, None, 100);
    world.run(1_000);
    assert!(admitted(&world, &own));
    let size_before = manager_size(&mut world, 0);
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
    let size = manager_size(&mut world, 0);
    assert!(
        size < size_before + 30_000,
        "accounting state grew from {size_before} to {size}"
    );
}

// One workspace invents names while another uses a budget for the first time. The second one must
// not wait for the lookups of the first.
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

// After a workspace named a budget that it does not have, its next budget is looked up before the
// journal names it. The first call on that budget must be admitted within the usual wait.
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
