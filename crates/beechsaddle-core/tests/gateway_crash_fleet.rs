//! A model of fleets that receive requests with a crashing prompt part in bursts: how many of them
//! reach targets, and what becomes of sound requests that share the other parts.

use std::collections::BTreeMap;

use beechsaddle_core::gateway::{
    CrashDecision, CrashFacts, CrashRegistry, CrashReport, PeerRecord, PeerRing, SuspectKey,
    TargetIncarnation, TrialFacts, TrialReply, TrialSchedule,
};
use beechsaddle_core::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const BEGIN: ClockTime = ClockTime::from_millis(1_000_000);

/// How long requests keep coming, in milliseconds.
const SPAN_MS: u64 = 40_000;

/// Time within which all routers must know of a crash, in milliseconds.
const PROPAGATION_MS: u64 = 3_000;

/// Crashes under the part after which few more requests may reach targets.
const CRASHES_ALLOWED: usize = 5;

const MAX_LATE_ARRIVALS: usize = 3;

/// Number of parts that sound requests share with crashing ones.
const SHARED_PARTS: u64 = 3;

/// How reports travel between domains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ModelPaths {
    /// Routers reach each other.
    Direct,
    /// Domains reach each other only through the store.
    Store,
}

struct ModelRouter {
    domain: usize,
    ring: PeerRing,
    registry: CrashRegistry,
    trials: TrialSchedule,
}

#[derive(Clone, Debug)]
enum ModelEvent {
    Crashing {
        router: usize,
    },
    Sound {
        router: usize,
    },
    Crash {
        router: usize,
        run: CrashRun,
    },
    Completion {
        router: usize,
        keys: Vec<SuspectKey>,
    },
    Report {
        router: usize,
        report: CrashReport,
    },
    Clear {
        router: usize,
        key: SuspectKey,
    },
}

#[derive(Clone, Debug)]
struct CrashRun {
    reports: Vec<CrashReport>,
}

struct ModelFleet {
    routers: Vec<ModelRouter>,
    paths: ModelPaths,
    random: ChaCha8Rng,
    events: BTreeMap<(u64, u64), ModelEvent>,
    event_count: u64,
    arrivals: Vec<u64>,
    crashes: Vec<u64>,
    /// When sound requests came, and whether they were admitted.
    sound: Vec<(u64, bool)>,
}

fn host(number: usize) -> HostName {
    HostName::new(format!("host-{number}"))
}

impl ModelFleet {
    fn new(seed: u64, routers: usize, domains: usize, paths: ModelPaths) -> Self {
        let domain = |number: usize| DomainName::new(format!("domain-{}", number % domains));
        let records = |_: usize| {
            (0..routers).map(move |number| PeerRecord {
                host: host(number),
                domain: DomainName::new(format!("domain-{}", number % domains)),
                address: Some(([127, 0, 0, 1], 9).into()),
                link_mbps: 0,
            })
        };
        let router = |number: usize| {
            let mut ring = PeerRing::new(host(number), domain(number));
            ring.take_listing(records(number));
            ModelRouter {
                domain: number % domains,
                ring,
                registry: CrashRegistry::default(),
                trials: TrialSchedule::default(),
            }
        };
        ModelFleet {
            routers: (0..routers).map(router).collect(),
            paths,
            random: ChaCha8Rng::seed_from_u64(seed),
            events: BTreeMap::new(),
            event_count: 0,
            arrivals: Vec::new(),
            crashes: Vec::new(),
            sound: Vec::new(),
        }
    }

    fn schedule(&mut self, at_ms: u64, event: ModelEvent) {
        self.event_count += 1;
        self.events.insert((at_ms, self.event_count), event);
    }

    /// Schedules bursts of crashing requests, and sound ones in between.
    fn schedule_requests(&mut self, burst: usize) {
        let mut at_ms = 500;
        while at_ms < SPAN_MS {
            for _ in 0..burst {
                let router = self.random.random_range(0..self.routers.len());
                self.schedule(at_ms, ModelEvent::Crashing { router });
            }
            at_ms += self.random.random_range(300..2_500);
        }
        for at_ms in (0..SPAN_MS).step_by(100) {
            let router = self.random.random_range(0..self.routers.len());
            self.schedule(at_ms, ModelEvent::Sound { router });
        }
    }

    fn run(&mut self) {
        while let Some(((at_ms, _), event)) = self.events.pop_first() {
            self.handle(at_ms, event);
        }
    }

    fn handle(&mut self, at_ms: u64, event: ModelEvent) {
        match event {
            ModelEvent::Crashing { router } => self.send_crashing(at_ms, router),
            ModelEvent::Sound { router } => self.send_sound(at_ms, router),
            ModelEvent::Crash { router, run } => self.crash(at_ms, router, run),
            ModelEvent::Completion { router, keys } => self.complete(at_ms, router, &keys),
            ModelEvent::Report { router, report } => {
                let registry = &mut self.routers[router].registry;
                registry.record(BEGIN.plus_ms(at_ms), report);
            }
            ModelEvent::Clear { router, key } => {
                self.routers[router].registry.clear(key);
            }
        }
    }

    fn draw_keys(&mut self, is_crashing: bool) -> Vec<SuspectKey> {
        let own: u64 = self.random.random();
        let own = SuspectKey::for_request("/stream/1", "acme", &own.to_be_bytes());
        let shared = self.random.random_range(0..SHARED_PARTS);
        let shared = SuspectKey::for_part(&format!("shared-{shared}"));
        match is_crashing {
            true => vec![own, shared, SuspectKey::for_part("bad")],
            false => vec![own, shared],
        }
    }

    fn is_admitted(&mut self, at_ms: u64, router: usize, keys: &[SuspectKey]) -> bool {
        let now = BEGIN.plus_ms(at_ms);
        match self.routers[router].registry.decide(now, keys) {
            CrashDecision::Admitted => true,
            CrashDecision::Refused { .. } => false,
            CrashDecision::OnTrial(trials) => trials
                .iter()
                .all(|key| self.begin_trial(now, router, *key) == TrialReply::Granted),
        }
    }

    fn begin_trial(&mut self, now: ClockTime, router: usize, key: SuspectKey) -> TrialReply {
        let name = key.to_string();
        if self.paths == ModelPaths::Store {
            let domain = self.routers[router].domain;
            for number in 0..self.routers.len() {
                if self.routers[number].domain != domain {
                    self.routers[router].ring.mark_down(now, &host(number));
                }
            }
        }
        let leader = self.routers[router].ring.leader_of(now, &name).cloned();
        let granter = leader.map_or(router, |peer| {
            (0..self.routers.len())
                .find(|number| host(*number) == peer.host)
                .expect("a listed router")
        });
        let granter = &mut self.routers[granter];
        let facts = TrialFacts {
            crashes: granter.registry.crash_count(key),
            settled_at: granter.registry.settled_at(key),
            last_at: granter.registry.last_at(key),
            domains_before: granter.ring.domains_before(&name),
        };
        granter.trials.try_begin(now, key, facts)
    }

    fn send_crashing(&mut self, at_ms: u64, router: usize) {
        let keys = self.draw_keys(true);
        if self.is_admitted(at_ms, router, &keys) {
            self.arrive(at_ms, router, &keys);
        }
    }

    /// Sends a request to a target that crashes under it.
    fn arrive(&mut self, at_ms: u64, router: usize, keys: &[SuspectKey]) {
        self.arrivals.push(at_ms);
        let now = BEGIN.plus_ms(at_ms);
        let target = TargetIncarnation {
            name: TargetName::new(format!("engine-{}", self.arrivals.len())),
            started: None,
        };
        let run_ms = self.random.random_range(30..400);
        let registry = &self.routers[router].registry;
        let reports = keys.iter().map(|key| CrashReport {
            key: *key,
            target: target.clone(),
            facts: CrashFacts {
                known_before: registry.settled_count(now, *key) as u32,
                run_ms: run_ms as u32,
                is_cleared: false,
                seen_at: now.plus_ms(run_ms),
            },
        });
        let run = CrashRun {
            reports: reports.collect(),
        };
        self.schedule(at_ms + run_ms, ModelEvent::Crash { router, run });
    }

    fn crash(&mut self, at_ms: u64, router: usize, run: CrashRun) {
        self.crashes.push(at_ms);
        for report in &run.reports {
            let registry = &mut self.routers[router].registry;
            registry.record(BEGIN.plus_ms(at_ms), report.clone());
        }
        for other in 0..self.routers.len() {
            let at_ms = at_ms + self.delay_ms(router, other);
            for report in run.reports.iter().skip(1) {
                let report = report.clone();
                self.schedule(
                    at_ms,
                    ModelEvent::Report {
                        router: other,
                        report,
                    },
                );
            }
        }
        // After its first crash a request is sent on, unless its parts are suspected.
        let keys: Vec<_> = run.reports.iter().map(|report| report.key).collect();
        let registry = &self.routers[router].registry;
        if keys.iter().all(|key| registry.crash_count(*key) < 2) {
            self.arrive(at_ms + 1, router, &keys);
        }
    }

    fn send_sound(&mut self, at_ms: u64, router: usize) {
        let keys = self.draw_keys(false);
        let is_admitted = self.is_admitted(at_ms, router, &keys);
        self.sound.push((at_ms, is_admitted));
        if is_admitted {
            let at_ms = at_ms + self.random.random_range(300..2_000);
            self.schedule(at_ms, ModelEvent::Completion { router, keys });
        }
    }

    fn complete(&mut self, at_ms: u64, router: usize, keys: &[SuspectKey]) {
        for key in keys {
            if self.routers[router].registry.clear(*key).is_empty() {
                continue;
            }
            for other in 0..self.routers.len() {
                let at_ms = at_ms + self.delay_ms(router, other);
                let key = *key;
                self.schedule(at_ms, ModelEvent::Clear { router: other, key });
            }
        }
    }

    fn delay_ms(&mut self, from: usize, to: usize) -> u64 {
        let is_near = self.routers[from].domain == self.routers[to].domain;
        match is_near || self.paths == ModelPaths::Direct {
            true => self.random.random_range(5..300),
            false => self.random.random_range(500..2_500),
        }
    }

    fn late_arrivals(&self) -> usize {
        let Some(fifth_ms) = self.crashes.get(CRASHES_ALLOWED - 1) else {
            return 0;
        };
        let arrivals = self.arrivals.iter();
        let late = arrivals.filter(|at_ms| **at_ms > fifth_ms + PROPAGATION_MS);
        late.count()
    }

    /// Returns how many sound requests were admitted later than twice the propagation time after the
    /// fifth crash, and how many came.
    fn sound_share(&self) -> (usize, usize) {
        let fifth_ms = self.crashes.get(CRASHES_ALLOWED - 1).copied();
        let from_ms = fifth_ms.unwrap_or(0) + 2 * PROPAGATION_MS;
        let sound = self.sound.iter().filter(|(at_ms, _)| *at_ms > from_ms);
        let admitted = sound.clone().filter(|(_, is_admitted)| *is_admitted);
        (admitted.count(), sound.count())
    }
}

fn check(seed: u64, routers: usize, domains: usize, paths: ModelPaths, burst: usize) {
    let mut fleet = ModelFleet::new(seed, routers, domains, paths);
    fleet.schedule_requests(burst);
    fleet.run();
    let late = fleet.late_arrivals();
    let case = format!("seed {seed}, {routers} routers, {paths:?}, bursts of {burst}");
    assert!(late <= MAX_LATE_ARRIVALS, "{case}: {late} late arrivals");
    let (admitted, sound) = fleet.sound_share();
    assert!(
        admitted * 10 >= sound * 9,
        "{case}: {admitted} of {sound} sound requests admitted"
    );
}

/// Requests with the part arrive one by one and in bursts at any of up to 450 routers.
#[test]
fn fleet_few_requests_reach_targets_after_the_fifth_crash() {
    for (routers, domains) in [(1, 1), (3, 2), (8, 3), (74, 3)] {
        for (seed, burst) in (0..24).zip([1, 2, 5, 12].into_iter().cycle()) {
            check(seed, routers, domains, ModelPaths::Direct, burst);
        }
    }
    check(1, 195, 5, ModelPaths::Direct, 12);
    check(2, 450, 5, ModelPaths::Direct, 40);
}

/// The same where domains learn of each other's crashes through the store alone.
#[test]
fn fleet_of_isolated_domains_takes_turns_in_trials() {
    for (routers, domains) in [(3, 3), (8, 3), (40, 5)] {
        for (seed, burst) in (100..130).zip([1, 2, 5, 12, 40].into_iter().cycle()) {
            check(seed, routers, domains, ModelPaths::Store, burst);
        }
    }
}
