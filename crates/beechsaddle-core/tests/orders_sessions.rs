//! Golden sessions of orders to engines under failure. `UPDATE_GOLDEN=1` writes the files anew.

mod once_support;
mod orders_support;

use beechsaddle_core::members::MemberLiveness;
use beechsaddle_core::orders::OrderOptions;
use beechsaddle_core::target::OrderOutcome;
use once_support::check_golden;
use orders_support::{OrderBench, Parcel, model, state};

/// Two routers and one engine; the first number is the picked router's, the second the other's.
fn one_engine(checks_fence: bool) -> (OrderBench, usize, usize) {
    let hosts = ["anis", "beifuss"];
    let mut bench = OrderBench::new(&OrderOptions::default(), &hosts, 1, checks_fence);
    for node in 0..hosts.len() {
        bench.declare(node, 1, &[model("bora", 1)]);
    }
    let picked = bench.picked(0, 0);
    (bench, picked, 1 - picked)
}

/// Lets `other` take over from a frozen router and put a newer catalogue into force.
fn take_over(bench: &mut OrderBench, frozen: usize, other: usize) {
    bench.set_liveness(other, frozen, MemberLiveness::Down);
    bench.declare(other, 2, &[model("bora", 2)]);
    bench.run(2_000);
    assert_eq!(bench.engines[0].state, state("bora", 2));
}

// A new version is declared. The engine gets one order with a fencing number, reaches the declared
// state, and hears nothing more.
#[test]
fn order_declared_version() {
    let (mut bench, _, _) = one_engine(true);
    bench.run(60_000);
    assert_eq!(bench.engines[0].state, state("bora", 1));
    assert_eq!(bench.orders(), 1);
    check_golden("orders_declared_version", &bench.transcript);
}

// The router that orders is frozen with its order not yet sent. Another takes over and orders the
// next version. The first wakes up and its old order goes out: the engine has seen a higher number
// and refuses it, and the router does not overtake the newer catalogue.
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

// The same with an engine that ignores the number: the old order takes effect. The router in charge
// sees the old version reported and repeats its own order until the declared one is.
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

// The router is frozen between asking for the number and reading the answer, which says that the
// number is still its own. By the time it goes on, another router is in charge. It has to ask again,
// for this engine would take the old order.
#[test]
fn order_answer_read_after_freeze() {
    let (mut bench, picked, other) = one_engine(false);
    bench.engines[0].load_ms = 20_000;
    bench.run(15_000);
    bench.run_until(|parcel| matches!(parcel, Parcel::Reply { .. }));
    bench.freeze(picked);
    bench.engines[0].load_ms = 0;
    take_over(&mut bench, picked, other);
    let orders_before = bench.orders();
    bench.resume(picked);
    bench.run(60_000);
    assert_eq!(bench.engines[0].state, state("bora", 2));
    assert_eq!(bench.orders(), orders_before);
}

// The router has taken its number and is frozen before it reads so. Another one takes the next and
// orders the next version of an engine that ignores numbers. What the first one reads when it goes
// on is true and too old to act upon.
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

// Two routers cannot hear each other, and both think that they are picked. Each takes a number in
// turn and orders the same state once; then the engine reports it and both are content.
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

// One of two routers that both think they are picked has missed a change of the catalogue. It must
// not bring the replaced version back, whoever ordered last.
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

// Two routers hear each other, and for a while both think that they are picked, while the engine
// takes its time. The second leaves the first one alone instead of overtaking it at every check.
#[test]
fn order_live_rival() {
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

// The answer to taking a number is lost. Nothing is ordered before the number is read back: had the
// write failed, two routers would order with one number.
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

// The platform has lost the fencing numbers, and the engine refuses the first ones. The router
// takes number after number until it has overtaken the engine's.
#[test]
fn order_numbers_lost() {
    let (mut bench, _, _) = one_engine(true);
    bench.engines[0].fence = 4;
    bench.run(30_000);
    assert_eq!(bench.engines[0].state, state("bora", 1));
    assert_eq!(bench.engines[0].fence, 4);
}

// Ten engines have to load at once through a weight store that serves two at a time, and the domain
// is set to three. The third is told to come back later: no load is started until then, no more
// than two ever run, and all engines get there.
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
    assert_eq!(bench.most_loads, 2);
    let throttled =
        |order: &&(u64, _, OrderOutcome)| matches!(order.2, OrderOutcome::Throttled { .. });
    let orders = bench.engines.iter().flat_map(|engine| &engine.orders);
    assert!(orders.filter(throttled).count() <= 10, "{}", bench.orders());
    check_golden("orders_loads_throttled", &bench.transcript);
}

// The domain is set to two loads at once. Of twelve engines two load at a time, although the weight
// store would serve all.
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
    assert_eq!(bench.most_loads, 2);
    assert_eq!(bench.orders(), 12);
    assert!(
        bench
            .engines
            .iter()
            .all(|engine| engine.state == state("bora", 1))
    );
}

// Four routers share a domain's rate of loads. In the first minute they start as many as the domain
// may, and not four times as many.
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

fn is_order(parcel: &Parcel) -> bool {
    matches!(parcel, Parcel::Order { .. })
}

fn is_write(parcel: &Parcel) -> bool {
    use beechsaddle_core::platform::PlatformCall;
    matches!(
        parcel,
        Parcel::Call {
            call: PlatformCall::Write { .. },
            ..
        }
    )
}
