//! Tests of the limit on the memory of buffered bodies.

use std::collections::BTreeMap;

use beechsaddle_core::gateway::BufferBudget;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const TOTAL: usize = 24_000_000;
const SMALL: usize = 16_384;
const STEP: usize = 65_536;

/// Grows a body step by step up to `wanted` bytes; returns how far it got.
fn grow(budget: &mut BufferBudget<u32>, group: u32, wanted: usize) -> usize {
    let mut held = 0;
    while held < wanted {
        let next = wanted.min(held + STEP);
        if !budget.try_resize(&group, held, next) {
            break;
        }
        held = next;
    }
    held
}

// Fails if a large body does not fit a process that holds nothing else.
#[test]
fn body_alone_takes_a_third() {
    let mut budget = BufferBudget::new(TOTAL);
    assert_eq!(grow(&mut budget, 1, TOTAL / 3), TOTAL / 3);
    assert!(!budget.try_resize(&1, TOTAL / 3, TOTAL / 3 + STEP));
}

// Fails if one group whose bodies have no end leaves no room for a large body of another.
#[test]
fn endless_group_leaves_room_for_others() {
    let mut budget = BufferBudget::new(TOTAL);
    let bodies: Vec<_> = (0..200).map(|_| grow(&mut budget, 1, TOTAL)).collect();
    assert!(bodies.iter().sum::<usize>() <= TOTAL / 2 + 200 * SMALL);
    assert!(grow(&mut budget, 2, TOTAL) >= TOTAL / 8);
}

// Fails if a small body is turned away because others are large.
#[test]
fn small_bodies_always_fit() {
    let mut budget = BufferBudget::new(TOTAL);
    for group in 0..50 {
        for _ in 0..20 {
            grow(&mut budget, group, TOTAL);
        }
    }
    for group in 0..100 {
        assert!(budget.try_resize(&group, 0, SMALL));
    }
}

// Fails if memory leaks or is counted twice in some order of growing, shrinking and ending bodies, or if
// large bodies exceed the limit.
#[test]
fn random_bodies_keep_the_limit() {
    for seed in 0..200 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut budget = BufferBudget::new(TOTAL);
        let mut held: BTreeMap<u32, usize> = BTreeMap::new();
        for _ in 0..400 {
            let body = random.random_range(0..60);
            let from = held.get(&body).copied().unwrap_or(0);
            let to = match random.random_range(0..4) {
                0 => 0,
                1 => from / 2,
                _ => from + random.random_range(1..2_000_000),
            };
            let group = body % 5;
            if budget.try_resize(&group, from, to) {
                held.insert(body, to);
            } else {
                assert!(to > from && to > SMALL, "seed {seed}: {from} to {to}");
            }
            let sum = held.values().sum::<usize>();
            assert_eq!(budget.used_bytes(), sum, "seed {seed}");
            assert!(sum <= TOTAL + held.len() * SMALL, "seed {seed}: {sum}");
        }
        for (body, from) in held {
            assert!(budget.try_resize(&(body % 5), from, 0));
        }
        assert_eq!(budget.used_bytes(), 0, "seed {seed}");
    }
}
