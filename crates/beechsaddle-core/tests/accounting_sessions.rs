//! Golden sessions of accounting under failures: events, actions of the managers, and the resulting
//! ledger.
//!
//! `BEECHSADDLE_BLESS=1` rewrites the golden files.

mod accounting_world;

use accounting_world::session_steps::{
    BUDGET, admitted, drain_all, holder_of, kill, other_than, refusal, run_call, world_of,
};
use beechsaddle_core::members::MemberLiveness;
use beechsaddle_core::prelude::*;

/// Callers at all five routers of two domains use one budget until each is refused. Every refusal
/// must name exhaustion and a retry delay. Without failures everything served is billed exactly and
/// no grant remains.
#[test]
fn exhaustion_all_routers() {
    let mut world = world_of(&["d1", "d1", "d1", "d2", "d2"], 600);
    for round in 0..4 {
        for entry in 0..5 {
            let call = run_call(&mut world, entry, 60, 30 + round);
            world.settle(&call);
        }
    }
    let refused: Vec<RefusalReason> = world.reasons().into_iter().flatten().collect();
    assert!(!refused.is_empty(), "the budget runs out");
    assert!(
        refused
            .iter()
            .all(|reason| *reason == RefusalReason::BudgetExhausted)
    );
    let account = drain_all(&mut world);
    assert_eq!(account.settled, world.served());
    assert_eq!(account.written_off, 0);
    // Each of the two holders refuses only requests that exceed what it can reach.
    assert!(account.free() < 2 * 60, "left {} of 600", account.free());
    world.check_golden("exhaustion_all_routers");
}

/// An entry router dies during a call and the caller retries with the same key. While the old entry
/// router may be alive, the retry is refused because the key is running. Once it is gone, its run
/// is billed provisionally and the retry runs. Only the larger run is billed; the tokens of the
/// smaller one were generated too and are written off.
#[test]
fn entry_killed_caller_retries() {
    let mut world = world_of(&["d1", "d1", "d1"], 2_000);
    let holder = holder_of(&world, 0..3);
    let entry = other_than(holder, 0..3);
    let other = (0..3).find(|index| *index != holder && *index != entry);
    let other = other.expect("there are three routers");
    let first = world.call(entry, BUDGET, Some("claim"), 100);
    world.run(1_000);
    world.serve(&first, 40);
    world.run(2_000);
    world.crash(entry);
    let early = world.call(other, BUDGET, Some("claim"), 100);
    world.run(500);
    assert_eq!(refusal(&world, &early).reason, RefusalReason::InProgress);
    world.set_liveness(entry, MemberLiveness::Gone);
    world.run(500);
    let retry = world.call(other, BUDGET, Some("claim"), 100);
    world.run(1_000);
    assert!(admitted(&world, &retry));
    world.serve(&retry, 70);
    world.settle(&retry);
    let account = drain_all(&mut world);
    assert_eq!((account.settled, account.bills), (70, 1));
    assert!(account.written_off >= 40, "both runs were consumed");
    assert!(
        account.written_off <= 100,
        "no more than the first bound is lost"
    );
    world.check_golden("entry_killed_caller_retries");
}

/// The holder dies while two calls run that it reserved for. Their entry routers hand them to the
/// successor, which fences the dead holder's journal and takes both bills against the write-off.
/// Tokens above the mark become free.
#[test]
fn holder_killed_entries_hand_over() {
    let mut world = world_of(&["d1", "d1", "d1"], 10_000);
    let holder = holder_of(&world, 0..3);
    let entries: Vec<usize> = (0..3).filter(|index| *index != holder).collect();
    let calls: Vec<CallId> = entries
        .iter()
        .map(|entry| run_call(&mut world, *entry, 100, 50))
        .collect();
    let grants = world.with_manager(holder, |manager, _, _, _| manager.grants());
    let grant = grants.expect("the holder runs").remove(0);
    assert!(
        grant.granted > grant.mark,
        "some of the grant is above the mark"
    );
    kill(&mut world, holder);
    world.run(2_000);
    let fenced = world.account(BUDGET);
    assert_eq!(fenced.written_off, grant.mark - grant.spent);
    for call in &calls {
        world.settle(call);
        world.run(1_500);
        assert!(
            world.calls[call].is_released,
            "the last part of the response is released"
        );
    }
    let account = drain_all(&mut world);
    assert_eq!((account.settled, account.bills), (100, 2));
    assert_eq!(account.written_off, grant.mark - grant.spent - 100);
    world.check_golden("holder_killed_entries_hand_over");
}

/// The holder is suspended by its host, taken for gone, fenced, and resumes. It must spend nothing
/// more in the closed journal: a new call gets a grant in a new journal. Its late bills are taken
/// against the write-off, and the remainder is released once all its calls have ended.
#[test]
fn holder_frozen_fenced_resumed() {
    let mut world = world_of(&["d1", "d1"], 3_000);
    let holder = holder_of(&world, 0..2);
    let call = run_call(&mut world, holder, 200, 80);
    let journal = format!("{}.1", world.slots[holder].router);
    world.slots[holder].is_frozen = true;
    world.set_liveness(holder, MemberLiveness::Gone);
    world.run(3_000);
    let fenced = world.account(BUDGET);
    assert!(fenced.written_off >= 200, "the reservation is written off");
    assert!(
        fenced.grants.keys().all(|name| name.as_str() != journal),
        "the fenced journal has no grant"
    );
    world.slots[holder].is_frozen = false;
    world.set_liveness(holder, MemberLiveness::Live);
    let next = run_call(&mut world, holder, 300, 120);
    assert!(admitted(&world, &next));
    world.settle(&call);
    world.settle(&next);
    let account = drain_all(&mut world);
    assert_eq!((account.settled, account.bills), (200, 2));
    assert_eq!(account.written_off, 0, "the whole write-off is released");
    world.check_golden("holder_frozen_fenced_resumed");
}

/// Calls continue during a platform outage of one hour. They are admitted up to the durable mark,
/// then refused at once with a retry delay. After the outage every bill is folded and calls are
/// admitted again.
#[test]
fn platform_down_for_an_hour() {
    let mut world = world_of(&["d1"], 100_000);
    for _ in 0..5 {
        let call = run_call(&mut world, 0, 100, 90);
        world.settle(&call);
    }
    world.run(2_000);
    world.is_platform_down = true;
    let mut served = 0;
    let mut refused = 0;
    for _ in 0..60 {
        let call = world.call(0, BUDGET, None, 100);
        world.advance(50);
        world.settle_network();
        if admitted(&world, &call) {
            served += 1;
            world.serve(&call, 90);
            world.settle(&call);
        } else if world.calls[&call].admitted.is_some() {
            let refusal = refusal(&world, &call);
            assert_eq!(refusal.reason, RefusalReason::BudgetUnreachable);
            assert!(refusal.retry_after_ms.is_some());
            refused += 1;
        }
        world.advance(60_000);
        world.settle_network();
    }
    assert!(served > 0, "the mark admits the first calls of the outage");
    assert!(refused > 0, "the mark is reached before the outage ends");
    world.is_platform_down = false;
    world.run(2_000);
    let call = run_call(&mut world, 0, 100, 90);
    assert!(admitted(&world, &call));
    world.settle(&call);
    let account = drain_all(&mut world);
    assert_eq!(account.settled, world.served());
    assert_eq!(account.written_off, 0);
    world.check_golden("platform_down_for_an_hour");
}

/// One domain is cut off from the other and from the platform, then the budget is topped up. The
/// connected side spends the top-up, the other one only what its mark covered. After healing the
/// ledger is exact and the other side can spend the top-up too.
#[test]
fn domains_cut_top_up_on_one_side() {
    let mut world = world_of(&["d1", "d2"], 1_000);
    for entry in 0..2 {
        let call = run_call(&mut world, entry, 100, 80);
        world.settle(&call);
    }
    world.run(2_000);
    world.cut_domains.insert("d2".into());
    world.top_up(BUDGET, "second", 4_000);
    let mut sides = [0, 0];
    for _ in 0..12 {
        for (entry, side) in sides.iter_mut().enumerate() {
            let call = run_call(&mut world, entry, 100, 100);
            *side += world.calls[&call].served;
            world.settle(&call);
        }
    }
    assert!(
        sides[0] > 1_000,
        "the connected side spends the top-up: {sides:?}"
    );
    assert!(
        sides[1] < 1_000,
        "the disconnected side stays within its mark: {sides:?}"
    );
    world.cut_domains.clear();
    world.run(5_000);
    let call = run_call(&mut world, 1, 100, 100);
    assert!(admitted(&world, &call), "the top-up reaches the other side");
    world.settle(&call);
    let account = drain_all(&mut world);
    assert_eq!(account.settled, world.served());
    assert_eq!(account.written_off, 0);
    world.check_golden("domains_cut_top_up_on_one_side");
}

/// The holder dies during a platform outage. The entry router's call goes on and is settled, but no
/// router can fence until the outage ends. Then the journal is closed and the waiting bill is taken
/// against the write-off.
#[test]
fn outage_and_holder_death() {
    let mut world = world_of(&["d1", "d1", "d1"], 5_000);
    let holder = holder_of(&world, 0..3);
    let entry = other_than(holder, 0..3);
    let call = run_call(&mut world, entry, 100, 70);
    world.is_platform_down = true;
    world.run(500);
    kill(&mut world, holder);
    world.settle(&call);
    world.run(2_000);
    assert!(
        world.calls[&call].is_released,
        "the last part is released despite the outage"
    );
    let late = world.call(entry, BUDGET, None, 100);
    world.run(1_500);
    assert_eq!(
        refusal(&world, &late).reason,
        RefusalReason::BudgetUnreachable
    );
    world.is_platform_down = false;
    let account = drain_all(&mut world);
    assert_eq!((account.settled, account.bills), (70, 1));
    world.check_golden("outage_and_holder_death");
}

/// A domain is cut off and its holder suspended; the other members report it as gone but cannot
/// reach the platform to fence it. After healing, the holder resumes while it is being fenced. It
/// must spend no further than its last mark and find the fence at its next journal write; its
/// earlier reservation is billed late.
#[test]
fn cut_and_freeze() {
    let mut world = world_of(&["d1", "d2", "d2"], 4_000);
    let holder = holder_of(&world, 1..3);
    let entry = other_than(holder, 1..3);
    let call = run_call(&mut world, entry, 100, 60);
    world.cut_domains.insert("d2".into());
    world.slots[holder].is_frozen = true;
    world.set_liveness(holder, MemberLiveness::Gone);
    world.settle(&call);
    let own_call = run_call(&mut world, 0, 100, 50);
    world.settle(&own_call);
    world.run(2_000);
    assert!(
        world.account(BUDGET).closed.is_empty(),
        "no router could fence the journal"
    );
    world.cut_domains.clear();
    world.run(1_000);
    world.slots[holder].is_frozen = false;
    world.set_liveness(holder, MemberLiveness::Live);
    let account = drain_all(&mut world);
    assert_eq!((account.settled, account.bills), (110, 2));
    let fences = world
        .log
        .iter()
        .filter(|line| line.contains("own_journal_fenced"));
    assert_eq!(
        fences.count(),
        1,
        "the resumed holder detects its fence once"
    );
    world.check_golden("cut_and_freeze");
}

/// Entry router and holder die together during a call, so its usage is lost. The holder's mark
/// covers it and is written off; the caller's retry with the same key is billed once.
#[test]
fn entry_and_holder_die() {
    let mut world = world_of(&["d1", "d1", "d1"], 4_000);
    let holder = holder_of(&world, 0..3);
    let entry = other_than(holder, 0..3);
    let call = world.call(entry, BUDGET, Some("listing"), 100);
    world.run(1_000);
    world.serve(&call, 55);
    kill(&mut world, entry);
    kill(&mut world, holder);
    world.run(3_000);
    let last = (0..3).find(|index| *index != holder && *index != entry);
    let last = last.expect("there are three routers");
    let retry = world.call(last, BUDGET, Some("listing"), 100);
    world.run(1_500);
    world.serve(&retry, 90);
    world.settle(&retry);
    let account = drain_all(&mut world);
    assert_eq!((account.settled, account.bills), (90, 1));
    assert!(
        account.written_off >= 55,
        "the write-off covers the generated tokens"
    );
    world.check_golden("entry_and_holder_die");
}

/// All routers of a domain die at once and new processes start on the same hosts, so no member
/// reports the old ones as gone. The first reader of the ledger must fence the grant of a process
/// that a later one on its host has replaced, and callers can spend what was not marked.
#[test]
fn domain_restarted_grant_returns() {
    let mut world = world_of(&["d1"], 3_000);
    let call = run_call(&mut world, 0, 1_000, 400);
    assert!(admitted(&world, &call));
    world.crash(0);
    let restarted = world.start("r0", 2, "d1");
    let next = run_call(&mut world, restarted, 500, 300);
    assert!(admitted(&world, &next));
    world.settle(&next);
    world.run(3_000);
    let account = world.account(BUDGET);
    assert!(account.grants.keys().all(|name| name.as_str() != "r0@1.1"));
    assert!(
        account.written_off >= 1_000,
        "the reservation is written off"
    );
    let account = drain_all(&mut world);
    assert_eq!((account.settled, account.bills), (300, 1));
    assert!(account.settled + account.written_off >= world.served());
    world.check_golden("domain_restarted_grant_returns");
}
