//! The `routing` module provides the experiment that compares policies for choosing a target.
//!
//! Engines and callers are simulated; the target tables of the routers are the real ones.

mod call_mix;
mod engine_model;
mod routing_call;
mod routing_trial;
mod trial_figures;
mod trial_setup;

use beechsaddle_core::targets::{ChoicePolicy, TargetOptions};

pub use routing_trial::RoutingTrial;
pub use trial_figures::TrialFigures;
pub use trial_setup::TrialSetup;

/// The number of seeds per set of parameters.
const SEEDS: u64 = 3;

/// The measured delays of load reports and cache events, in milliseconds.
const LAGS_MS: [f64; 3] = [0.0, 1_000.0, 5_000.0];

/// The measured slowdown factors of one engine.
const SLOWDOWNS: [f64; 2] = [1.0, 4.0];

const POLICIES: [(&str, ChoicePolicy); 3] = [
    ("adaptive", ChoicePolicy::Adaptive),
    ("least_in_flight", ChoicePolicy::LeastInFlight),
    ("random", ChoicePolicy::Random),
];

/// Runs every policy with every set of parameters.
pub fn run(seed: u64) -> Vec<String> {
    let mut lines = Vec::new();
    for slowdown in SLOWDOWNS {
        for lag_ms in LAGS_MS {
            for (name, policy) in POLICIES {
                let options = TargetOptions {
                    policy,
                    ..TargetOptions::default()
                };
                let setup = TrialSetup {
                    seed,
                    lag_ms,
                    slowdown,
                    ..TrialSetup::default()
                };
                let line = run_seeds(setup, &options).line();
                lines.push(format!(
                    "policy={name} lag_ms={lag_ms:.0} slow_factor={slowdown:.0} {line}"
                ));
            }
        }
    }
    lines
}

/// Runs one set of parameters with several seeds.
pub fn run_seeds(setup: TrialSetup, options: &TargetOptions) -> TrialFigures {
    let mut figures = TrialFigures::default();
    for offset in 0..SEEDS {
        let setup = TrialSetup {
            seed: setup.seed + offset,
            ..setup
        };
        figures.add(RoutingTrial::new(setup, options).run());
    }
    figures
}
