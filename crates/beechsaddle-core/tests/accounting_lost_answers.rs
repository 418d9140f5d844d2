//! Golden sessions in which the platform applies a write but its reply is lost.
//!
//! `BEECHSADDLE_BLESS=1` rewrites the golden files.

mod accounting_world;

use accounting_world::Delivery;
use accounting_world::session_steps::{
    BUDGET, admitted, drain_all, holder_of, kill, lose_answer, run_call, run_to_write, world_of,
};
use beechsaddle_core::platform::PlatformCall;

/// Each kind of write takes effect once while its reply is lost. The writer must read back and
/// recognise its own write: one grant, one bill, one top-up, and no fence.
#[test]
fn answer_lost_each_write() {
    let mut world = world_of(&["d1"], 3_000);
    let call = world.call(0, BUDGET, None, 100);
    // The announcement in the journal.
    lose_answer(&mut world, 0);
    world.run(250);
    while !matches!(
        world.deliveries.first(),
        Some(Delivery::Call {
            call: PlatformCall::Write { .. },
            ..
        })
    ) {
        if world.deliveries.is_empty() {
            world.advance(50);
        } else {
            world.deliver(0);
        }
    }
    // The grant in the ledger or the mark in the journal, whichever is in flight.
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
    let account = drain_all(&mut world);
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
        "no journal was fenced"
    );
    world.check_golden("answer_lost_each_write");
}

/// A holder returns part of its grant and the reply to that write is lost; a holder of another
/// domain takes the tokens at once. The first holder does not know whether its write took effect
/// and must not reserve beyond the smaller grant, or tokens would be spent twice.
#[test]
fn grant_returned_answer_lost() {
    let mut world = world_of(&["d1", "d2"], 10_000);
    let call = run_call(&mut world, 0, 3_000, 10);
    world.settle(&call);
    // The first write that returns a large part of the grant.
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
    let remainder = world.account(BUDGET).free();
    let taken = world.call(1, BUDGET, None, remainder);
    while world.calls[&taken].admitted.is_none() {
        let index = world.deliveries.iter().position(|delivery| match delivery {
            Delivery::Call { router, .. } | Delivery::Reply { router, .. } => *router == 1,
            Delivery::Peer { .. } | Delivery::DelayedCall { .. } => false,
        });
        world.deliver(index.expect("the other holder has a delivery pending"));
    }
    assert!(admitted(&world, &taken), "the returned tokens can be spent");
    let more = world.call(0, BUDGET, None, after + 100);
    world.run(2_000);
    assert!(
        !admitted(&world, &more),
        "the returned tokens are not spent twice"
    );
    for call in [&taken, &more] {
        world.serve(call, 10_000);
        world.settle(call);
    }
    let account = drain_all(&mut world);
    assert_eq!(account.settled, world.served());
    world.check_golden("grant_returned_answer_lost");
}

/// A holder lowers its mark, the reply to that write is lost, and the holder dies. A router that
/// fences it counts only the lower mark as spent, so a call in between must not be reserved below
/// the old mark; its tokens would be spent and also returned.
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
    assert!(
        !admitted(&world, &late),
        "the durable mark may already be {low}"
    );
    world.serve(&late, 2_600);
    kill(&mut world, holder);
    let account = drain_all(&mut world);
    assert!(account.settled + account.written_off >= world.served());
    world.check_golden("mark_lowered_answer_lost");
}
