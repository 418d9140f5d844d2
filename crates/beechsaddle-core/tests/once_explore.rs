//! Every interleaving, within bounds, of two calls with one key through two routers.
//!
//! Each router's clock goes its own way in steps, so that a router that lags or is frozen is among
//! the cases. Messages and platform calls arrive in any order.

mod once_support;

use std::collections::{BTreeSet, VecDeque};

use beechsaddle_core::hash::stable_hash;
use beechsaddle_core::objects::PlatformObject;
use beechsaddle_core::once::OnceOptions;
use once_support::{NOBODY, OnceBench, Parcel, key};

/// How far one step of a router's clock goes, in milliseconds: more than `handover_ms`, and two of
/// them are `record_timeout_ms`.
const STEP_MS: u64 = 750;

/// How many routers there are, each of which takes one call.
const ROUTERS: usize = 2;

/// What may go wrong, and how long.
#[derive(Clone, Copy, Debug)]
struct Bounds {
    /// How many steps the clock of each router goes.
    clock_steps: [u64; ROUTERS],
    losses: u8,
    crashes: u8,
    /// Whether the first router finds no target for its call.
    forgets: bool,
}

/// A bench, what went wrong on it, and digests of its larger parts.
#[derive(Clone)]
struct World {
    bench: OnceBench,
    losses: u8,
    crashes: u8,
    desks: [u64; ROUTERS],
    store: u64,
}

/// One thing that can happen next.
#[derive(Clone, Copy, Debug)]
enum Move {
    Deliver(usize),
    /// A call takes effect and its answer is lost.
    LoseAnswer(usize),
    /// A call's answer is given up while the call is on its way.
    GiveUp(usize),
    /// A message between routers is lost.
    LoseMessage(usize),
    Tick(usize),
    Crash(usize),
}

impl World {
    fn first(bounds: Bounds) -> Self {
        let options = OnceOptions {
            shard_count: 1,
            ..OnceOptions::default()
        };
        let mut bench = OnceBench::new(options, &[("anis", "nord"), ("beifuss", "nord")]);
        bench.is_recorded = false;
        bench.record_or_forget(0, &key("claim"), bounds.forgets);
        bench.record(1, &key("claim"));
        let mut world = World {
            bench,
            losses: 0,
            crashes: 0,
            desks: [0; ROUTERS],
            store: 0,
        };
        (0..ROUTERS).for_each(|node| world.digest_desk(node));
        world
    }

    fn moves(&self, bounds: &Bounds) -> Vec<Move> {
        let mut moves = Vec::new();
        for (index, parcel) in self.bench.parcels.iter().enumerate() {
            moves.push(Move::Deliver(index));
            if self.losses >= bounds.losses {
                continue;
            }
            match parcel {
                Parcel::Call { node, .. } if *node != NOBODY => {
                    moves.push(Move::LoseAnswer(index));
                    moves.push(Move::GiveUp(index));
                }
                Parcel::Peer { .. } => moves.push(Move::LoseMessage(index)),
                Parcel::Call { .. } | Parcel::Reply { .. } => {}
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
            Move::GiveUp(index) => {
                self.losses += 1;
                self.bench.give_up_call(index);
            }
            Move::LoseMessage(index) => {
                self.losses += 1;
                self.bench.parcels.remove(index);
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
        self.digest_desk(node);
    }

    fn deliver(&mut self, index: usize) {
        let touched = match &self.bench.parcels[index] {
            Parcel::Call { .. } => None,
            Parcel::Reply { node, .. } => Some(*node),
            Parcel::Peer { to, .. } => self.bench.nodes.iter().position(|node| node.me == *to),
        };
        self.bench.deliver(index);
        match touched.filter(|node| *node != NOBODY) {
            Some(node) => self.digest_desk(node),
            None => self.digest_store(),
        }
    }

    fn digest_desk(&mut self, node: usize) {
        self.desks[node] = stable_hash(format!("{:?}", self.bench.nodes[node].desk));
    }

    fn digest_store(&mut self) {
        self.store = stable_hash(format!("{:?}", self.bench.store));
    }

    /// Two worlds that differ in the order of what is on its way are the same.
    fn digest(&self) -> u64 {
        let bench = &self.bench;
        let mut parcels: Vec<u64> = bench
            .parcels
            .iter()
            .map(|parcel| stable_hash(format!("{parcel:?}")))
            .collect();
        parcels.sort_unstable();
        let nodes: Vec<(bool, u64)> = bench
            .nodes
            .iter()
            .map(|node| (node.is_alive, node.clock_ahead_ms))
            .collect();
        let parts = (&self.desks, self.store, &parcels, &nodes);
        let faults = (self.losses, self.crashes);
        let ends = (&bench.dispatched, &bench.refused, &bench.outcomes);
        stable_hash(format!("{parts:?}{faults:?}{ends:?}"))
    }

    /// Lets a world in which nothing more goes wrong come to rest, and checks that every call has
    /// its outcome and that the key is free if nobody dispatched it.
    fn check_end(mut self) {
        self.bench.run(8 * STEP_MS);
        self.bench.check().unwrap();
        for (number, node) in self.bench.nodes.iter().enumerate() {
            if node.is_alive {
                assert!(self.bench.is_idle(number), "router {number} has no rest");
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
                "nobody ran the key, and {taken:?} holds it"
            );
        }
    }
}

/// Visits every world within the bounds, or with the clock steps that `ONCE_CLOCK_STEPS` gives to
/// both routers.
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

// Both routers take a call with the same key; one answer or message is lost and one router is
// killed, at any moment, while each may take over from the other. No world has two dispatches, or a
// dispatch of a refused call; every world comes to rest with an outcome for each call of a living
// router.
#[test]
fn explore_loss_and_crash() {
    explore(Bounds {
        clock_steps: [1, 1],
        losses: 1,
        crashes: 1,
        forgets: false,
    });
}

// One answer or message is lost, and the first router gives its caller up, with whatever it sent
// still on its way. The key must come free if nobody ran it.
#[test]
fn explore_loss_and_refusal() {
    explore(Bounds {
        clock_steps: [2, 1],
        losses: 1,
        crashes: 0,
        forgets: false,
    });
}

// The same with the other router.
#[test]
fn explore_loss_and_refusal_of_other() {
    explore(Bounds {
        clock_steps: [1, 2],
        losses: 1,
        crashes: 0,
        forgets: false,
    });
}

// The first router finds no target for its call. The key must come free whatever is lost.
#[test]
fn explore_loss_and_forget() {
    explore(Bounds {
        clock_steps: [1, 1],
        losses: 1,
        crashes: 0,
        forgets: true,
    });
}
