//! The `fault_plan` module provides the faults of one seed, in the order of their times.

use std::time::Duration;

use beechsaddle_platform_stand_in::{StoreFault, TargetFault};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::fault_proxy::PathFault;

/// How many faults there are in a second, on average. They last one to three seconds, so that two or
/// three overlap.
const FAULTS_PER_S: f64 = 1.2;

/// One fault. Numbers count routers and targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SoakFault {
    /// SIGKILL; the router starts again after the fault's time.
    Kill(usize),
    /// SIGTERM; the router starts again when it has ended.
    Terminate(usize),
    /// SIGSTOP, then SIGCONT.
    Pause(usize),
    /// The settings file changes, with SIGHUP.
    Reload(usize),
    /// A router's way to the store.
    StorePath(usize, PathFault),
    /// The ways of others to a router's tokens.
    PeerPath(usize, PathFault),
    /// The ways to a target.
    TargetPath(usize, PathFault),
    /// The store.
    Store(StoreFault),
    /// The store forgets its history.
    Compact,
    /// A target.
    Target(usize, TargetFault),
    /// A target crashes; another one comes.
    Crash(usize),
    /// A target names a limit on requests a second.
    Limit(usize, u32),
    /// A target's entry says that it leaves; another target comes.
    Replace(usize),
    /// A target's entry lapses and comes back.
    Lapse(usize),
    /// A new configuration, with a route that the ones before lack.
    Config,
}

/// A fault, when it begins, and how long it lasts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedFault {
    /// After the start.
    pub at: Duration,
    /// How long.
    pub span: Duration,
    /// What.
    pub fault: SoakFault,
}

/// The faults of one seed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultPlan {
    /// In the order of their times.
    pub faults: Vec<PlannedFault>,
}

impl FaultPlan {
    /// Faults for `span`; the same seed gives the same ones.
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

    /// The same with crashes of targets, and limits that they name.
    #[must_use]
    pub fn with_target_faults(mut self, seed: u64, span: Duration, targets: usize) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed ^ TARGET_STREAM);
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

/// How many crashes and limits of targets there are in a second, on average.
const TARGET_FAULTS_PER_S: f64 = 0.6;

/// Tells the random numbers of these faults from those of all others, which stay the same for a seed.
const TARGET_STREAM: u64 = 0x7a5e;

/// The largest limit that a target names, in requests a second.
const LIMIT_MAX: u32 = 20;

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
        1 => PathFault::Silent,
        2 => PathFault::SilentBack,
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
