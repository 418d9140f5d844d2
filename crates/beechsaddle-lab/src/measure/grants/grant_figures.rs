//! The `grant_figures` module provides the results of one run of the grant model.

use crate::key_values::KeyValues;

/// Counts and shares of one run, or their means over several runs.
#[derive(Clone, Debug, Default)]
pub struct GrantFigures {
    /// Calls made.
    pub calls: f64,
    /// Calls refused.
    pub refused: f64,
    /// Calls refused although more than a hundredth of the budget, and enough for the call, was
    /// neither used, reserved nor written off.
    pub false_refusals: f64,
    /// Tokens served beyond the budgets.
    pub overspend: f64,
    /// Tokens written off by the end, in thousandths of the budget.
    pub written_off_permille: f64,
    /// Tokens written off by the end.
    pub written_off: f64,
    /// Tokens neither used, reserved nor written off at the first refusal, in thousandths of the
    /// budget.
    pub left_permille: f64,
    /// Platform reads per second.
    pub reads_per_second: f64,
    /// Platform writes, deletes and lists per second.
    pub writes_per_second: f64,
    /// Milliseconds from the top-up to the first admitted call of each domain.
    pub spendable_ms: Vec<Option<u64>>,
}

impl GrantFigures {
    /// Returns the means of several runs, without `spendable_ms`.
    pub fn mean(runs: &[GrantFigures]) -> GrantFigures {
        let count = runs.len().max(1) as f64;
        let mean = |value: fn(&GrantFigures) -> f64| runs.iter().map(value).sum::<f64>() / count;
        GrantFigures {
            calls: mean(|run| run.calls),
            refused: mean(|run| run.refused),
            false_refusals: mean(|run| run.false_refusals),
            overspend: mean(|run| run.overspend),
            written_off_permille: mean(|run| run.written_off_permille),
            written_off: mean(|run| run.written_off),
            left_permille: mean(|run| run.left_permille),
            reads_per_second: mean(|run| run.reads_per_second),
            writes_per_second: mean(|run| run.writes_per_second),
            spendable_ms: Vec::new(),
        }
    }

    /// Returns the results on refusals and write-offs.
    pub fn line(&self) -> KeyValues {
        let share = 1_000.0 * self.false_refusals / self.calls.max(1.0);
        KeyValues::new()
            .with("calls", self.calls)
            .with_float("refused", self.refused)
            .with_float("false_refused_permille", share)
            .with_float("left_at_first_refusal_permille", self.left_permille)
            .with_float("written_off_tokens", self.written_off)
            .with_float("written_off_permille", self.written_off_permille)
            .with("overspend", self.overspend)
    }

    /// Returns the results on platform load.
    pub fn cost_line(&self) -> KeyValues {
        KeyValues::new()
            .with_float("reads_per_second", self.reads_per_second)
            .with_float("writes_per_second", self.writes_per_second)
    }
}
