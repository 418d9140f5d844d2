//! The `soak_plan` module provides the fault schedule of a soak.

use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The time between two faults of routers.
const ROUTER_PERIOD: Duration = Duration::from_secs(10);

/// How long a killed router stays down.
const RESTART_DELAY: Duration = Duration::from_secs(3);

/// How long a router is frozen: from a stall that peers do not detect to one that they react to.
const FREEZE_MS: std::ops::Range<u64> = 500..8_000;

/// The time between the starts of two faults of the platform.
const PLATFORM_PERIOD: Duration = Duration::from_secs(35);

/// Duration of a fault of the platform.
const PLATFORM_SPAN: Duration = Duration::from_secs(12);

/// The start or end of a fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SoakStep {
    /// Sends SIGKILL to a router.
    Kill(String),
    /// Restarts a killed router.
    Restart(String),
    /// Sends SIGSTOP to a router.
    Freeze(String),
    /// Sends SIGCONT to a frozen router.
    Thaw(String),
    /// The platform refuses connections.
    PlatformAway(Duration),
    /// Writes to the platform take effect, but some of their responses are lost.
    AnswersLost(Duration),
}

/// The fault schedule of a soak.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SoakPlan {
    /// The steps with their times from the start, in time order.
    pub steps: Vec<(Duration, SoakStep)>,
}

impl SoakPlan {
    /// Creates the faults of a soak of `span`, all of which end within it. The same seed gives the
    /// same faults.
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
        let back = time + RESTART_DELAY;
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
