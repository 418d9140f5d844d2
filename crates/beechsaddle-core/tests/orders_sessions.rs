//! Golden sessions of orders to engines under faults. `UPDATE_GOLDEN=1` rewrites the files.

mod dedup_support;
mod orders_support;

use beechsaddle_core::members::MemberLiveness;
use beechsaddle_core::orders::OrderOptions;
use beechsaddle_core::target::OrderOutcome;
use dedup_support::check_golden;
use orders_support::{Envelope, OrderBench, model, state};

/// Creates two routers and one engine; returns the picked router's index, then the other's.
fn one_engine(checks_fence: bool) -> (OrderBench, usize, usize) {
    let hosts = ["anis", "beifuss"];
    let mut bench = OrderBench::new(&OrderOptions::default(), &hosts, 1, checks_fence);
    for node in 0..hosts.len() {
        bench.declare(node, 1, &[model("bora", 1)]);
    }
    let picked = bench.picked(0, 0);
    (bench, picked, 1 - picked)
}

/// Lets `other` take over from a frozen router and apply a newer catalogue.
fn take_over(bench: &mut OrderBench, frozen: usize, other: usize) {
    bench.set_liveness(other, frozen, MemberLiveness::Down);
    bench.declare(other, 2, &[model("bora", 2)]);
    bench.run(2_000);
    assert_eq!(bench.engines[0].state, state("bora", 2));
}

// A new version is declared. The engine must get a single order with a fencing number and reach the
// declared state.
#[test]
fn order_declared_version() {
    let (mut bench, _, _) = one_engine(true);
    bench.run(60_000);
    assert_eq!(bench.engines[0].state, state("bora", 1));
    assert_eq!(bench.orders(), 1);
    check_golden("orders_declared_version", &bench.transcript);
}

// A router is frozen before its order is sent, and another router takes over and orders the next
// version. When the first resumes, its old order must be rejected by the engine, which has seen a
// higher number, and the router must not take over from the newer catalogue.
#[test]
fn order_frozen_issuer_engine_checks() {
    let (mut bench, picked, other) = one_engine(true);
    bench.run_until(is_order);
    bench.freeze(picked);
    take_over(&mut bench, picked, other);
    bench.resume(picked);
    bench.run(60_000);
    assert_eq!(bench.engines[0].state, state("bora", 2));
    let fenced = |order: &&(u64, _, OrderOutcome)| order.2 == OrderOutcome::Fenced;
    assert_eq!(bench.engines[0].orders.iter().filter(fenced).count(), 1);
    assert_eq!(bench.orders(), 2);
    check_golden("orders_frozen_engine_checks", &bench.transcript);
}

// A frozen router resumes and sends its old order to an engine that ignores the fencing number, so
// the order takes effect. The router in charge must repeat its own order until the engine reports
// the declared version.
#[test]
fn order_frozen_issuer_engine_ignores() {
    let (mut bench, picked, other) = one_engine(false);
    bench.run_until(is_order);
    bench.freeze(picked);
    take_over(&mut bench, picked, other);
    bench.resume(picked);
    bench.run(60_000);
    assert_eq!(bench.engines[0].state, state("bora", 2));
    assert_eq!(bench.orders(), 3);
    check_golden("orders_frozen_engine_ignores", &bench.transcript);
}

// A router is frozen between the read of the fencing number and the reply, which shows the number
// as its own. When it resumes, another router is in charge. It must read again, since this engine
// would accept the old order.
#[test]
fn order_answer_read_after_freeze() {
    let (mut bench, picked, other) = one_engine(false);
    bench.engines[0].load_ms = 20_000;
    bench.run(15_000);
    bench.run_until(|envelope| matches!(envelope, Envelope::Reply { .. }));
    bench.freeze(picked);
    bench.engines[0].load_ms = 0;
    take_over(&mut bench, picked, other);
    let orders_before = bench.orders();
    bench.resume(picked);
    bench.run(60_000);
    assert_eq!(bench.engines[0].state, state("bora", 2));
    assert_eq!(bench.orders(), orders_before);
}

// A router is frozen before it reads that its fencing number was written. Another router claims the
// next number and orders the next version of an engine that ignores numbers. The first must not act
// on the outdated reply.
#[test]
fn order_claim_read_after_freeze() {
    let (mut bench, picked, other) = one_engine(false);
    bench.run_until(is_write);
    bench.deliver(0);
    bench.freeze(picked);
    take_over(&mut bench, picked, other);
    bench.resume(picked);
    bench.run(60_000);
    assert_eq!(bench.engines[0].state, state("bora", 2));
    assert_eq!(bench.orders(), 1);
}

// Two routers are partitioned, and both act as the router in charge. Each must claim a
// number and order the same state only once.
#[test]
fn order_two_issuers() {
    for checks_fence in [true, false] {
        let (mut bench, picked, other) = one_engine(checks_fence);
        bench.engines[0].load_ms = 10_000;
        bench.set_liveness(picked, other, MemberLiveness::Down);
        bench.set_liveness(other, picked, MemberLiveness::Down);
        bench.run(60_000);
        assert_eq!(bench.engines[0].state, state("bora", 1));
        assert_eq!(bench.orders(), 2);
        check_golden(
            &format!("orders_two_issuers_{checks_fence}"),
            &bench.transcript,
        );
    }
}

// Two routers both act as the router in charge, and one has missed a catalogue change. It must not
// restore the replaced version, whichever ordered last.
#[test]
fn order_older_catalogue() {
    let (mut bench, picked, other) = one_engine(false);
    bench.set_liveness(picked, other, MemberLiveness::Down);
    bench.set_liveness(other, picked, MemberLiveness::Down);
    bench.run(2_000);
    assert_eq!(bench.engines[0].state, state("bora", 1));
    bench.declare(other, 2, &[model("bora", 2)]);
    bench.run(120_000);
    assert_eq!(bench.engines[0].state, state("bora", 2));
    let last = bench.engines[0].orders.last().map(|order| &order.1);
    assert_eq!(last, Some(&state("bora", 2)));
}

// Two connected routers briefly both act as the router in charge while the engine loads. The second
// must wait for the first instead of taking over at every check.
#[test]
fn order_live_competitor() {
    let (mut bench, picked, other) = one_engine(true);
    bench.engines[0].load_ms = 25_000;
    bench.run(1_000);
    assert_eq!(bench.orders(), 1);
    bench.set_liveness(other, picked, MemberLiveness::Down);
    bench.run(500);
    bench.set_liveness(other, picked, MemberLiveness::Live);
    bench.run(60_000);
    assert_eq!(bench.engines[0].state, state("bora", 1));
    assert!(bench.engines[0].fence <= 2, "{:?}", bench.engines[0].orders);
}

// The reply to the write of a fencing number is lost. No order may be sent before the number is
// read back: if the write had failed, two routers could use one number.
#[test]
fn order_claim_answer_lost() {
    let (mut bench, _, _) = one_engine(true);
    bench.run_until(is_write);
    bench.lose_answer(0);
    bench.deliver_all();
    assert_eq!(bench.orders(), 0);
    bench.run(10_000);
    assert_eq!(bench.engines[0].state, state("bora", 1));
    assert_eq!(bench.engines[0].fence, 1);
    assert_eq!(bench.orders(), 1);
}

// The platform has lost the fencing numbers, and the engine rejects the first ones. The router must
// claim numbers until they exceed the engine's.
#[test]
fn order_fencing_numbers_lost() {
    let (mut bench, _, _) = one_engine(true);
    bench.engines[0].fence = 4;
    bench.run(30_000);
    assert_eq!(bench.engines[0].state, state("bora", 1));
    assert_eq!(bench.engines[0].fence, 4);
}

// Ten engines load through a weight store that serves two loads at once, and the domain allows
// three. The third load is throttled: no load may start before the requested delay, no more than
// two ever run, and all engines reach the declared state.
#[test]
fn order_loads_throttled() {
    let options = OrderOptions {
        domain_loads_at_once: 3,
        domain_loads_per_minute: 60,
        ..OrderOptions::default()
    };
    let mut bench = OrderBench::new(&options, &["anis"], 10, true);
    bench.declare(0, 1, &[model("bora", 1)]);
    bench.store_loads = 2;
    for engine in &mut bench.engines {
        engine.load_ms = 8_000;
    }
    bench.run(120_000);
    for engine in &bench.engines {
        assert_eq!(engine.state, state("bora", 1), "{}", engine.target);
    }
    assert_eq!(bench.max_loads, 2);
    let throttled =
        |order: &&(u64, _, OrderOutcome)| matches!(order.2, OrderOutcome::Throttled { .. });
    let orders = bench.engines.iter().flat_map(|engine| &engine.orders);
    assert!(orders.filter(throttled).count() <= 10, "{}", bench.orders());
    check_golden("orders_loads_throttled", &bench.transcript);
}

// The domain allows two concurrent loads. Of twelve engines only two may load at a time, although
// the weight store would serve all.
#[test]
fn order_loads_bounded() {
    let options = OrderOptions {
        domain_loads_at_once: 2,
        domain_loads_per_minute: 600,
        ..OrderOptions::default()
    };
    let mut bench = OrderBench::new(&options, &["anis"], 12, true);
    bench.declare(0, 1, &[model("bora", 1)]);
    for engine in &mut bench.engines {
        engine.load_ms = 5_000;
    }
    bench.run(60_000);
    assert_eq!(bench.max_loads, 2);
    assert_eq!(bench.orders(), 12);
    assert!(
        bench
            .engines
            .iter()
            .all(|engine| engine.state == state("bora", 1))
    );
}

// Four routers share a domain's rate of loads. In the first minute they must start no more than the
// domain's limit, not four times as many.
#[test]
fn order_loads_rate_shared() {
    let options = OrderOptions {
        domain_loads_at_once: 100,
        domain_loads_per_minute: 12,
        ..OrderOptions::default()
    };
    let hosts = ["anis", "beifuss", "dill", "estragon"];
    let mut bench = OrderBench::new(&options, &hosts, 60, true);
    for node in 0..hosts.len() {
        bench.declare(node, 1, &[model("bora", 1)]);
    }
    bench.run(59_900);
    assert!((9..=16).contains(&bench.orders()), "{}", bench.orders());
}

fn is_order(envelope: &Envelope) -> bool {
    matches!(envelope, Envelope::Order { .. })
}

fn is_write(envelope: &Envelope) -> bool {
    use beechsaddle_core::platform::PlatformCall;
    matches!(
        envelope,
        Envelope::Call {
            call: PlatformCall::Write { .. },
            ..
        }
    )
}
