//! The `fault_plan` module provides the fault schedule of a seed.

use std::time::Duration;

use beechsaddle_platform_stand_in::{StoreFault, TargetFault};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::discovery_fault::{DiscoveryFault, draw_discovery};
use super::fault_proxy::PathFault;

/// Mean number of faults per second. They last one to three seconds, so that two or three overlap.
const FAULTS_PER_S: f64 = 1.2;

/// A fault. Routers and targets are given by index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SoakFault {
    /// Sends SIGKILL to a router, which is restarted at the end of the fault.
    Kill(usize),
    /// Sends SIGTERM to a router, which is restarted once it has exited.
    Terminate(usize),
    /// Sends SIGSTOP to a router, and SIGCONT at the end of the fault.
    Pause(usize),
    /// Changes the settings file of a router and sends it SIGHUP.
    Reload(usize),
    /// Faults of a router's connections to the store.
    StorePath(usize, PathFault),
    /// Faults of the connections over which other routers borrow a router's tokens.
    PeerPath(usize, PathFault),
    /// Faults of the connections to a target.
    TargetPath(usize, PathFault),
    /// A fault of the store.
    Store(StoreFault),
    /// The store compacts its history of changes.
    Compact,
    /// A fault of a target.
    Target(usize, TargetFault),
    /// A target crashes and is replaced.
    Crash(usize),
    /// A target sets a limit on requests per second.
    Limit(usize, u32),
    /// A target's entry is set to draining, and a replacement is added.
    Replace(usize),
    /// A target's entry expires and is written again at the end of the fault.
    Lapse(usize),
    /// A failure domain is evacuated, and taken back at the end of the fault.
    Evacuate(&'static str),
    /// A target becomes cold.
    Cold(usize),
    /// A new configuration is written, with a route that older ones lack.
    Config,
    /// A new configuration sets how long callers' connections may stay idle, in milliseconds.
    Idle(u64),
    /// A sound target sends nothing for a while and then goes on.
    Silence(usize, Duration),
    /// A target turns calls away and asks for rest, in milliseconds.
    Rest(usize, u64),
    /// A target says in its responses that it leaves, and is replaced at the end of the fault.
    Leave(usize, LeaveNotice),
    /// A fault of what routers read in the store.
    Discovery(DiscoveryFault),
}

/// Whether the entry of a target that leaves changes as well.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaveNotice {
    /// Its entry is set to draining at the end of the fault.
    Entry,
    /// Only its responses say so.
    ResponsesOnly,
}

/// A fault with its start time and duration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedFault {
    /// Time from the start of the soak.
    pub at: Duration,
    /// Duration of the fault.
    pub span: Duration,
    pub fault: SoakFault,
}

/// The fault schedule of a seed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultPlan {
    /// The faults, ordered by start time.
    pub faults: Vec<PlannedFault>,
}

impl FaultPlan {
    /// Creates the faults of a soak of `span`. The same seed gives the same faults.
    pub fn new(seed: u64, span: Duration, routers: usize, targets: usize) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let count = (span.as_secs_f64() * FAULTS_PER_S) as usize;
        let span_ms = span.as_millis() as u64;
        let mut faults: Vec<_> = (0..count)
            .map(|_| PlannedFault {
                at: Duration::from_millis(random.random_range(0..span_ms)),
                span: Duration::from_millis(random.random_range(200..3_000)),
                fault: draw_fault(&mut random, routers, targets),
            })
            .collect();
        faults.sort_by_key(|planned| planned.at);
        FaultPlan { faults }
    }

    /// Adds crashes and rate limits of targets.
    #[must_use]
    pub fn with_target_faults(mut self, seed: u64, span: Duration, targets: usize) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed ^ TARGET_FAULT_SEED);
        let count = (span.as_secs_f64() * TARGET_FAULTS_PER_S) as usize;
        let span_ms = span.as_millis() as u64;
        self.faults.extend((0..count).map(|_| PlannedFault {
            at: Duration::from_millis(random.random_range(0..span_ms)),
            span: Duration::from_millis(random.random_range(500..4_000)),
            fault: draw_target_fault(&mut random, targets),
        }));
        self.faults.sort_by_key(|planned| planned.at);
        self
    }
}

impl FaultPlan {
    /// Adds evacuations of failure domains and targets that become cold.
    #[must_use]
    pub fn with_domain_faults(mut self, seed: u64, span: Duration, targets: usize) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed ^ DOMAIN_FAULT_SEED);
        let count = (span.as_secs_f64() * DOMAIN_FAULTS_PER_S) as usize;
        let span_ms = span.as_millis() as u64;
        self.faults.extend((0..count).map(|_| PlannedFault {
            at: Duration::from_millis(random.random_range(0..span_ms)),
            span: Duration::from_millis(random.random_range(500..4_000)),
            fault: match random.random_bool(0.5) {
                true => SoakFault::Evacuate(DOMAINS[random.random_range(0..DOMAINS.len())]),
                false => SoakFault::Cold(random.random_range(0..targets)),
            },
        }));
        self.faults.sort_by_key(|planned| planned.at);
        self
    }
}

/// Mean number of faults per second of what routers read in the store.
const DISCOVERY_FAULTS_PER_S: f64 = 1.0;

/// Separates the random numbers of these faults from those of all others.
const DISCOVERY_SEED: u64 = 0xd15c;

impl FaultPlan {
    /// Adds odd entries of other writers, and watches that the store cuts off.
    #[must_use]
    pub fn with_discovery_faults(mut self, seed: u64, span: Duration, targets: usize) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed ^ DISCOVERY_SEED);
        let count = (span.as_secs_f64() * DISCOVERY_FAULTS_PER_S) as usize;
        let span_ms = span.as_millis() as u64;
        self.faults.extend((0..count).map(|_| PlannedFault {
            at: Duration::from_millis(random.random_range(0..span_ms)),
            span: Duration::from_millis(random.random_range(1_000..5_000)),
            fault: SoakFault::Discovery(draw_discovery(&mut random, targets)),
        }));
        self.faults.sort_by_key(|planned| planned.at);
        self
    }
}

/// The failure domains of a soak.
pub const DOMAINS: [&str; 2] = ["north", "south"];

/// Mean number of evacuations and cold targets per second.
const DOMAIN_FAULTS_PER_S: f64 = 0.4;

/// Separates the random numbers of these faults from those of all others.
const DOMAIN_FAULT_SEED: u64 = 0xe4ac;

/// Mean number of crashes and rate limits of targets per second.
const TARGET_FAULTS_PER_S: f64 = 0.6;

/// Separates the random numbers of target faults from those of all others, so that the other
/// faults of a seed do not change.
const TARGET_FAULT_SEED: u64 = 0x7a5e;

/// The highest limit that a target sets, in requests per second.
const LIMIT_MAX: u32 = 20;

/// The time between two rounds of changes of the idle time. It covers one use of a connection that
/// was kept by the longer time.
const IDLE_ROUND: Duration = Duration::from_millis(12_000);

/// The time from a change to a short idle time until one to a long time.
const SHORT_IDLE_SPAN: Duration = Duration::from_millis(3_000);

/// Mean number of silences, rests and leaves of targets per second.
const ANNOUNCEMENTS_PER_S: f64 = 1.25;

/// Share of silences during which the other target of the service asks for rest.
const RESTING_PARTNER_SHARE: f64 = 0.7;

/// The longest rest that a target asks for, in milliseconds.
pub const REST_MAX_MS: u64 = 3_000;

/// Separates the random numbers of announcements from those of all other faults.
const ANNOUNCEMENT_SEED: u64 = 0xa440;

impl FaultPlan {
    /// Creates a plan of announcements only: changes of the idle time, and targets that fall silent,
    /// ask for rest or leave.
    pub fn announcements(seed: u64, span: Duration, targets: usize) -> Self {
        FaultPlan { faults: Vec::new() }.with_announcements(seed, span, targets)
    }

    /// Adds changes of the idle time, and targets that fall silent, ask for rest or leave.
    #[must_use]
    pub fn with_announcements(mut self, seed: u64, span: Duration, targets: usize) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed ^ ANNOUNCEMENT_SEED);
        let span_ms = span.as_millis() as u64;
        let mut round = Duration::ZERO;
        while round < span {
            self.faults.extend(draw_idle_round(&mut random, round));
            round += IDLE_ROUND;
        }
        for number in 0..(span.as_secs_f64() * ANNOUNCEMENTS_PER_S) as usize {
            let at = Duration::from_millis(random.random_range(0..span_ms));
            let target = random.random_range(0..targets);
            self.faults
                .extend(draw_announcement(&mut random, number, at, target));
        }
        self.faults.sort_by_key(|planned| planned.at);
        self
    }
}

/// Draws a change to a short idle time and one to a long time after it.
fn draw_idle_round(random: &mut ChaCha8Rng, round: Duration) -> [PlannedFault; 2] {
    let mut draw = |at: Duration, idle_ms: std::ops::Range<u64>| PlannedFault {
        at: at + Duration::from_millis(random.random_range(0..500)),
        span: Duration::ZERO,
        fault: SoakFault::Idle(random.random_range(idle_ms)),
    };
    [
        draw(round, 800..1_500),
        draw(round + SHORT_IDLE_SPAN, 5_500..7_000),
    ]
}

/// Draws an announcement of a target, with the rest of its partner beside some silences. The number
/// decides its kind, so that each plan has all kinds.
fn draw_announcement(
    random: &mut ChaCha8Rng,
    number: usize,
    at: Duration,
    target: usize,
) -> Vec<PlannedFault> {
    match number % 5 {
        0..=2 => {
            let silence = Duration::from_millis(random.random_range(1_000..1_800));
            let mut drawn = vec![PlannedFault {
                at,
                span: Duration::ZERO,
                fault: SoakFault::Silence(target, silence),
            }];
            if random.random_bool(RESTING_PARTNER_SHARE) {
                // Targets of a service have neighbouring slots.
                drawn.push(PlannedFault {
                    span: silence,
                    ..draw_rest(random, at, target ^ 1)
                });
            }
            drawn
        }
        3 => vec![draw_rest(random, at, target)],
        _ => vec![PlannedFault {
            at,
            span: Duration::from_millis(random.random_range(500..4_000)),
            fault: SoakFault::Leave(target, draw_notice(random)),
        }],
    }
}

fn draw_rest(random: &mut ChaCha8Rng, at: Duration, target: usize) -> PlannedFault {
    PlannedFault {
        at,
        span: Duration::from_millis(random.random_range(300..2_000)),
        fault: SoakFault::Rest(target, random.random_range(1_000..=REST_MAX_MS)),
    }
}

fn draw_notice(random: &mut ChaCha8Rng) -> LeaveNotice {
    match random.random_bool(0.5) {
        true => LeaveNotice::Entry,
        false => LeaveNotice::ResponsesOnly,
    }
}

fn draw_target_fault(random: &mut ChaCha8Rng, targets: usize) -> SoakFault {
    let target = random.random_range(0..targets);
    match random.random_bool(0.5) {
        true => SoakFault::Crash(target),
        false => SoakFault::Limit(target, random.random_range(1..=LIMIT_MAX)),
    }
}

fn draw_fault(random: &mut ChaCha8Rng, routers: usize, targets: usize) -> SoakFault {
    let router = random.random_range(0..routers);
    let target = random.random_range(0..targets);
    match random.random_range(0..20) {
        0 | 1 => SoakFault::Kill(router),
        2 => SoakFault::Terminate(router),
        3 | 4 => SoakFault::Pause(router),
        5 => SoakFault::Reload(router),
        6 | 7 => SoakFault::StorePath(router, draw_path(random)),
        8 => SoakFault::PeerPath(router, draw_path(random)),
        9 | 10 => SoakFault::TargetPath(target, draw_path(random)),
        11 | 12 => SoakFault::Store(draw_store(random)),
        13 => SoakFault::Compact,
        14 | 15 => SoakFault::Target(target, draw_target(random)),
        16 => SoakFault::Replace(target),
        17 => SoakFault::Lapse(target),
        _ => SoakFault::Config,
    }
}

fn draw_path(random: &mut ChaCha8Rng) -> PathFault {
    match random.random_range(0..4) {
        0 => PathFault::Delayed(Duration::from_millis(random.random_range(5..400))),
        1 => PathFault::Stalled,
        2 => PathFault::ResponsesStalled,
        _ => PathFault::Reset,
    }
}

fn draw_store(random: &mut ChaCha8Rng) -> StoreFault {
    match random.random_range(0..4) {
        0 => StoreFault::Refusing,
        1 => StoreFault::Silent,
        2 => StoreFault::LostResponses,
        _ => StoreFault::LateWrites(random.random_range(200..2_500)),
    }
}

fn draw_target(random: &mut ChaCha8Rng) -> TargetFault {
    match random.random_range(0..9) {
        0 => TargetFault::Full,
        1 => TargetFault::Failing,
        2 => TargetFault::Disconnecting,
        3 => TargetFault::Silent,
        4 => TargetFault::WrongId,
        5 => TargetFault::SurplusResponse,
        6 => TargetFault::TruncatedResponse,
        7 => TargetFault::Unsealed,
        _ => TargetFault::TruncatedStream(random.random_range(0..5)),
    }
}

/// Mean number of shutdowns of routers per second: each takes some seconds, so that some overlap.
const SHUTDOWNS_PER_S: f64 = 0.8;

/// Separates the random numbers of shutdowns from those of all other faults.
const SHUTDOWN_SEED: u64 = 0x5d07;

impl FaultPlan {
    /// Creates a plan of shutdowns only, with further signals while routers leave, and pauses across
    /// the ends of drains.
    pub fn shutdowns(seed: u64, span: Duration, routers: usize, drain: Duration) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed ^ SHUTDOWN_SEED);
        let count = (span.as_secs_f64() * SHUTDOWNS_PER_S) as usize;
        let span_ms = span.as_millis() as u64;
        let mut faults: Vec<_> = (0..count)
            .flat_map(|_| {
                let at = Duration::from_millis(random.random_range(0..span_ms));
                let router = random.random_range(0..routers);
                draw_shutdown(&mut random, at, router, drain)
            })
            .collect();
        faults.sort_by_key(|planned| planned.at);
        FaultPlan { faults }
    }
}

fn draw_shutdown(
    random: &mut ChaCha8Rng,
    at: Duration,
    router: usize,
    drain: Duration,
) -> Vec<PlannedFault> {
    let mut drawn = vec![PlannedFault {
        at,
        span: drain,
        fault: SoakFault::Terminate(router),
    }];
    if random.random_bool(0.3) {
        let later = Duration::from_millis(random.random_range(0..2_500));
        let signal = match random.random_bool(0.5) {
            true => SoakFault::Terminate(router),
            false => SoakFault::Reload(router),
        };
        drawn.push(PlannedFault {
            at: at + later,
            span: Duration::ZERO,
            fault: signal,
        });
    }
    if random.random_bool(0.6) {
        let before = Duration::from_millis(random.random_range(0..120));
        drawn.push(PlannedFault {
            at: at + drain - before,
            span: Duration::from_millis(random.random_range(40..200)),
            fault: SoakFault::Pause(router),
        });
    }
    drawn
}
