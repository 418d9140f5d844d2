//! Explores every interleaving, within bounds, of two calls with one key through two routers.
//!
//! Each router's clock advances in independent steps, so that lagging and frozen routers are
//! covered. Messages and platform calls arrive in any order.

mod dedup_support;

use std::collections::{BTreeSet, VecDeque};

use beechsaddle_core::dedup::DedupOptions;
use beechsaddle_core::hash::stable_hash;
use beechsaddle_core::objects::PlatformObject;
use dedup_support::{DedupBench, Envelope, NO_ROUTER, key};

/// One clock step in milliseconds: more than `handover_ms`, and two steps are `record_timeout_ms`.
const STEP_MS: u64 = 750;

/// The number of routers, each of which takes one call.
const ROUTERS: usize = 2;

/// Limits of the clock steps and faults.
#[derive(Clone, Copy, Debug)]
struct Bounds {
    /// The number of clock steps of each router.
    clock_steps: [u64; ROUTERS],
    losses: u8,
    crashes: u8,
    /// Whether the first router finds no target for its call.
    forgets: bool,
}

/// A state of the exploration: a bench and the faults so far. Digests of the larger parts make
/// states that were seen before cheap to recognise.
#[derive(Clone)]
struct World {
    bench: DedupBench,
    losses: u8,
    crashes: u8,
    managers: [u64; ROUTERS],
    store: u64,
}

/// A possible next step.
#[derive(Clone, Copy, Debug)]
enum Move {
    Deliver(usize),
    /// A call takes effect and its reply is lost.
    LoseAnswer(usize),
    /// A call times out while it is in flight.
    TimeOut(usize),
    /// A message between routers is lost.
    LoseMessage(usize),
    Tick(usize),
    Crash(usize),
}

impl World {
    fn first(bounds: Bounds) -> Self {
        let options = DedupOptions {
            shard_count: 1,
            ..DedupOptions::default()
        };
        let mut bench = DedupBench::new(options, &[("anis", "nord"), ("beifuss", "nord")]);
        bench.is_recorded = false;
        bench.record_or_forget(0, &key("claim"), bounds.forgets);
        bench.record(1, &key("claim"));
        let mut world = World {
            bench,
            losses: 0,
            crashes: 0,
            managers: [0; ROUTERS],
            store: 0,
        };
        (0..ROUTERS).for_each(|node| world.digest_manager(node));
        world
    }

    fn moves(&self, bounds: &Bounds) -> Vec<Move> {
        let mut moves = Vec::new();
        for (index, envelope) in self.bench.envelopes.iter().enumerate() {
            moves.push(Move::Deliver(index));
            if self.losses >= bounds.losses {
                continue;
            }
            match envelope {
                Envelope::Call { node, .. } if *node != NO_ROUTER => {
                    moves.push(Move::LoseAnswer(index));
                    moves.push(Move::TimeOut(index));
                }
                Envelope::Peer { .. } => moves.push(Move::LoseMessage(index)),
                Envelope::Call { .. } | Envelope::Reply { .. } => {}
            }
        }
        for (number, node) in self.bench.nodes.iter().enumerate() {
            if !node.is_alive {
                continue;
            }
            if node.clock_ahead_ms < bounds.clock_steps[number] * STEP_MS {
                moves.push(Move::Tick(number));
            }
            if self.crashes < bounds.crashes {
                moves.push(Move::Crash(number));
            }
        }
        moves
    }

    fn apply(&mut self, step: Move) {
        match step {
            Move::Deliver(index) => self.deliver(index),
            Move::LoseAnswer(index) => {
                self.losses += 1;
                self.bench.lose_answer(index);
                self.digest_store();
            }
            Move::TimeOut(index) => {
                self.losses += 1;
                self.bench.time_out_call(index);
            }
            Move::LoseMessage(index) => {
                self.losses += 1;
                self.bench.envelopes.remove(index);
            }
            Move::Tick(node) => self.tick(node),
            Move::Crash(node) => {
                self.crashes += 1;
                self.bench.kill(node);
            }
        }
    }

    fn tick(&mut self, node: usize) {
        self.bench.nodes[node].clock_ahead_ms += STEP_MS;
        self.bench.tick(node);
        self.digest_manager(node);
    }

    fn deliver(&mut self, index: usize) {
        let touched = match &self.bench.envelopes[index] {
            Envelope::Call { .. } => None,
            Envelope::Reply { node, .. } => Some(*node),
            Envelope::Peer { to, .. } => self.bench.nodes.iter().position(|node| node.me == *to),
        };
        self.bench.deliver(index);
        match touched.filter(|node| *node != NO_ROUTER) {
            Some(node) => self.digest_manager(node),
            None => self.digest_store(),
        }
    }

    fn digest_manager(&mut self, node: usize) {
        self.managers[node] = stable_hash(format!("{:?}", self.bench.nodes[node].manager));
    }

    fn digest_store(&mut self) {
        self.store = stable_hash(format!("{:?}", self.bench.store));
    }

    /// Returns a digest that ignores the order of messages in flight.
    fn digest(&self) -> u64 {
        let bench = &self.bench;
        let mut envelopes: Vec<u64> = bench
            .envelopes
            .iter()
            .map(|envelope| stable_hash(format!("{envelope:?}")))
            .collect();
        envelopes.sort_unstable();
        let nodes: Vec<(bool, u64)> = bench
            .nodes
            .iter()
            .map(|node| (node.is_alive, node.clock_ahead_ms))
            .collect();
        let parts = (&self.managers, self.store, &envelopes, &nodes);
        let faults = (self.losses, self.crashes);
        let ends = (&bench.dispatched, &bench.refused, &bench.outcomes);
        stable_hash(format!("{parts:?}{faults:?}{ends:?}"))
    }

    /// Runs a world without further faults until it is idle. Checks that every call has its outcome
    /// and that the key is free if no router dispatched it.
    fn check_end(mut self) {
        self.bench.run(8 * STEP_MS);
        self.bench.check().unwrap();
        for (number, node) in self.bench.nodes.iter().enumerate() {
            if node.is_alive {
                assert!(
                    self.bench.is_idle(number),
                    "router {number} does not become idle"
                );
                let has_outcome = |call: &_| self.bench.outcomes.contains_key(call);
                let mut calls = self.bench.keys.keys().filter(|call| call.router == node.me);
                assert!(calls.all(has_outcome), "router {number}");
            }
        }
        let is_free = self.bench.dispatched.is_empty() && self.crashes == 0;
        if let (true, Some(PlatformObject::Dedup(shard))) =
            (is_free, self.bench.store.get("dedup/0"))
        {
            let taken = shard.records.iter().find(|record| !record.released);
            assert!(
                taken.is_none(),
                "no router ran the key, and {taken:?} holds it"
            );
        }
    }
}

/// Visits every world within the bounds; `ONCE_CLOCK_STEPS` overrides the clock steps of both
/// routers.
fn explore(mut bounds: Bounds) {
    if let Ok(steps) = std::env::var("ONCE_CLOCK_STEPS") {
        bounds.clock_steps = [steps.parse().expect("a number"); ROUTERS];
    }
    let first = World::first(bounds);
    let mut seen = BTreeSet::from([first.digest()]);
    let mut queue = VecDeque::from([first]);
    while let Some(world) = queue.pop_front() {
        let moves = world.moves(&bounds);
        let is_end = |step: &Move| !matches!(step, Move::Tick(_) | Move::Deliver(_));
        if moves.iter().all(is_end) {
            world.check_end();
            continue;
        }
        for step in moves {
            let mut next = world.clone();
            next.apply(step);
            next.bench.check().unwrap();
            if seen.insert(next.digest()) {
                queue.push_back(next);
            }
        }
    }
    println!("explored worlds={} {bounds:?}", seen.len());
}

// No key is dispatched twice, and no refused call is dispatched. Both routers take a call with the
// same key; one reply or message is lost and one router is killed at any moment, while each may
// take over from the other. Every call of a live router must get an outcome.
#[test]
fn explore_loss_and_crash() {
    explore(Bounds {
        clock_steps: [1, 1],
        losses: 1,
        crashes: 1,
        forgets: false,
    });
}

// One reply or message is lost, and the first router refuses its call while its messages are still
// in flight. The key must become free if no router ran its call.
#[test]
fn explore_loss_and_refusal() {
    explore(Bounds {
        clock_steps: [2, 1],
        losses: 1,
        crashes: 0,
        forgets: false,
    });
}

// As above, but the second router refuses its call, as its clock takes the two steps to the
// time-out.
#[test]
fn explore_loss_and_refusal_of_other() {
    explore(Bounds {
        clock_steps: [1, 2],
        losses: 1,
        crashes: 0,
        forgets: false,
    });
}

// The first router finds no target for its call. The key must become free, whichever message or
// reply is lost.
#[test]
fn explore_loss_and_forget() {
    explore(Bounds {
        clock_steps: [1, 1],
        losses: 1,
        crashes: 0,
        forgets: true,
    });
}
