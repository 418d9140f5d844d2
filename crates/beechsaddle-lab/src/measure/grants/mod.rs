//! The `grants` module provides the experiments on budgets: what is refused falsely and what is
//! written off, against endurance, scarcity and deaths, and what grants cost the platform.
//!
//! The routers' money desks are the real ones; callers, network and platform are a small model in
//! model time. The even split gives each router a fixed part of the budget in the same run.

mod grant_figures;
mod grant_model;
mod grant_setup;
mod model_store;
mod split_model;

use beechsaddle_core::accounting::AccountingOptions;

pub use grant_figures::GrantFigures;
pub use grant_model::GrantModel;
pub use grant_setup::GrantSetup;

/// How many seeds each condition is run with; figures are their means.
const SEEDS: u64 = 3;

/// Outages that a mark should cover, in milliseconds.
const ENDURANCES_MS: [u64; 5] = [2_000, 5_000, 10_000, 30_000, 60_000];

/// Budgets in reservations of one call.
const BUDGET_BOUNDS: [u64; 4] = [100, 400, 1_600, 6_400];

/// Deaths of routers in an hour, all of them together.
const DEATHS_PER_HOUR: [u64; 2] = [60, 180];

/// Routers in each of three domains.
const ROUTERS_PER_DOMAIN: [usize; 4] = [1, 2, 4, 8];

/// Budgets that are drawn on at the same time.
const BUDGET_COUNTS: [usize; 3] = [1, 10, 40];

/// Runs all of them.
pub fn run(seed: u64) -> Vec<String> {
    let mut lines = Vec::new();
    lines.extend(endurance_lines(seed));
    lines.extend(scarcity_lines(seed));
    lines.extend(death_lines(seed));
    lines.extend(top_up_lines(seed));
    lines.extend(cost_lines(seed));
    lines
}

/// An ample budget and an outage of 30 s, without and with deaths, against the endurance.
fn endurance_lines(seed: u64) -> Vec<String> {
    let mut lines = Vec::new();
    for deaths in [0, 3] {
        for endurance_ms in ENDURANCES_MS {
            let setup = GrantSetup {
                outage_ms: Some((60_000, 90_000)),
                deaths,
                options: AccountingOptions {
                    endurance_ms,
                    ..AccountingOptions::default()
                },
                ..GrantSetup::default()
            };
            let head = format!("run=endurance deaths={deaths} endurance_ms={endurance_ms}");
            lines.extend(both_lines(&head, seed, &setup));
        }
    }
    lines
}

/// A budget that runs out, against how many reservations it holds.
fn scarcity_lines(seed: u64) -> Vec<String> {
    let mut lines = Vec::new();
    for bounds in BUDGET_BOUNDS {
        let setup = GrantSetup::default();
        let setup = GrantSetup {
            budget_tokens: bounds * setup.bound,
            calls_per_second: (bounds / 40).clamp(5, 60),
            ..setup
        };
        let head = format!("run=scarcity budget_bounds={bounds}");
        lines.extend(both_lines(&head, seed, &setup));
    }
    lines
}

/// An ample budget, against deaths of routers, for two endurances.
fn death_lines(seed: u64) -> Vec<String> {
    let mut lines = Vec::new();
    for per_hour in DEATHS_PER_HOUR {
        for endurance_ms in [10_000, 60_000] {
            let setup = GrantSetup::default();
            let setup = GrantSetup {
                deaths: (per_hour * setup.duration_ms).div_ceil(3_600_000),
                options: AccountingOptions {
                    endurance_ms,
                    ..AccountingOptions::default()
                },
                ..setup
            };
            let head = format!("run=deaths deaths_per_hour={per_hour} endurance_ms={endurance_ms}");
            lines.extend(both_lines(&head, seed, &setup));
        }
    }
    lines
}

/// From an applied top-up of an empty budget to the first call that is admitted, in each domain.
fn top_up_lines(seed: u64) -> Vec<String> {
    let setup = GrantSetup::default();
    let setup = GrantSetup {
        budget_tokens: 100 * setup.bound,
        calls_per_second: 10,
        top_up_ms: Some(100_000),
        ..setup
    };
    let mut lines = Vec::new();
    for offset in 0..SEEDS {
        let figures = GrantModel::new(&setup, seed + offset).run();
        for (domain, waited_ms) in figures.spendable_ms.iter().enumerate() {
            let waited = waited_ms.map_or_else(|| "never".to_owned(), |waited| waited.to_string());
            let seed = seed + offset;
            lines.push(format!(
                "run=top_up seed={seed} domain={domain} spendable_ms={waited}"
            ));
        }
    }
    lines
}

/// Platform calls a second against routers and against budgets.
fn cost_lines(seed: u64) -> Vec<String> {
    let mut lines = Vec::new();
    for routers in ROUTERS_PER_DOMAIN {
        let setup = GrantSetup {
            routers_per_domain: routers,
            duration_ms: 60_000,
            ..GrantSetup::default()
        };
        let figures = mean_figures(seed, &setup);
        let line = figures.cost_line();
        lines.push(format!("run=cost routers={} budgets=1 {line}", routers * 3));
    }
    for budgets in BUDGET_COUNTS {
        let setup = GrantSetup {
            budgets,
            duration_ms: 60_000,
            ..GrantSetup::default()
        };
        let figures = mean_figures(seed, &setup);
        let line = figures.cost_line();
        lines.push(format!("run=cost routers=9 budgets={budgets} {line}"));
    }
    lines
}

fn both_lines(head: &str, seed: u64, setup: &GrantSetup) -> Vec<String> {
    let demand = mean_figures(seed, setup).line();
    let split: Vec<GrantFigures> = (0..SEEDS)
        .map(|offset| split_model::run_split(setup, seed + offset))
        .collect();
    let split = GrantFigures::mean(&split).line();
    vec![
        format!("{head} policy=demand {demand}"),
        format!("{head} policy=even_split {split}"),
    ]
}

/// The mean over several seeds.
pub fn mean_figures(seed: u64, setup: &GrantSetup) -> GrantFigures {
    let figures: Vec<GrantFigures> = (0..SEEDS)
        .map(|offset| GrantModel::new(setup, seed + offset).run())
        .collect();
    GrantFigures::mean(&figures)
}
