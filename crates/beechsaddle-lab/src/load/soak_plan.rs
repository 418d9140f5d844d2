//! The `soak_plan` module provides the faults of a soak, in the order of their times.

use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The time between two routers that are killed or frozen.
const ROUTER_PERIOD: Duration = Duration::from_secs(10);

/// How long a killed router stays away.
const RESTART_AFTER: Duration = Duration::from_secs(3);

/// How long a router is frozen: from a stall that nobody notices to one that peers act on.
const FREEZE_MS: std::ops::Range<u64> = 500..8_000;

/// The time between two faults of the platform.
const PLATFORM_PERIOD: Duration = Duration::from_secs(35);

/// How long a fault of the platform lasts.
const PLATFORM_SPAN: Duration = Duration::from_secs(12);

/// One fault, or its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SoakStep {
    /// SIGKILL.
    Kill(String),
    /// The router starts again.
    Restart(String),
    /// SIGSTOP.
    Freeze(String),
    /// SIGCONT.
    Thaw(String),
    /// The platform takes no connections.
    PlatformAway(Duration),
    /// The platform's answers to writes get lost, after the writes took effect.
    AnswersLost(Duration),
}

/// The faults of a soak, each with its time after the start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SoakPlan {
    /// The steps in the order of their times.
    pub steps: Vec<(Duration, SoakStep)>,
}

impl SoakPlan {
    /// Faults for `span`, all over by its end; the same seed gives the same faults.
    pub fn new(seed: u64, routers: &[String], span: Duration) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut steps = Vec::new();
        let last = span.saturating_sub(ROUTER_PERIOD);
        let mut time = ROUTER_PERIOD;
        while time <= last {
            if let Some(router) = routers.choose(&mut random) {
                let freeze = Duration::from_millis(random.random_range(FREEZE_MS));
                steps.extend(router_steps(time, router, random.random(), freeze));
            }
            time += ROUTER_PERIOD;
        }
        steps.extend(platform_steps(span.saturating_sub(PLATFORM_SPAN)));
        steps.sort_by_key(|(time, _)| *time);
        SoakPlan { steps }
    }
}

fn router_steps(
    time: Duration,
    router: &str,
    kill: bool,
    freeze: Duration,
) -> [(Duration, SoakStep); 2] {
    let name = router.to_owned();
    if kill {
        let back = time + RESTART_AFTER;
        [
            (time, SoakStep::Kill(name.clone())),
            (back, SoakStep::Restart(name)),
        ]
    } else {
        [
            (time, SoakStep::Freeze(name.clone())),
            (time + freeze, SoakStep::Thaw(name)),
        ]
    }
}

fn platform_steps(last: Duration) -> Vec<(Duration, SoakStep)> {
    let mut steps = Vec::new();
    let mut time = PLATFORM_PERIOD / 2;
    while time <= last {
        let step = if steps.len() % 2 == 0 {
            SoakStep::PlatformAway(PLATFORM_SPAN)
        } else {
            SoakStep::AnswersLost(PLATFORM_SPAN)
        };
        steps.push((time, step));
        time += PLATFORM_PERIOD;
    }
    steps
}
