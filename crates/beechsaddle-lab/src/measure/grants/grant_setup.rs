//! The `grant_setup` module provides the conditions of one run and its callers.

use beechsaddle_core::accounting::AccountingOptions;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Shares of the callers in each of three domains, in hundredths.
const DOMAIN_SHARES: [u64; 3] = [60, 30, 10];

/// The conditions of one run. Spans are milliseconds, amounts tokens.
#[derive(Clone, Debug)]
pub struct GrantSetup {
    /// Settings of the money desks.
    pub options: AccountingOptions,
    /// Routers in each of three domains.
    pub routers_per_domain: usize,
    /// Budgets, all alike.
    pub budgets: usize,
    /// What each of them has.
    pub budget_tokens: u64,
    /// What a call reserves; it uses between a fifth and three fifths of it.
    pub bound: u64,
    /// Calls a second over all domains.
    pub calls_per_second: u64,
    /// How long callers call.
    pub duration_ms: u64,
    /// From when to when the platform is away.
    pub outage_ms: Option<(u64, u64)>,
    /// Routers that die, spread over the run; each is replaced.
    pub deaths: u64,
    /// When the first budget is topped up by as much again.
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

/// A call that a caller will make.
#[derive(Clone, Copy, Debug)]
pub struct PlannedCall {
    /// When it arrives.
    pub at: u64,
    /// In which domain.
    pub domain: usize,
    /// At which of the domain's routers.
    pub router: usize,
    /// On which budget.
    pub budget: usize,
    /// What it uses.
    pub tokens: u64,
    /// How long it runs.
    pub lasts_ms: u64,
}

impl GrantSetup {
    /// All routers.
    pub fn routers(&self) -> usize {
        self.routers_per_domain * DOMAIN_SHARES.len()
    }

    /// The calls and the deaths of a run: the same for all policies.
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
