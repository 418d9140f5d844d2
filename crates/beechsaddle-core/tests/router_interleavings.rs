//! Random interleavings of calls and faults over complete routers of two domains.
//!
//! `BEECHSADDLE_SEED=n` replays and shortens one session; `BEECHSADDLE_SEEDS=n` runs `n` of them,
//! starting at `BEECHSADDLE_FIRST`, each with `BEECHSADDLE_STEPS` steps.

mod fault_fleet;
mod fleet_setup;

use std::panic::{AssertUnwindSafe, catch_unwind};

use fault_fleet::{FaultFleet, FleetStep};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Steps per session.
const STEPS: u64 = 60;

/// The default number of sessions.
const SEEDS: u64 = 12;

/// The maximum number of sessions to run while shortening one.
const SHRINK_RUNS: usize = 150;

fn draw_steps(seed: u64) -> Vec<FleetStep> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ 0x5eed);
    let count = env_number("BEECHSADDLE_STEPS").unwrap_or(STEPS);
    (0..count).map(|_| FleetStep::draw(&mut random)).collect()
}

/// Returns the faults found in a session.
fn run_session(seed: u64, steps: &[FleetStep]) -> Vec<String> {
    let session = || {
        let mut fleet = FaultFleet::new(seed);
        for step in steps {
            fleet.step(step);
            fleet.check();
            if !fleet.faults.is_empty() {
                return fleet.faults;
            }
        }
        fleet.heal();
        if !fleet.faults.is_empty() && env_number("BEECHSADDLE_SEED").is_some() {
            let report = fleet.report();
            fleet.faults.extend(report);
        }
        fleet.faults
    };
    catch_unwind(AssertUnwindSafe(session)).unwrap_or_else(|panic| {
        let text = panic.downcast_ref::<String>().cloned();
        vec![format!("panic: {}", text.unwrap_or_default())]
    })
}

/// Returns the kind of the first fault: the start of its text without digits.
fn kind_of(faults: &[String]) -> String {
    let first = faults.first().map_or("", String::as_str);
    first
        .chars()
        .filter(|letter| !letter.is_ascii_digit())
        .take(20)
        .collect()
}

/// Removes steps while the session still fails in the same way.
fn shrink(seed: u64, steps: Vec<FleetStep>, kind: &str) -> Vec<FleetStep> {
    let mut shortest = steps;
    let mut length = shortest.len() / 2;
    let mut runs = 0;
    while length > 0 {
        let mut start = 0;
        while start < shortest.len() && runs < SHRINK_RUNS {
            runs += 1;
            let end = (start + length).min(shortest.len());
            let mut shorter = shortest.clone();
            shorter.drain(start..end);
            if kind_of(&run_session(seed, &shorter)) == kind {
                shortest = shorter;
            } else {
                start = end;
            }
        }
        length /= 2;
    }
    shortest
}

fn env_number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

#[test]
fn interleavings_keep_all_invariants() {
    let seeds = match env_number("BEECHSADDLE_SEED") {
        Some(seed) => seed..seed + 1,
        None => {
            let first = env_number("BEECHSADDLE_FIRST").unwrap_or(0);
            first..first + env_number("BEECHSADDLE_SEEDS").unwrap_or(SEEDS)
        }
    };
    let mut failed = Vec::new();
    for seed in seeds {
        let steps = draw_steps(seed);
        let faults = run_session(seed, &steps);
        if !faults.is_empty() {
            eprintln!("seed {seed}: {faults:#?}");
            failed.push(seed);
        }
    }
    if let Some(seed) = env_number("BEECHSADDLE_SEED").filter(|seed| failed.contains(seed)) {
        let steps = draw_steps(seed);
        let kind = kind_of(&run_session(seed, &steps));
        let steps = shrink(seed, steps, &kind);
        eprintln!("seed {seed}, shortened: {steps:#?}");
        eprintln!("{:#?}", run_session(seed, &steps));
    }
    assert!(
        failed.is_empty(),
        "failed seeds: {failed:?}; replay one by BEECHSADDLE_SEED"
    );
}

/// A call that never ran, because its router was presumed dead while the call waited, must not be
/// billed.
#[test]
fn interleavings_call_not_run_before_router_loss_is_not_billed() {
    assert_eq!(run_session(1_185, &draw_steps(1_185)), Vec::<String>::new());
}
