//! Tests of whole calls through complete router cores.

mod fleet_setup;
mod router_support;

use beechsaddle_core::call::{AnswerEnd, AttemptFailure, CallEvent, CallRoute};
use beechsaddle_core::prelude::*;

use router_support::{ANSWER_USAGE, RouterWorld, TargetScript};

fn chat() -> CallRoute {
    CallRoute::Chat {
        model: "glas".into(),
    }
}

fn notify() -> CallRoute {
    CallRoute::Service {
        service: "notify".into(),
    }
}

fn set_all(world: &mut RouterWorld, script: TargetScript) {
    for target in ["engine-1", "engine-2", "notify-1", "notify-2"] {
        world.scripts.insert(target.into(), script);
    }
}

#[test]
fn call_answered_is_billed_once() {
    let mut world = RouterWorld::new(3, 100_000);
    for router in 0..3 {
        let arrival = world.arrival(router, chat());
        let call = world.call(router, arrival);
        assert_eq!(world.refused.get(&call), None);
        assert!(world.finished.contains(&call));
    }
    world.run(30_000);
    assert_eq!(world.dispatched.len(), 3);
    assert_eq!(
        world.bills().values().sum::<u64>(),
        3 * ANSWER_USAGE.total()
    );
    assert_eq!(world.account().bills, 3);
    assert_eq!(world.account().settled, 3 * ANSWER_USAGE.total());
}

#[test]
fn refused_call_is_not_billed() {
    let mut world = RouterWorld::new(1, 100_000);
    let mut foreign = world.arrival(0, chat());
    foreign.budget = Some("others".into());
    let mut unknown_caller = world.arrival(0, chat());
    unknown_caller.key_digest.0[0] = 0;
    let unknown = world.arrival(
        0,
        CallRoute::Chat {
            model: "none".into(),
        },
    );
    let engine = world.arrival(
        0,
        CallRoute::Service {
            service: "pool".into(),
        },
    );
    let mut keyless = world.arrival(0, notify());
    keyless.repeatable = Some(false);
    let mut late = world.arrival(0, chat());
    late.deadline = Some(world.now);
    let cases = [
        (foreign, RefusalReason::ForeignBudget),
        (unknown_caller, RefusalReason::UnknownKey),
        (unknown, RefusalReason::UnknownService),
        (engine, RefusalReason::NotAllowed),
        (keyless, RefusalReason::BadRequest),
        (late, RefusalReason::DeadlineExceeded),
    ];
    for (arrival, reason) in cases {
        let call = world.call(0, arrival);
        let refusal = &world.refused[&call];
        assert_eq!((refusal.reason, refusal.ran), (reason, RanState::No));
    }
    world.run(10_000);
    assert_eq!(world.dispatched.len(), 0);
    assert_eq!(world.account().settled, 0);
    assert_eq!(world.routers[0].open_calls(), 0);
}

// A call names a budget of its workspace that is not the default, and that only the ledger knows.
#[test]
fn call_uses_a_budget_that_is_not_the_default() {
    let mut world = RouterWorld::new(1, 100_000);
    world.add_budget("spare", 50_000);
    let mut arrival = world.arrival(0, chat());
    arrival.budget = Some("spare".into());
    let call = world.call(0, arrival);
    assert!(world.finished.contains(&call));
    world.run(10_000);
    assert_eq!(world.account().bills, 0);
    assert_eq!(world.account_of("spare").bills, 1);
}

// The first target accepts no connection, so the call did not run there. The second target answers,
// and one answer is billed.
#[test]
fn retry_connect_failed_goes_to_another_target() {
    let mut world = RouterWorld::new(1, 100_000);
    for target in ["notify-1", "engine-1"] {
        let script = TargetScript::Fail(AttemptFailure::ConnectFailed);
        world.scripts.insert(target.into(), script);
    }
    for _ in 0..4 {
        let mut arrival = world.arrival(0, notify());
        arrival.repeatable = Some(false);
        arrival.idempotency = Some(arrival.call.to_string().as_str().into());
        let call = world.call(0, arrival);
        assert!(
            world.finished.contains(&call),
            "{:?}",
            world.refused.get(&call)
        );
    }
    world.run(10_000);
    assert_eq!(world.account().bills, 4);
}

// A target breaks the connection after a not-repeatable request was sent, so its outcome is
// unknown. A second call with the same key must reach no target through any router, and the
// possible cost of the first is billed once.
#[test]
fn not_repeatable_lost_connection_runs_once() {
    let mut world = RouterWorld::new(2, 100_000);
    set_all(
        &mut world,
        TargetScript::Fail(AttemptFailure::ConnectionLost),
    );
    let mut first = world.arrival(0, notify());
    first.repeatable = Some(false);
    first.idempotency = Some("payout-7".into());
    let mut second = world.arrival(1, notify());
    second.repeatable = Some(false);
    second.idempotency = Some("payout-7".into());
    let first = world.call(0, first);
    let refusal = &world.refused[&first];
    assert_eq!(refusal.reason, RefusalReason::OutcomeUnknown);
    assert_eq!(refusal.ran, RanState::Unknown);
    set_all(&mut world, TargetScript::Answer);
    let second = world.call(1, second);
    assert!(world.refused.contains_key(&second));
    assert_eq!(world.dispatched.len(), 1);
    world.run(10_000);
    assert_eq!(world.account().bills, 1);
    assert_eq!(world.account().settled, 5);
}

// The caller disconnects while its reservation is pending. Nothing may be dispatched or billed, and
// the reservation must be returned.
#[test]
fn caller_gone_before_dispatch_is_not_billed() {
    let mut world = RouterWorld::new(1, 100_000);
    let arrival = world.arrival(0, chat());
    let call = arrival.call.clone();
    world.is_platform_down = true;
    world.send(0, CoreEvent::Call(CallEvent::Arrived(Box::new(arrival))));
    world.send(
        0,
        CoreEvent::Call(CallEvent::CallerGone {
            call,
            last_attempt: None,
        }),
    );
    world.run(200);
    world.is_platform_down = false;
    world.run(10_000);
    assert_eq!(world.dispatched.len(), 0);
    assert_eq!(world.account().bills, 0);
    assert_eq!(world.routers[0].open_calls(), 0);
}

// The caller disconnects at the moment of its dispatch, and the edge sends nothing and raises no
// further event. The call must not stay open: its reservation would never be returned, and a drain
// would never end.
#[test]
fn caller_gone_as_dispatched_ends_call() {
    for repeatable in [true, false] {
        let mut world = RouterWorld::new(1, 100_000);
        set_all(&mut world, TargetScript::Silent);
        let mut arrival = world.arrival(0, notify());
        arrival.repeatable = Some(repeatable);
        arrival.idempotency = Some("payout-7".into());
        let call = world.call(0, arrival);
        assert_eq!(world.dispatched.len(), 1);
        world.send(
            0,
            CoreEvent::Call(CallEvent::CallerGone {
                call,
                last_attempt: None,
            }),
        );
        world.run(10_000);
        assert_eq!(world.routers[0].open_calls(), 0);
        assert_eq!(world.account().bills, 0);
        set_all(&mut world, TargetScript::Answer);
        let mut again = world.arrival(0, notify());
        again.repeatable = Some(repeatable);
        again.idempotency = Some("payout-7".into());
        let again = world.call(0, again);
        assert!(world.finished.contains(&again), "{:?}", world.refused);
        world.send(0, CoreEvent::Drain);
        world.run(10_000);
        assert_eq!(world.exited, vec![0]);
    }
}

// A target's answer ends early. The relayed tokens are billed once.
#[test]
fn truncated_answer_bills_relayed_tokens() {
    let mut world = RouterWorld::new(2, 100_000);
    set_all(&mut world, TargetScript::Stall);
    let arrival = world.arrival(0, chat());
    let call = world.call(0, arrival);
    world.end_answer(0, AnswerEnd::Truncated);
    world.run(10_000);
    assert!(!world.finished.contains(&call));
    assert_eq!(world.account().settled, ANSWER_USAGE.total());
    assert_eq!(world.account().bills, 1);
}

// The answer to an attempt that timed out arrives after the next attempt started. It must be
// ignored: the caller gets only the second target's answer, and only that is billed.
#[test]
fn answer_of_an_earlier_attempt_is_ignored() {
    let mut world = RouterWorld::new(1, 100_000);
    set_all(&mut world, TargetScript::Stall);
    let slow = TargetScript::Fail(AttemptFailure::TimedOut);
    world.scripts.insert("engine-1".into(), slow);
    while world
        .dispatched
        .last()
        .is_none_or(|attempt| attempt.ordinal == 0)
    {
        let arrival = world.arrival(0, chat());
        world.call(0, arrival);
    }
    let running = world.dispatched.last().expect("a second attempt").clone();
    let late = AttemptId {
        call: running.call.clone(),
        ordinal: 0,
    };
    let event = CallEvent::AnswerEnded {
        attempt: late,
        end: AnswerEnd::Complete,
        usage: ANSWER_USAGE,
    };
    world.send(0, CoreEvent::Call(event));
    world.run(1_000);
    assert!(!world.finished.contains(&running.call));
    world.end_answer(0, AnswerEnd::Complete);
    assert!(world.finished.contains(&running.call));
}

// A router drains while an answer streams for 45 seconds. The stream continues to its end, a new
// call is refused with a `Retry-After`, and the router exits only after its bill is durable and its
// grant returned.
#[test]
fn drain_waits_for_open_streams() {
    let mut world = RouterWorld::new(1, 100_000);
    set_all(&mut world, TargetScript::Stall);
    let arrival = world.arrival(0, chat());
    let call = world.call(0, arrival);
    world.send(0, CoreEvent::Drain);
    world.run(45_000);
    assert_eq!(world.stopped_accepting, vec![0]);
    assert!(world.exited.is_empty());
    let late = world.arrival(0, chat());
    let late = world.call(0, late);
    assert_eq!(world.refused[&late].reason, RefusalReason::Draining);
    assert!(world.refused[&late].retry_after_ms.is_some());
    world.end_answer(0, AnswerEnd::Complete);
    assert!(world.finished.contains(&call));
    world.run(10_000);
    assert_eq!(world.exited, vec![0]);
    assert_eq!(world.account().settled, ANSWER_USAGE.total());
    assert!(
        world.account().grants.is_empty(),
        "{:?}",
        world.account().grants
    );
}

// A router's host is replaced during an outage of the platform. The new router must receive the
// catalogue and the layout from its peers and serve calls out of the grant that a peer still holds.
#[test]
fn restart_in_an_outage_serves_with_state_from_peers() {
    let mut world = RouterWorld::new(3, 100_000);
    for router in 0..3 {
        let arrival = world.arrival(router, chat());
        world.call(router, arrival);
    }
    let holder = world
        .routers
        .iter()
        .position(|router| !router.grants().is_empty());
    let restarted = (holder.expect("a router holds the budget") + 1) % 3;
    world.is_platform_down = true;
    world.restart(restarted);
    world.run(5_000);
    let arrival = world.arrival(restarted, chat());
    let call = world.call(restarted, arrival);
    assert!(
        world.finished.contains(&call),
        "{:?}",
        world.refused.get(&call)
    );
}

// A budget's holder is killed just after one of its own calls was answered, and restarts at once as
// a new incarnation. The backup router has a usage copy; the bill must reach the ledger once,
// whatever part of it was journalled.
#[test]
fn holder_restarted_after_answer_bills_once() {
    for delay_ms in (0..=2_000).step_by(50) {
        let mut world = RouterWorld::new(3, 100_000);
        let arrival = world.arrival(0, chat());
        world.call(0, arrival);
        let holder = world
            .routers
            .iter()
            .position(|router| !router.grants().is_empty());
        let holder = holder.expect("a router holds the budget");
        let arrival = world.arrival(holder, chat());
        let call = world.call_for(holder, arrival, delay_ms);
        let answered = world.finished.contains(&call);
        world.restart(holder);
        world.run(30_000);
        let arrival = world.arrival(holder, chat());
        let last = world.call(holder, arrival);
        assert!(
            world.finished.contains(&last),
            "{:?}",
            world.refused.get(&last)
        );
        world.run(30_000);
        let bills = 2 + u64::from(answered);
        assert!(
            world.account().bills >= bills,
            "{delay_ms} ms: {:?}",
            world.account()
        );
        assert!(
            world.account().bills <= 3,
            "{delay_ms} ms: {:?}",
            world.account()
        );
    }
}

// A router dies while its call waits at the budget's holder for a grant, and restarts as a new
// incarnation before the grant arrives. No router would ever end a reservation for that call, so
// none may be made, and the grant returns to the budget.
#[test]
fn reservation_for_a_dead_router_is_not_made() {
    let mut world = RouterWorld::new(2, 100_000);
    let arrival = world.arrival(0, chat());
    world.call(0, arrival);
    let holder = world
        .routers
        .iter()
        .position(|router| !router.grants().is_empty());
    let entry = 1 - holder.expect("a router holds the budget");
    world.run(200_000);
    assert_eq!(world.account().granted(), 0);
    world.is_platform_down = true;
    let arrival = world.arrival(entry, chat());
    world.call_for(entry, arrival, 100);
    world.restart(entry);
    world.run(100);
    world.is_platform_down = false;
    world.run(200_000);
    assert_eq!(world.dispatched.len(), 1);
    assert_eq!(world.account().granted(), 0, "{:?}", world.account());
}

// A holder's write to return unused tokens does not reach the platform. The holder already counts
// on the smaller grant and must retry by itself: the tokens would otherwise be missing to all other
// routers until the next call.
#[test]
fn failed_grant_return_is_retried() {
    let mut world = RouterWorld::new(1, 100_000);
    let arrival = world.arrival(0, chat());
    world.call(0, arrival);
    world.run(30_000);
    world.lost_ledger_writes = 1;
    world.run(200_000);
    assert_eq!(world.lost_ledger_writes, 0);
    assert_eq!(world.account().granted(), 0, "{:?}", world.account());
}

// The caller disconnects at the moment of its dispatch, and the edge raises only the caller's
// disconnect. The call must end, or it would stay open with its reservation and block a graceful
// shutdown.
#[test]
fn caller_gone_while_dispatched_ends_the_call() {
    let mut world = RouterWorld::new(1, 100_000);
    set_all(&mut world, TargetScript::Silent);
    let mut arrival = world.arrival(0, notify());
    arrival.repeatable = Some(false);
    arrival.idempotency = Some("payout-8".into());
    let call = world.call(0, arrival.clone());
    assert_eq!(world.dispatched.len(), 1);
    world.send(
        0,
        CoreEvent::Call(CallEvent::CallerGone {
            call,
            last_attempt: None,
        }),
    );
    world.run(10_000);
    assert_eq!(world.routers[0].open_calls(), 0);
    assert_eq!(world.account().bills, 0);
    set_all(&mut world, TargetScript::Answer);
    arrival.call.number = 1_000;
    let again = world.call(0, arrival);
    assert!(
        world.finished.contains(&again),
        "{:?}",
        world.refused.get(&again)
    );
}

// An entry router dies in the middle of a stream, while its host stays on the platform's lagging
// list. A retry with the same key through another router must not be refused as still running until
// the list is updated, since the entry router sends no heartbeats. Whichever call is billed, there
// is one bill.
#[test]
fn key_of_unresponsive_entry_router_can_run_again() {
    let mut world = RouterWorld::new(3, 100_000);
    let arrival = world.arrival(0, chat());
    world.call(0, arrival);
    let holder = world
        .routers
        .iter()
        .position(|router| !router.grants().is_empty());
    let holder = holder.expect("a router holds the budget");
    let (entry, other) = ((holder + 1) % 3, (holder + 2) % 3);
    set_all(&mut world, TargetScript::Stall);
    let mut first = world.arrival(entry, chat());
    first.idempotency = Some("claim-1".into());
    world.call(entry, first);
    world.exited.push(entry);
    set_all(&mut world, TargetScript::Answer);
    let mut early = world.arrival(other, chat());
    early.idempotency = Some("claim-1".into());
    let early = world.call(other, early);
    assert_eq!(world.refused[&early].reason, RefusalReason::InProgress);
    world.run(3_000);
    let mut again = world.arrival(other, chat());
    again.idempotency = Some("claim-1".into());
    let again = world.call(other, again);
    assert!(
        world.finished.contains(&again),
        "{:?}",
        world.refused.get(&again)
    );
    world.run(20_000);
    assert_eq!(world.account().bills, 2);
    assert_eq!(world.account().settled, 2 * ANSWER_USAGE.total());
}

// A workspace with a few calls a minute is idle when the platform becomes unreachable. The holder's
// large grant must serve the next call: a high-water mark that had shrunk below one call's bound
// would refuse the first call of every outage.
#[test]
fn outage_after_an_idle_period_serves_the_next_call() {
    let mut world = RouterWorld::new(3, 100_000);
    let arrival = world.arrival(0, chat());
    world.call(0, arrival);
    world.run(40_000);
    world.is_platform_down = true;
    let arrival = world.arrival(0, chat());
    let call = world.call(0, arrival);
    assert!(
        world.finished.contains(&call),
        "{:?}",
        world.refused.get(&call)
    );
}

// An attempt fails after its bytes were sent, and its event waits for room in the ring. The
// caller's disconnect overtakes it. The call may have run, so its key must stay taken, or the next
// call with it would run a second time.
#[test]
fn caller_gone_overtakes_failed_attempt() {
    let mut world = RouterWorld::new(1, 100_000);
    set_all(&mut world, TargetScript::Silent);
    let mut arrival = world.arrival(0, notify());
    arrival.repeatable = Some(false);
    arrival.idempotency = Some("payout-9".into());
    let call = world.call(0, arrival.clone());
    let attempt = world.dispatched.last().expect("an attempt").clone();
    let last_attempt = Some(attempt.clone());
    world.send(
        0,
        CoreEvent::Call(CallEvent::CallerGone { call, last_attempt }),
    );
    let failure = AttemptFailure::ConnectionLost;
    world.send(
        0,
        CoreEvent::Call(CallEvent::AttemptFailed { attempt, failure }),
    );
    world.run(5_000);
    assert_eq!(world.routers[0].open_calls(), 0);
    set_all(&mut world, TargetScript::Answer);
    arrival.call.number = 1_000;
    let again = world.call(0, arrival);
    assert!(world.refused.contains_key(&again));
    assert_eq!(world.dispatched.len(), 1);
}
