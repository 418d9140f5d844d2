//! The `arrival_plan` module provides the calls of a run, in the order of their sending.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{CallMix, PlannedCall, ShareTable};

/// How many shared prompt beginnings a workspace has.
const OPENINGS: u64 = 4;

/// What a run's calls are drawn from.
#[derive(Clone, Debug)]
pub struct PlanOptions {
    /// The seed of all choices.
    pub seed: u64,
    /// Calls a second on average.
    pub rate: f64,
    /// How long calls are sent.
    pub span: Duration,
    /// The shares of the kinds.
    pub mix: CallMix,
    /// How many workspaces send.
    pub workspaces: usize,
    /// The exponent of the workspaces' shares.
    pub skew: f64,
    /// The most tokens that a call generates; each call asks for half of it to all of it.
    pub max_tokens: u64,
    /// Whether progress lines go to the standard error stream.
    pub progress: bool,
}

/// The calls of a run: open-loop Poisson arrivals, which wait for no answer.
#[derive(Clone, Debug)]
pub struct ArrivalPlan {
    options: PlanOptions,
    shares: ShareTable,
    random: ChaCha8Rng,
    number: u64,
    offset: Duration,
}

impl ArrivalPlan {
    /// The plan of a run.
    pub fn new(options: PlanOptions) -> Self {
        ArrivalPlan {
            shares: ShareTable::new(options.workspaces, options.skew),
            random: ChaCha8Rng::seed_from_u64(options.seed),
            number: 0,
            offset: Duration::ZERO,
            options,
        }
    }

    /// Whether progress lines go to the standard error stream.
    pub fn shows_progress(&self) -> bool {
        self.options.progress
    }

    // The time to the next arrival of a Poisson process is exponential; `1 - u` is never zero, so
    // that the logarithm is finite.
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
            opening: self.random.random_range(0..OPENINGS),
            max_tokens: self.random.random_range(most.div_ceil(2)..=most),
        })
    }
}
