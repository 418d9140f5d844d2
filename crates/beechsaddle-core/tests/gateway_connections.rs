//! Tests of the limit on the connections of callers and on their memory.

use beechsaddle_core::clock::ClockTime;
use beechsaddle_core::gateway::{ConnectionBudget, ConnectionId, ConnectionQuota, ConnectionStage};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const AMPLE_BYTES: usize = 1_000_000_000;

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn budget(connections: usize, bytes: usize) -> ConnectionBudget {
    ConnectionBudget::new(ConnectionQuota { connections, bytes })
}

/// Adds connections, one a millisecond, that are all in a stage.
fn admit(budget: &mut ConnectionBudget, count: u64, stage: ConnectionStage) -> Vec<ConnectionId> {
    let mut ids = Vec::new();
    for millis in 0..count {
        let id = budget.admit(at(millis)).expect("a place");
        budget.set_stage(id, stage, at(millis));
        ids.push(id);
    }
    ids
}

/// Guards against callers that are turned away while connections are open that no caller uses.
#[test]
fn connections_without_a_request_end_for_new_ones() {
    let mut budget = budget(3, AMPLE_BYTES);
    let used = admit(&mut budget, 1, ConnectionStage::Idle);
    let unused = admit(&mut budget, 2, ConnectionStage::New);
    assert!(budget.admit(at(10)).is_some());
    assert_eq!(budget.take_evicted(), [unused[0]]);
    assert!(budget.is_evicted(unused[0]) && !budget.is_evicted(used[0]));
    assert_eq!(budget.open(), 3);
}

/// Guards against a new caller for whose connection a call is cut.
#[test]
fn connections_with_calls_never_end() {
    let mut budget = budget(3, AMPLE_BYTES);
    admit(&mut budget, 3, ConnectionStage::Running);
    assert_eq!(budget.admit(at(10)), None);
    assert!(budget.take_evicted().is_empty());
}

/// Guards against callers that never read their responses and keep all others out.
#[test]
fn connections_that_stall_end_for_calls() {
    let mut budget = budget(2, AMPLE_BYTES);
    let running = admit(&mut budget, 2, ConnectionStage::Running);
    budget.set_stalled(running[1], Some(at(100)));
    assert_eq!(budget.admit(at(500)), None);
    assert!(budget.admit(at(1_200)).is_some());
    assert_eq!(budget.take_evicted(), [running[1]]);
}

/// Guards against an ordinary head that ends for the memory of one that is far larger.
#[test]
fn connections_with_large_heads_end_first() {
    let mut budget = budget(100, 400_000);
    let small = admit(&mut budget, 2, ConnectionStage::Head(1_000));
    let large = admit(&mut budget, 1, ConnectionStage::Head(60_000));
    budget.set_stage(large[0], ConnectionStage::Head(200_000), at(20));
    assert_eq!(budget.take_evicted(), [large[0]]);
    assert!(small.iter().all(|id| !budget.is_evicted(*id)));
}

/// Guards against a request that is lost, as it arrives on an idle connection while that is chosen to end.
#[test]
fn connections_that_get_a_request_stay() {
    let mut budget = budget(2, AMPLE_BYTES);
    let idle = admit(&mut budget, 2, ConnectionStage::Idle);
    assert!(budget.admit(at(10)).is_some());
    assert!(budget.is_evicted(idle[0]));
    budget.set_stage(idle[0], ConnectionStage::Head(100), at(11));
    assert!(!budget.is_evicted(idle[0]));
    assert_eq!(budget.open(), 2);
}

/// Guards against calls that are taken although no memory is left, and against idle connections that keep
/// calls out.
#[test]
fn connections_leave_memory_for_calls() {
    let mut budget = budget(1_000, 10_000_000);
    let idle = admit(&mut budget, 300, ConnectionStage::Idle);
    let mut taken = 0;
    for id in &idle {
        if budget.has_memory_for_call(*id, at(1_000)) {
            budget.set_stage(*id, ConnectionStage::Running, at(1_000));
            taken += 1;
        }
    }
    assert!((100..150).contains(&taken), "{taken}");
    assert!(budget.used_bytes() <= 10_000_000);
    // A new caller is accepted, to be told that there is no memory.
    let new = budget.admit(at(2_000)).expect("a place");
    assert!(!budget.has_memory_for_call(new, at(2_000)));
    assert!(!budget.is_evicted(new));
}

/// Guards against idle connections that end on the smallest host, with 88 MB, while callers keep as many as
/// twice those of its busiest day.
#[test]
fn connections_of_ordinary_callers_fit() {
    let mut budget = budget(1_409, 27_682_406);
    let idle = admit(&mut budget, 1_240, ConnectionStage::Idle);
    for id in &idle[..48] {
        assert!(budget.has_memory_for_call(*id, at(2_000)));
        budget.set_stage(*id, ConnectionStage::Running, at(2_000));
    }
    assert!(budget.take_evicted().is_empty());
}

/// Guards against a caller that is told to come back though only idle connections take the memory.
#[test]
fn connections_that_are_idle_end_for_calls() {
    let mut budget = budget(1_000, 10_000_000);
    admit(&mut budget, 600, ConnectionStage::Idle);
    let new = budget.admit(at(1_000)).expect("a place");
    assert!(budget.has_memory_for_call(new, at(1_000)));
    assert!(!budget.is_evicted(new));
}

/// Guards against memory that leaks or is counted twice in some order of events, and against a sum over the
/// limits that is not made of calls.
#[test]
fn connections_at_random_keep_the_limits() {
    for seed in 0..200 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut budget = budget(20, 3_000_000);
        let mut open: Vec<ConnectionId> = Vec::new();
        let mut now = 0;
        for _ in 0..600 {
            now += random.random_range(0..300);
            if open.is_empty() || random.random_range(0..4) == 0 {
                open.extend(budget.admit(at(now)));
            } else {
                let place = random.random_range(0..open.len());
                change(&mut random, &mut budget, &mut open, place, at(now));
            }
            budget.take_evicted();
            assert!(budget.open() <= open.len(), "seed {seed}");
            assert!(budget.used_bytes() <= 3_000_000, "seed {seed}");
        }
        for id in open {
            budget.remove(id);
        }
        assert_eq!((budget.open(), budget.used_bytes()), (0, 0), "seed {seed}");
    }
}

/// Does something at random with a connection as a router does: calls only begin where there is memory.
fn change(
    random: &mut StdRng,
    budget: &mut ConnectionBudget,
    open: &mut Vec<ConnectionId>,
    place: usize,
    now: ClockTime,
) {
    let id = open[place];
    match random.random_range(0..6) {
        0 => {
            budget.remove(id);
            open.remove(place);
        }
        1 => budget.set_stage(id, ConnectionStage::Idle, now),
        2 => {
            let bytes = random.random_range(0..100_000);
            budget.set_stage(id, ConnectionStage::Head(bytes), now);
        }
        3 => budget.set_stage(id, ConnectionStage::Lingering, now),
        4 => drop(budget.try_widen(id)),
        _ => {
            if budget.has_memory_for_call(id, now) {
                budget.set_stage(id, ConnectionStage::Running, now);
            }
        }
    }
}
