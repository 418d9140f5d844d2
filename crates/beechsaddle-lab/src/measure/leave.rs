//! The `leave` module provides the experiment that measures how long a leaving target still
//! receives calls, and the cost of target updates between routers.

use std::collections::BTreeSet;

use beechsaddle_core::action::CoreAction;
use beechsaddle_core::clock::ClockTime;
use beechsaddle_core::event::TICK_MS;
use beechsaddle_core::members::{HostState, MemberTable};
use beechsaddle_core::outbox::CoreOutbox;
use beechsaddle_core::peer::TargetUpdate;
use beechsaddle_core::target::{LoadReport, ProbeOutcome, TargetAction, TargetEvent};
use beechsaddle_core::targets::{TargetOptions, TargetTable};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::routing::{RoutingTrial, TrialSetup};

/// The sizes of the measured domains, in routers.
const ROUTERS: [usize; 5] = [2, 3, 8, 16, 24];

/// Targets of a domain per router: about 195 targets for 24 routers.
const TARGETS_PER_ROUTER: usize = 8;

/// The number of targets that leave, one after the other.
const LEAVES: usize = 20;

/// The delay of a message between two routers, in ticks.
const MESSAGE_TICKS: u64 = 1;

/// The time between two heartbeats of a router, in ticks.
const HEARTBEAT_TICKS: u64 = 10;

/// The measured message loss rates, in percent.
const LOST_PERCENT: [u32; 2] = [0, 30];

/// Measures domains of several sizes, with and without message loss.
pub fn run(seed: u64) -> Vec<String> {
    let mut lines = Vec::new();
    for routers in ROUTERS {
        for lost_percent in LOST_PERCENT {
            lines.push(LeaveTrial::new(seed, routers, lost_percent).run());
        }
    }
    lines
}

/// Target updates in flight from one router to another.
struct UpdateMessage {
    arrives: u64,
    from: usize,
    to: usize,
    updates: Vec<TargetUpdate>,
}

/// A simulated domain whose targets leave one after the other.
struct LeaveTrial {
    routers: Vec<(TargetTable, MemberTable)>,
    targets: usize,
    lost_percent: u32,
    leaving: BTreeSet<String>,
    random: ChaCha8Rng,
    probes: u64,
    updates: u64,
}

impl LeaveTrial {
    fn new(seed: u64, routers: usize, lost_percent: u32) -> Self {
        let setup = TrialSetup {
            seed,
            routers,
            engines: routers * TARGETS_PER_ROUTER,
            ..TrialSetup::default()
        };
        LeaveTrial {
            routers: (0..routers)
                .map(|number| RoutingTrial::router(number, &setup, &TargetOptions::default()))
                .collect(),
            targets: setup.engines,
            lost_percent,
            leaving: BTreeSet::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            probes: 0,
            updates: 0,
        }
    }

    fn run(mut self) -> String {
        let mut spans_ms = Vec::new();
        let mut tick = 0_u64;
        let mut messages = Vec::new();
        // All targets are probed at least once before the first one leaves.
        while tick < 40 {
            self.step(tick, &mut messages);
            tick += 1;
        }
        for number in 0..LEAVES.min(self.targets / 2) {
            let name = format!("engine-{number}");
            self.leaving.insert(name.clone());
            let since = tick;
            // A random pause varies the phase of the leave relative to probes and heartbeats.
            let pause = self.random.random_range(0..20);
            while !self.is_in_effect(tick, &name) && tick - since < 400 {
                self.step(tick, &mut messages);
                tick += 1;
            }
            spans_ms.push((tick - since) * TICK_MS);
            for _ in 0..pause {
                self.step(tick, &mut messages);
                tick += 1;
            }
        }
        spans_ms.sort_unstable();
        let seconds = (tick * TICK_MS) as f64 / 1_000.0;
        let routers = self.routers.len() as f64;
        format!(
            "routers={} targets={} lost_percent={} leaves={} in_force_p50_ms={} in_force_max_ms={} \
             probes_per_router_second={:.1} news_per_router_second={:.1}",
            self.routers.len(),
            self.targets,
            self.lost_percent,
            spans_ms.len(),
            spans_ms[spans_ms.len() / 2],
            spans_ms[spans_ms.len() - 1],
            self.probes as f64 / seconds / routers,
            self.updates as f64 / seconds / routers,
        )
    }

    fn step(&mut self, tick: u64, messages: &mut Vec<UpdateMessage>) {
        let now = ClockTime::from_millis(tick * TICK_MS);
        for message in messages.extract_if(.., |message| message.arrives <= tick) {
            let sender = self.routers[message.from].1.me().clone();
            self.routers[message.to]
                .0
                .on_updates(now, &sender, &message.updates);
        }
        for number in 0..self.routers.len() {
            self.probe(now, number);
            let (table, _) = &mut self.routers[number];
            let is_due = (tick + number as u64).is_multiple_of(HEARTBEAT_TICKS);
            if !is_due && !table.has_urgent_update() {
                continue;
            }
            let updates = table.take_updates(now);
            self.updates += (updates.len() * (self.routers.len() - 1)) as u64;
            for to in (0..self.routers.len()).filter(|to| *to != number) {
                if self.random.random_range(0..100) >= self.lost_percent {
                    messages.push(UpdateMessage {
                        arrives: tick + MESSAGE_TICKS,
                        from: number,
                        to,
                        updates: updates.clone(),
                    });
                }
            }
        }
    }

    fn probe(&mut self, now: ClockTime, number: usize) {
        let mut outbox = CoreOutbox::new();
        let (table, members) = &mut self.routers[number];
        table.tick(now, members, &mut outbox);
        for action in outbox.actions {
            let CoreAction::Target(TargetAction::Probe { target, .. }) = action else {
                continue;
            };
            self.probes += 1;
            let outcome = if self.leaving.contains(target.as_str()) {
                ProbeOutcome::Leaving
            } else {
                let load = LoadReport {
                    running: self.random.random_range(0..16),
                    ..LoadReport::default()
                };
                ProbeOutcome::Healthy { load, engine: None }
            };
            let event = TargetEvent::Probed {
                target,
                outcome,
                cache: None,
            };
            table.on_target(now, &event, &mut CoreOutbox::new());
        }
    }

    /// Whether no router sends calls to the target any more.
    fn is_in_effect(&self, tick: u64, name: &str) -> bool {
        let now = ClockTime::from_millis(tick * TICK_MS);
        self.routers.iter().all(|(table, _)| {
            table
                .status(now)
                .iter()
                .filter(|status| status.target.as_str() == name)
                .all(|status| status.state == HostState::Leaving)
        })
    }
}
