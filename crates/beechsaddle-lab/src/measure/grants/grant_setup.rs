//! The `grant_setup` module provides the parameters of one run and its calls.

use beechsaddle_core::accounting::AccountingOptions;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The shares of calls in the three domains, in percent.
const DOMAIN_SHARES: [u64; 3] = [60, 30, 10];

/// The parameters of one run. Times are in milliseconds, amounts in tokens.
#[derive(Clone, Debug)]
pub struct GrantSetup {
    /// Options of the accounting managers.
    pub options: AccountingOptions,
    /// Routers in each of three domains.
    pub routers_per_domain: usize,
    /// The number of budgets, all of the same size.
    pub budgets: usize,
    /// The tokens of each budget.
    pub budget_tokens: u64,
    /// The reservation of a call, which then uses between a fifth and three fifths of it.
    pub bound: u64,
    /// Calls per second in all domains together.
    pub calls_per_second: u64,
    /// The time during which calls arrive.
    pub duration_ms: u64,
    /// Start and end of the platform outage.
    pub outage_ms: Option<(u64, u64)>,
    /// Router deaths, spread evenly over the run; each router is replaced.
    pub deaths: u64,
    /// When the first budget is topped up by its initial amount.
    pub top_up_ms: Option<u64>,
}

impl Default for GrantSetup {
    fn default() -> Self {
        GrantSetup {
            options: AccountingOptions::default(),
            routers_per_domain: 3,
            budgets: 1,
            budget_tokens: 20_000_000,
            bound: 2_000,
            calls_per_second: 20,
            duration_ms: 120_000,
            outage_ms: None,
            deaths: 0,
            top_up_ms: None,
        }
    }
}

/// A scheduled call.
#[derive(Clone, Copy, Debug)]
pub struct PlannedCall {
    /// The time of arrival.
    pub at: u64,
    /// The index of the domain.
    pub domain: usize,
    /// The index of the router in its domain.
    pub router: usize,
    /// The index of the budget.
    pub budget: usize,
    /// The tokens that the call uses.
    pub tokens: u64,
    /// The duration of the call.
    pub lasts_ms: u64,
}

impl GrantSetup {
    /// Returns the number of routers in all domains together.
    pub fn routers(&self) -> usize {
        self.routers_per_domain * DOMAIN_SHARES.len()
    }

    /// Returns the calls and router deaths of a run, which are the same for all policies.
    pub fn plan(&self, seed: u64) -> (Vec<PlannedCall>, Vec<(u64, usize)>) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let count = self.calls_per_second * self.duration_ms / 1_000;
        let mut calls: Vec<PlannedCall> = (0..count)
            .map(|_| PlannedCall {
                at: random.random_range(0..self.duration_ms),
                domain: draw_domain(random.random_range(0..100)),
                router: random.random_range(0..self.routers_per_domain),
                budget: random.random_range(0..self.budgets),
                tokens: random.random_range(self.bound / 5..self.bound * 3 / 5),
                lasts_ms: random.random_range(500..4_000),
            })
            .collect();
        calls.sort_by_key(|call| call.at);
        let deaths = (0..self.deaths)
            .map(|number| {
                let at = (number * 2 + 1) * self.duration_ms / (self.deaths * 2);
                (at, random.random_range(0..self.routers()))
            })
            .collect();
        (calls, deaths)
    }
}

fn draw_domain(drawn: u64) -> usize {
    let mut sum = 0;
    for (domain, share) in DOMAIN_SHARES.iter().enumerate() {
        sum += share;
        if drawn < sum {
            return domain;
        }
    }
    0
}
