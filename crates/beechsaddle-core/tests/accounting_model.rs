//! Random interleavings of calls, faults and membership changes, checked against the accounting
//! invariants.

mod accounting_world;

use accounting_world::model_step::Step;
use accounting_world::{AccountingWorld, Delivery, test_options};
use beechsaddle_core::accounting::AccountingOptions;
use beechsaddle_core::members::MemberLiveness;
use beechsaddle_core::prelude::*;
use quickcheck::{Gen, QuickCheck};

const BUDGETS: [&str; 2] = ["north", "south"];
const KEYS: [&str; 3] = ["k1", "k2", "k3"];

fn pick<T>(items: &[T], number: u8) -> Option<&T> {
    items.get(usize::from(number).checked_rem(items.len())?)
}

/// Returns the index of a delivery among those that `wanted` selects.
fn pick_delivery(
    world: &AccountingWorld,
    number: u8,
    wanted: fn(&Delivery) -> bool,
) -> Option<usize> {
    let found: Vec<usize> = (0..world.deliveries.len())
        .filter(|index| wanted(&world.deliveries[*index]))
        .collect();
    pick(&found, number).copied()
}

fn is_peer(delivery: &Delivery) -> bool {
    matches!(delivery, Delivery::Peer { .. })
}

fn is_call(delivery: &Delivery) -> bool {
    matches!(delivery, Delivery::Call { .. })
}

fn take_step(world: &mut AccountingWorld, step: &Step) {
    let routers = world.slots.len() as u8;
    match *step {
        Step::Call {
            router,
            budget,
            key,
            bound,
        } => {
            let router = usize::from(router % routers);
            let slot = &world.slots[router];
            if slot.manager.is_some() && !slot.is_frozen && !slot.is_draining {
                let key = KEYS.get(usize::from(key % 8)).copied();
                // A key always comes with the same budget, as docs/API.md requires of callers.
                let budget = key.map_or(budget, |key| key.as_bytes()[1]);
                let budget = BUDGETS[usize::from(budget % 2)];
                world.call(router, budget, key, u64::from(bound) + 1);
            }
        }
        Step::Serve { call, tokens } => {
            let calls: Vec<CallId> = world.calls.keys().cloned().collect();
            if let Some(call) = pick(&calls, call) {
                world.serve(call, u64::from(tokens));
            }
        }
        Step::Settle { call } => {
            let calls: Vec<CallId> = world.calls.keys().cloned().collect();
            if let Some(call) = pick(&calls, call) {
                world.settle(call);
            }
        }
        Step::Deliver { delivery, count } => {
            for offset in 0..=count {
                let number = delivery.wrapping_add(offset.wrapping_mul(7));
                if let Some(index) = pick_delivery(world, number, |_| true) {
                    world.deliver(index);
                }
            }
        }
        Step::DropMessage { delivery } => {
            if let Some(index) = pick_delivery(world, delivery, is_peer) {
                world.deliveries.remove(index);
            }
        }
        Step::DuplicateMessage { delivery } => {
            if let Some(index) = pick_delivery(world, delivery, is_peer) {
                let copy = world.deliveries[index].clone();
                world.deliveries.push(copy);
            }
        }
        Step::LoseAnswer { delivery } => inject_loss(world, delivery, LossKind::Answer),
        Step::LoseCall { delivery } => inject_loss(world, delivery, LossKind::Call),
        Step::DelayCall { delivery } => inject_loss(world, delivery, LossKind::Delayed),
        Step::Advance { ticks } => world.advance(u64::from(ticks) * 50),
        Step::Run { ticks } => world.run(u64::from(ticks) * 50),
        Step::Crash { router } => {
            let alive = world.slots.iter().filter(|slot| slot.manager.is_some());
            if alive.count() > 1 {
                world.crash(usize::from(router % routers));
                world.slots[usize::from(router % routers)].has_crashed = true;
            }
        }
        Step::Freeze { router } => {
            world.slots[usize::from(router % routers)].is_frozen = true;
        }
        Step::Thaw { router } => thaw(world, usize::from(router % routers)),
        Step::Down { router } => {
            let router = usize::from(router % routers);
            if !world.slots[router].is_gone {
                world.set_liveness(router, MemberLiveness::Down);
            }
        }
        Step::Gone { router } => {
            let router = usize::from(router % routers);
            let slot = &world.slots[router];
            if slot.is_frozen || slot.manager.is_none() {
                world.set_liveness(router, MemberLiveness::Gone);
            }
        }
        Step::Start => {
            if world.slots.len() < 6 {
                let host = format!("r{}", world.slots.len());
                let domain = if world.slots.len().is_multiple_of(2) {
                    "d1"
                } else {
                    "d2"
                };
                world.start(&host, 1, domain);
            }
        }
        Step::TopUp { budget, id } => {
            world.top_up(BUDGETS[usize::from(budget % 2)], &format!("t{id}"), 400);
        }
        Step::Platform { is_down } => world.is_platform_down = is_down,
        Step::Drain { router } => {
            let router = usize::from(router % routers);
            let alive = world.slots.iter().filter(|slot| !slot.is_draining);
            if alive.count() > 1 {
                world.drain(router);
            }
        }
    }
}

enum LossKind {
    Answer,
    Call,
    Delayed,
}

fn inject_loss(world: &mut AccountingWorld, number: u8, kind: LossKind) {
    let Some(index) = pick_delivery(world, number, is_call) else {
        return;
    };
    let Delivery::Call {
        router,
        ticket,
        call,
    } = world.deliveries.remove(index)
    else {
        return;
    };
    match kind {
        LossKind::Answer => {
            world.store.apply(call);
        }
        LossKind::Call => {}
        LossKind::Delayed => world.deliveries.push(Delivery::DelayedCall { call }),
    }
    world.deliveries.push(Delivery::Reply {
        router,
        ticket,
        reply: beechsaddle_core::platform::PlatformReply::Unknown,
    });
}

fn thaw(world: &mut AccountingWorld, router: usize) {
    world.slots[router].is_frozen = false;
    if world.slots[router].manager.is_some() {
        world.set_liveness(router, MemberLiveness::Live);
    }
}

/// Checks the invariants that hold after every step.
fn check_invariants(world: &AccountingWorld) -> Result<(), String> {
    for shard in 0..world.options.shard_count {
        if let Some(ledger) = world.store.ledger(shard) {
            ledger
                .check_invariant()
                .map_err(|error| error.to_string())?;
        }
    }
    for budget in BUDGETS {
        let served: u64 = world
            .calls
            .values()
            .filter(|record| record.budget.as_str() == budget)
            .map(|record| record.served)
            .sum();
        let paid = world.account(budget).paid();
        if served > paid {
            return Err(format!("{budget}: served {served} tokens, paid {paid}"));
        }
    }
    Ok(())
}

/// Ends every fault and call and drains every router in turn.
fn heal(world: &mut AccountingWorld) -> Result<(), String> {
    world.is_platform_down = false;
    for router in 0..world.slots.len() {
        thaw(world, router);
    }
    world.start("last1", 1, "d1");
    world.start("last2", 1, "d2");
    world.run(2_000);
    check_invariants(world)?;
    for router in 0..world.slots.len() {
        if world.slots[router].manager.is_none() {
            world.set_liveness(router, MemberLiveness::Gone);
        }
    }
    world.run(10_000);
    let calls: Vec<CallId> = world.calls.keys().cloned().collect();
    for call in &calls {
        world.settle(call);
    }
    world.run(20_000);
    check_invariants(world)?;
    // The last two routers take over the bills of the others and are drained last.
    for router in 0..world.slots.len() {
        world.drain(router);
        world.run(10_000);
        let slot = &world.slots[router];
        if slot
            .manager
            .as_ref()
            .is_some_and(|manager| !manager.is_drained())
        {
            return Err(format!("{} is not drained", slot.router));
        }
        world.crash(router);
        world.set_liveness(router, MemberLiveness::Gone);
    }
    Ok(())
}

fn check_healed(world: &AccountingWorld) -> Result<(), String> {
    check_invariants(world)?;
    for budget in BUDGETS {
        let account = world.account(budget);
        // A router that dies between a checkpoint and the removal of a returned grant leaves a
        // grant of 0 tokens.
        if account.granted() > 0 {
            return Err(format!("{budget}: open grants {:?}", account.grants));
        }
        let billed: Vec<u64> = world
            .billed_keys()
            .iter()
            .filter(|(key, _)| budget_of(world, key) == budget)
            .map(|(_, tokens)| *tokens)
            .collect();
        let sum: u64 = billed.iter().sum();
        if sum != account.settled || billed.len() as u64 != account.bills {
            return Err(format!(
                "{budget}: journals hold {} bills of {sum} tokens, the ledger {} of {}",
                billed.len(),
                account.bills,
                account.settled
            ));
        }
        let served: u64 = world
            .calls
            .values()
            .filter(|record| record.budget.as_str() == budget)
            .map(|record| record.served)
            .sum();
        if served > account.settled + account.written_off {
            return Err(format!(
                "{budget}: served {served}, settled {}, written off {}",
                account.settled, account.written_off
            ));
        }
    }
    check_calls(world)
}

/// Checks that a call whose entry router never died is released and billed as settled, or that the
/// larger run of its key is.
fn check_calls(world: &AccountingWorld) -> Result<(), String> {
    let billed = world.billed_keys();
    for (call, record) in &world.calls {
        let Some(tokens) = record.settled else {
            continue;
        };
        if world.slots[record.entry].has_crashed {
            continue;
        }
        if !record.is_released {
            return Err(format!("{call} was never released"));
        }
        let sum = billed.get(&record.key);
        if sum.is_none_or(|sum| *sum < tokens) {
            return Err(format!("{call} used {tokens} tokens, billed {sum:?}"));
        }
    }
    Ok(())
}

fn budget_of(world: &AccountingWorld, key: &RequestKey) -> String {
    let mut records = world.calls.values();
    let record = records.find(|record| record.key == *key);
    record.map_or_else(String::new, |record| record.budget.to_string())
}

/// Returns options with short periods, so that a session of some seconds covers checkpoints, folds
/// and returned grants.
fn model_options() -> AccountingOptions {
    AccountingOptions {
        journal_period_ms: 200,
        fold_period_ms: 400,
        checkpoint_every: 4,
        idle_return_ms: 1_500,
        ..test_options()
    }
}

fn run_session(steps: &[Step]) -> Result<(), String> {
    let mut world = AccountingWorld::new(model_options(), &["d1", "d1", "d1", "d2", "d2"]);
    world.top_up("north", "first", 6_000);
    world.top_up("south", "first", 700);
    for (number, step) in steps.iter().enumerate() {
        take_step(&mut world, step);
        check_invariants(&world).map_err(|error| format!("step {number}: {error}"))?;
    }
    heal(&mut world)?;
    check_healed(&world)
}

/// Runs one seed and shrinks the session if it fails.
fn check_seed(seed: u64) {
    fn session_holds(steps: Vec<Step>) -> Result<(), String> {
        run_session(&steps)
    }
    let outcome = std::panic::catch_unwind(|| {
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(150, seed))
            .tests(1)
            .max_tests(1)
            .quicktest(session_holds as fn(Vec<Step>) -> Result<(), String>)
    });
    match outcome {
        Ok(Ok(_)) => {}
        Ok(Err(failure)) => panic!("BEECHSADDLE_SEED={seed} fails: {failure:?}"),
        Err(_) => panic!("BEECHSADDLE_SEED={seed} panics"),
    }
}

/// Routers die, freeze, are fenced and resume, and the store loses replies, in any order. In every
/// order no more is served than was paid for, each key is billed once, and the ledger's total
/// equals that of the journals' bills.
#[test]
fn accounting_random_interleavings() {
    if let Ok(seed) = std::env::var("BEECHSADDLE_SEED") {
        return check_seed(seed.parse().expect("a seed is a number"));
    }
    let count = std::env::var("BEECHSADDLE_SEEDS").map_or(40, |text| {
        text.parse()
            .expect("BEECHSADDLE_SEEDS is a number of seeds")
    });
    for seed in 0..count {
        check_seed(seed);
    }
}
