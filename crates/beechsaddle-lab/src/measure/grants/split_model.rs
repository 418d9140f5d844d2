//! The `split_model` module provides the baseline in which each router has a fixed share of a
//! budget.
//!
//! Its assumptions favour the baseline: every bill is durable at once, a replaced router retains
//! its share, and a router death loses only the reservations of the calls that ran there.

use std::collections::BTreeMap;

use super::grant_figures::GrantFigures;
use super::grant_setup::{GrantSetup, PlannedCall};

/// Runs the same calls and router deaths with fixed shares.
pub fn run_split(setup: &GrantSetup, seed: u64) -> GrantFigures {
    let (calls, deaths) = setup.plan(seed);
    let part = setup.budget_tokens / setup.routers() as u64;
    let mut split = SplitModel {
        parts: vec![part; setup.routers() * setup.budgets],
        ..SplitModel::default()
    };
    let mut deaths = deaths.into_iter().peekable();
    for call in &calls {
        while deaths.peek().is_some_and(|(at, _)| *at <= call.at) {
            if let Some((_, router)) = deaths.next() {
                split.kill(router, setup);
            }
        }
        split.arrive(call, setup);
    }
    let budget = setup.budget_tokens as f64;
    GrantFigures {
        calls: calls.len() as f64,
        refused: split.refused,
        false_refusals: split.false_refusals,
        written_off: split.written_off as f64,
        written_off_permille: 1_000.0 * split.written_off as f64 / budget,
        left_permille: split.left.unwrap_or(0.0) * 1_000.0,
        ..GrantFigures::default()
    }
}

#[derive(Debug, Default)]
struct SplitModel {
    /// The unreserved tokens of each router's share of each budget.
    parts: Vec<u64>,
    /// Running calls by end time: index of the share, router, and tokens to return.
    running: BTreeMap<(u64, u64), (usize, usize, u64)>,
    count: u64,
    refused: f64,
    false_refusals: f64,
    written_off: u64,
    left: Option<f64>,
}

impl SplitModel {
    fn arrive(&mut self, call: &PlannedCall, setup: &GrantSetup) {
        self.end_until(call.at);
        let router = call.domain * setup.routers_per_domain + call.router;
        let part = call.budget * setup.routers() + router;
        if self.parts[part] >= setup.bound {
            self.parts[part] -= setup.bound;
            self.count += 1;
            let end = (call.at + call.lasts_ms, self.count);
            self.running
                .insert(end, (part, router, setup.bound - call.tokens));
            return;
        }
        self.refused += 1.0;
        let first = call.budget * setup.routers();
        let left: u64 = self.parts[first..first + setup.routers()].iter().sum();
        let share = left as f64 / setup.budget_tokens as f64;
        self.left.get_or_insert(share);
        if share > 0.01 && left >= setup.bound {
            self.false_refusals += 1.0;
        }
    }

    fn end_until(&mut self, at: u64) {
        while let Some(entry) = self.running.first_entry() {
            if entry.key().0 > at {
                return;
            }
            let (part, _, refund) = entry.remove();
            self.parts[part] += refund;
        }
    }

    fn kill(&mut self, router: usize, setup: &GrantSetup) {
        let lost = self.running.values().filter(|(_, at, _)| *at == router);
        self.written_off += lost.count() as u64 * setup.bound;
        self.running.retain(|_, (_, at, _)| *at != router);
    }
}
