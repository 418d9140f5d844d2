//! The `routing_trial` module provides a simulation of routers and engines.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use beechsaddle_core::action::CoreAction;
use beechsaddle_core::catalogue::ServiceKind;
use beechsaddle_core::clock::ClockTime;
use beechsaddle_core::members::{
    HostRecord, HostRole, HostState, MemberEntry, MemberLiveness, MemberTable,
};
use beechsaddle_core::names::{
    DomainName, HostName, ModelName, RouterIncarnation, ServiceName, TargetName,
};
use beechsaddle_core::outbox::CoreOutbox;
use beechsaddle_core::peer::RouterState;
use beechsaddle_core::target::{EngineRole, EngineState, ProbeOutcome, TargetAction, TargetEvent};
use beechsaddle_core::targets::{ChoiceRequest, TargetChoice, TargetOptions, TargetTable};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::call_mix::CallMix;
use super::engine_model::EngineModel;
use super::routing_call::RoutingCall;
use super::trial_figures::TrialFigures;
use super::trial_setup::TrialSetup;

const TICK_US: u64 = 50_000;
const HEARTBEAT_TICKS: u64 = 10;
const SERVICE: &str = "engines";
const DOMAIN: &str = "split-hala";
const MODEL: &str = "m";

/// The share of probes that lose the cache events.
const GAP_SHARE: f64 = 0.05;

/// A scheduled event of the simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum TrialEvent {
    Arrival(usize),
    Iteration(usize),
    Tick(u64),
}

/// One run of the simulation. Event times are in microseconds.
#[derive(Debug)]
pub struct RoutingTrial {
    setup: TrialSetup,
    routers: Vec<(TargetTable, MemberTable)>,
    engines: Vec<EngineModel>,
    targets: Vec<TargetName>,
    calls: Vec<RoutingCall>,
    assigned: Vec<usize>,
    queue: BinaryHeap<Reverse<(u64, TrialEvent)>>,
    random: ChaCha8Rng,
    figures: TrialFigures,
}

impl RoutingTrial {
    /// Prepares a run with all arrivals scheduled.
    pub fn new(setup: TrialSetup, options: &TargetOptions) -> Self {
        let calls = CallMix::new(&setup).draw(setup.span_ms, setup.rate);
        let engines = (0..setup.engines)
            .map(|number| EngineModel::new(if number == 0 { setup.slowdown } else { 1.0 }))
            .collect();
        let targets: Vec<TargetName> = (0..setup.engines).map(target).collect();
        let routers = (0..setup.routers)
            .map(|number| Self::router(number, &setup, options))
            .collect();
        let mut trial = RoutingTrial {
            routers,
            engines,
            targets,
            assigned: vec![0; calls.len()],
            calls,
            queue: BinaryHeap::new(),
            random: ChaCha8Rng::seed_from_u64(setup.seed ^ 0xCAFE),
            figures: TrialFigures::default(),
            setup,
        };
        for number in 0..trial.calls.len() {
            let arrives = (trial.calls[number].arrives_ms * 1_000.0) as u64;
            trial.schedule(arrives, TrialEvent::Arrival(number));
        }
        trial.schedule(0, TrialEvent::Tick(0));
        trial
    }

    /// Returns the target table and the member table of one router.
    pub fn router(
        number: usize,
        setup: &TrialSetup,
        options: &TargetOptions,
    ) -> (TargetTable, MemberTable) {
        router_of(number, setup, options)
    }

    /// Runs until all calls have ended and returns the results.
    pub fn run(mut self) -> TrialFigures {
        let mut left = self.calls.len();
        while let Some(Reverse((now, event))) = self.queue.pop() {
            match event {
                TrialEvent::Arrival(number) => self.arrive(now, number),
                TrialEvent::Iteration(engine) => left -= self.iterate(now, engine),
                TrialEvent::Tick(count) => {
                    self.tick(now, count);
                    if left > 0 {
                        self.schedule(now + TICK_US, TrialEvent::Tick(count + 1));
                    }
                }
            }
        }
        for engine in &self.engines {
            self.figures.cached_tokens += engine.cached_tokens;
            self.figures.prompt_tokens += engine.prompt_tokens;
        }
        self.figures
    }

    fn schedule(&mut self, when: u64, event: TrialEvent) {
        self.queue.push(Reverse((when, event)));
    }

    fn arrive(&mut self, now: u64, number: usize) {
        let call = &self.calls[number];
        let request = ChoiceRequest {
            service: ServiceName::new(SERVICE),
            kind: ServiceKind::Engine,
            model: Some(ModelName::new(MODEL)),
            prefix: &call.prefix,
            tried: &[],
            work: call.work(),
        };
        let (table, _) = &mut self.routers[call.router];
        let TargetChoice::Chosen(chosen) = table.choose(clock(now), &request) else {
            self.figures.unplaced += 1;
            return;
        };
        table.started(clock(now), &chosen.target, &call.prefix, call.work());
        let engine = self
            .targets
            .iter()
            .position(|target| *target == chosen.target)
            .unwrap_or(0);
        self.assigned[number] = engine;
        self.engines[engine].arrive(number, call);
        if !self.engines[engine].busy {
            self.begin(now, engine);
        }
    }

    fn begin(&mut self, now: u64, engine: usize) {
        if let Some(span_ms) = self.engines[engine].begin(millis(now)) {
            let span = (span_ms * 1_000.0) as u64;
            self.schedule(now + span, TrialEvent::Iteration(engine));
        }
    }

    fn iterate(&mut self, now: u64, engine: usize) -> usize {
        let outcome = self.engines[engine].finish(millis(now));
        for number in outcome.first_tokens {
            let call = &self.calls[number];
            let latency_ms = millis(now) - call.arrives_ms;
            let (table, _) = &mut self.routers[call.router];
            table.first_byte(clock(now), &self.targets[engine], latency_ms as u64);
            if call.arrives_ms >= self.setup.warm_ms {
                self.figures.first_ms.push(latency_ms);
            }
        }
        let ended = outcome.ended.len();
        for number in outcome.ended {
            let call = &self.calls[number];
            let (table, _) = &mut self.routers[call.router];
            table.ended(clock(now), &self.targets[engine]);
            if call.arrives_ms >= self.setup.warm_ms {
                self.figures.whole_ms.push(millis(now) - call.arrives_ms);
            }
        }
        self.begin(now, engine);
        ended
    }

    fn tick(&mut self, now: u64, count: u64) {
        for number in 0..self.routers.len() {
            let mut outbox = CoreOutbox::new();
            let (table, members) = &mut self.routers[number];
            table.tick(clock(now), members, &mut outbox);
            for action in outbox.actions {
                if let CoreAction::Target(TargetAction::Probe {
                    target,
                    cache_after,
                    ..
                }) = action
                {
                    self.probe(now, number, &target, cache_after);
                }
            }
        }
        if count.is_multiple_of(HEARTBEAT_TICKS) {
            self.exchange(now);
        }
        if millis(now) >= self.setup.warm_ms && millis(now) < self.setup.span_ms {
            let calls: Vec<f64> = self
                .engines
                .iter()
                .map(|engine| engine.calls() as f64)
                .collect();
            self.figures.record_spread(&calls);
        }
    }

    fn probe(&mut self, now: u64, router: usize, target: &TargetName, cache_after: Option<u64>) {
        let Some(index) = self.targets.iter().position(|name| name == target) else {
            return;
        };
        let lag_ms = self.setup.lag_ms;
        let is_lost = self.random.random_bool(GAP_SHARE);
        let engine = &mut self.engines[index];
        let load = engine.report(millis(now), lag_ms);
        let cache =
            cache_after.map(|after| engine.cache_update(millis(now), lag_ms, after, is_lost));
        let event = TargetEvent::Probed {
            target: target.clone(),
            outcome: ProbeOutcome::Healthy {
                load,
                engine: Some(EngineState {
                    model: ModelName::new(MODEL),
                    version: 1,
                    adapters: Vec::new(),
                    role: EngineRole::Whole,
                }),
            },
            cache,
        };
        let (table, _) = &mut self.routers[router];
        table.on_target(clock(now), &event, &mut CoreOutbox::new());
    }

    fn exchange(&mut self, now: u64) {
        let sent: Vec<_> = self
            .routers
            .iter_mut()
            .map(|(table, _)| table.take_updates(clock(now)))
            .collect();
        for (to, (table, _)) in self.routers.iter_mut().enumerate() {
            for (from, updates) in sent.iter().enumerate().filter(|(from, _)| *from != to) {
                table.on_updates(clock(now), &router(from), updates);
            }
        }
    }
}

fn router(number: usize) -> RouterIncarnation {
    RouterIncarnation::new(format!("router-{number}").as_str(), 1)
}

fn target(number: usize) -> TargetName {
    TargetName::new(format!("engine-{number}"))
}

fn clock(now: u64) -> ClockTime {
    ClockTime::from_millis(now / 1_000)
}

fn millis(now: u64) -> f64 {
    now as f64 / 1_000.0
}

fn router_of(
    number: usize,
    setup: &TrialSetup,
    options: &TargetOptions,
) -> (TargetTable, MemberTable) {
    let domain = DomainName::new(DOMAIN);
    let mut members = MemberTable::new(router(number), domain.clone());
    for other in (0..setup.routers).filter(|other| *other != number) {
        let entry = MemberEntry {
            domain: domain.clone(),
            address: String::new(),
            state: RouterState::Live,
            liveness: MemberLiveness::Live,
            catalogue_revision: 1,
            last_seen_at: ClockTime::ZERO,
            sequence: 1,
        };
        members.insert(router(other), entry);
    }
    let hosts: Vec<HostRecord> = (0..setup.engines)
        .map(|engine| HostRecord {
            host: HostName::new(target(engine).as_str()),
            domain: domain.clone(),
            epoch: 1,
            address: format!("engine-{engine}:80"),
            role: HostRole::Target {
                service: ServiceName::new(SERVICE),
                checks_fence: true,
            },
            state: HostState::Live,
        })
        .collect();
    let seed = setup.seed * 100 + number as u64;
    let mut table = TargetTable::new(options.clone(), router(number), domain, seed);
    table.on_hosts(ClockTime::ZERO, &hosts, &mut CoreOutbox::new());
    (table, members)
}
