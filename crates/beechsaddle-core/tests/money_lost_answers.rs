//! Golden sessions in which the platform carries out a write and its answer is lost.
//!
//! `BEECHSADDLE_BLESS=1` writes the golden files anew.

mod money_world;

use beechsaddle_core::platform::PlatformCall;
use money_world::Flight;
use money_world::session_steps::{
    BUDGET, admitted, close, die, holder_of, lose_answer, run_call, run_to_write, world_of,
};

/// Each kind of write takes effect once at the platform while its answer is lost.
/// The writer reads back and finds its own write: one grant, one bill, one top-up, and no fence.
#[test]
fn answer_lost_each_write() {
    let mut world = world_of(&["d1"], 3_000);
    let call = world.call(0, BUDGET, None, 100);
    // The announcement in the journal.
    lose_answer(&mut world, 0);
    world.run(250);
    while !matches!(
        world.flights.first(),
        Some(Flight::Call {
            call: PlatformCall::Write { .. },
            ..
        })
    ) {
        if world.flights.is_empty() {
            world.advance(50);
        } else {
            world.deliver(0);
        }
    }
    // The grant in the ledger, or the mark in the journal, whichever is under way.
    lose_answer(&mut world, 0);
    world.run(1_500);
    assert!(admitted(&world, &call));
    world.serve(&call, 60);
    world.settle(&call);
    world.advance(500);
    // The bill in the journal.
    lose_answer(&mut world, 0);
    world.run(1_500);
    world.top_up(BUDGET, "first", 3_000);
    let account = close(&mut world);
    assert_eq!(account.paid(), 3_000);
    assert_eq!((account.settled, account.bills), (60, 1));
    assert_eq!(account.written_off, 0);
    let journals: Vec<&str> = world
        .store
        .segments
        .keys()
        .filter_map(|key| key.as_str().split('/').nth(1))
        .collect();
    assert!(
        journals.iter().all(|journal| *journal == "r0@1.1"),
        "no life was lost"
    );
    world.check_golden("answer_lost_each_write");
}

/// A holder gives part of its grant back, and the answer to that write is lost.
/// The tokens go to a holder of another domain at once. The first one, which does not know yet
/// whether its write took effect, must not reserve as if it had not: its caller waits or is
/// refused, and no token is spent twice.
#[test]
fn grant_returned_answer_lost() {
    let mut world = world_of(&["d1", "d2"], 10_000);
    let call = run_call(&mut world, 0, 3_000, 10);
    world.settle(&call);
    // The first write that gives back a good part of the grant.
    let after = loop {
        let before = world.account(BUDGET).granted();
        run_to_write(&mut world, 0, "ledger/");
        lose_answer(&mut world, 0);
        let after = world.account(BUDGET).granted();
        if after + 300 < before {
            break after;
        }
        world.settle_network();
    };
    let rest = world.account(BUDGET).free();
    let taken = world.call(1, BUDGET, None, rest);
    while world.calls[&taken].admitted.is_none() {
        let index = world.flights.iter().position(|flight| match flight {
            Flight::Call { router, .. } | Flight::Reply { router, .. } => *router == 1,
            Flight::Peer { .. } | Flight::Straggler { .. } => false,
        });
        world.deliver(index.expect("the other holder goes on"));
    }
    assert!(admitted(&world, &taken), "the returned tokens are there");
    let more = world.call(0, BUDGET, None, after + 100);
    world.run(2_000);
    assert!(!admitted(&world, &more), "they are not spent twice");
    for call in [&taken, &more] {
        world.serve(call, 10_000);
        world.settle(call);
    }
    let account = close(&mut world);
    assert_eq!(account.settled, world.served());
    world.check_golden("grant_returned_answer_lost");
}

/// A holder lowers its mark, the answer to that write is lost, and the holder dies.
/// Whoever fences it counts only the lower mark as spent. So a call that came in between must not
/// be reserved below the old mark, or its tokens would be spent and given back.
#[test]
fn mark_lowered_answer_lost() {
    let mut world = world_of(&["d1", "d1"], 10_000);
    let holder = holder_of(&world, 0..2);
    let call = run_call(&mut world, holder, 3_000, 10);
    world.settle(&call);
    let low = loop {
        run_to_write(&mut world, holder, "journal/");
        lose_answer(&mut world, holder);
        let segment = world.store.segments.values().next_back();
        let mark = segment.and_then(|segment| segment.marks.get(BUDGET).copied());
        match mark {
            Some(mark) if mark < 2_500 => break mark,
            Some(_) | None => world.settle_network(),
        }
    };
    let late = world.call(holder, BUDGET, None, 2_600);
    assert!(!admitted(&world, &late), "the mark may be {low} already");
    world.serve(&late, 2_600);
    die(&mut world, holder);
    let account = close(&mut world);
    assert!(account.settled + account.written_off >= world.served());
    world.check_golden("mark_lowered_answer_lost");
}
