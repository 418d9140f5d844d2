//! The `grants` module provides the experiments on budgets: false refusals and write-offs by outage
//! reserve, budget size and router deaths, and the load of grants on the platform.
//!
//! The accounting managers are the real ones; callers, network and platform are simulated. The
//! baseline `even_split` gives each router a fixed share of the budget and gets the same calls.

mod grant_figures;
mod grant_model;
mod grant_setup;
mod model_store;
mod split_model;

use beechsaddle_core::accounting::AccountingOptions;

pub use grant_figures::GrantFigures;
pub use grant_model::GrantModel;
pub use grant_setup::GrantSetup;

/// The number of seeds per set of parameters; results are means over them.
const SEEDS: u64 = 3;

/// The measured outage reserves, in milliseconds: how long an outage may last that a router's held
/// tokens are meant to cover.
const OUTAGE_RESERVES_MS: [u64; 5] = [2_000, 5_000, 10_000, 30_000, 60_000];

/// The measured budget sizes, in reservations of one call.
const BUDGET_BOUNDS: [u64; 4] = [100, 400, 1_600, 6_400];

/// The measured rates of router deaths in the whole fleet, per hour.
const DEATHS_PER_HOUR: [u64; 2] = [60, 180];

/// The measured fleet sizes, in routers of each of three domains.
const ROUTERS_PER_DOMAIN: [usize; 4] = [1, 2, 4, 8];

/// The measured numbers of budgets in use at the same time.
const BUDGET_COUNTS: [usize; 3] = [1, 10, 40];

/// Runs all experiments on budgets.
pub fn run(seed: u64) -> Vec<String> {
    let mut lines = Vec::new();
    lines.extend(outage_lines(seed));
    lines.extend(scarcity_lines(seed));
    lines.extend(death_lines(seed));
    lines.extend(top_up_lines(seed));
    lines.extend(cost_lines(seed));
    lines
}

/// Measures a large budget in an outage of 30 s by the outage reserve, with and without router
/// deaths.
fn outage_lines(seed: u64) -> Vec<String> {
    let mut lines = Vec::new();
    for deaths in [0, 3] {
        for endurance_ms in OUTAGE_RESERVES_MS {
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
            lines.extend(compare_policies(&head, seed, &setup));
        }
    }
    lines
}

/// Measures a budget that runs out, by its size in reservations.
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
        lines.extend(compare_policies(&head, seed, &setup));
    }
    lines
}

/// Measures a large budget by the rate of router deaths, for two outage reserves.
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
            lines.extend(compare_policies(&head, seed, &setup));
        }
    }
    lines
}

/// Measures the time from the top-up of an exhausted budget to the first admitted call of each
/// domain.
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

/// Measures platform calls per second by routers and by budgets.
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

fn compare_policies(head: &str, seed: u64, setup: &GrantSetup) -> Vec<String> {
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

/// Returns the mean results over several seeds.
pub fn mean_figures(seed: u64, setup: &GrantSetup) -> GrantFigures {
    let figures: Vec<GrantFigures> = (0..SEEDS)
        .map(|offset| GrantModel::new(setup, seed + offset).run())
        .collect();
    GrantFigures::mean(&figures)
}
