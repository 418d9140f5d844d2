//! The `arrival_plan` module provides the calls of a load run in sending order.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{CallMix, PlannedCall, ShareTable};

/// Shared prompt prefixes of each workspace.
const PREFIXES_PER_WORKSPACE: u64 = 4;

/// Parameters from which the calls of a run are generated.
#[derive(Clone, Debug)]
pub struct PlanOptions {
    /// Seed of the random number generator.
    pub seed: u64,
    /// Mean arrival rate in calls per second.
    pub rate: f64,
    /// The time during which calls are sent.
    pub span: Duration,
    /// Shares of the call kinds.
    pub mix: CallMix,
    /// Number of workspaces that send calls.
    pub workspaces: usize,
    /// Zipf exponent of the workspaces' shares.
    pub skew: f64,
    /// Upper bound of a call's `max_tokens`; each call requests between half of it and all of it.
    pub max_tokens: u64,
    /// Whether progress lines are written to standard error.
    pub progress: bool,
}

/// The calls of a run: open-loop Poisson arrivals, independent of responses.
#[derive(Clone, Debug)]
pub struct ArrivalPlan {
    options: PlanOptions,
    shares: ShareTable,
    random: ChaCha8Rng,
    number: u64,
    offset: Duration,
}

impl ArrivalPlan {
    /// Creates the plan of a run.
    pub fn new(options: PlanOptions) -> Self {
        ArrivalPlan {
            shares: ShareTable::new(options.workspaces, options.skew),
            random: ChaCha8Rng::seed_from_u64(options.seed),
            number: 0,
            offset: Duration::ZERO,
            options,
        }
    }

    /// Whether progress lines are written to standard error.
    pub fn shows_progress(&self) -> bool {
        self.options.progress
    }

    // Inter-arrival times of a Poisson process are exponential. `1 - u` is never zero, so the
    // logarithm is finite.
    fn next_gap(&mut self) -> Duration {
        let uniform: f64 = self.random.random();
        let seconds = -(1.0 - uniform).ln() / self.options.rate.max(f64::MIN_POSITIVE);
        Duration::from_secs_f64(seconds.min(self.options.span.as_secs_f64() + 1.0))
    }
}

impl Iterator for ArrivalPlan {
    type Item = PlannedCall;

    fn next(&mut self) -> Option<PlannedCall> {
        let gap = self.next_gap();
        self.offset += gap;
        if self.offset >= self.options.span {
            return None;
        }
        let number = self.number;
        self.number += 1;
        let most = self.options.max_tokens.max(1);
        Some(PlannedCall {
            number,
            offset: self.offset,
            kind: self.options.mix.pick(&mut self.random),
            workspace: self.shares.pick(&mut self.random),
            key: format!("load-{}-{number}", self.options.seed),
            prefix: self.random.random_range(0..PREFIXES_PER_WORKSPACE),
            max_tokens: self.random.random_range(most.div_ceil(2)..=most),
        })
    }
}
