//! The `run_totals` module provides the sum of the run reports of all targets.

use std::collections::BTreeMap;

use super::{LoadTally, PlatformReader};
use crate::stand_in::RunReport;

/// The runs that the targets report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunTotals {
    /// Number of runs by the router's id of the call.
    calls: BTreeMap<String, u64>,
    /// Number of runs by idempotency key.
    keys: BTreeMap<String, u64>,
    /// Number of runs that started.
    pub started: u64,
    /// Number of tokens generated.
    pub tokens: u64,
}

impl RunTotals {
    /// Reads the reports of all targets.
    ///
    /// # Errors
    ///
    /// Returns an error if a target does not respond.
    pub async fn read(targets: &[String]) -> eyre::Result<Self> {
        let mut totals = RunTotals::default();
        for address in targets {
            let target = PlatformReader::new(address);
            let report: RunReport = target.read_json("/ran").await?;
            totals.add(report);
        }
        Ok(totals)
    }

    /// Adds the report of a target.
    pub fn add(&mut self, report: RunReport) {
        for (attempt, runs) in report.attempts {
            *self.calls.entry(call_of(&attempt)).or_default() += runs;
        }
        for (key, runs) in report.keys {
            *self.keys.entry(key).or_default() += runs;
        }
        self.started += report.started;
        self.tokens += report.tokens;
    }

    /// Returns the number of non-repeatable calls that ran more than once. Repeatable calls are
    /// left out, as they may run again after a lost response.
    pub fn doubled(&self, tally: &LoadTally) -> u64 {
        let runs = |key: &String| self.keys.get(key).copied().unwrap_or(0);
        let doubled = |key: &&String| runs(key) > 1;
        tally.non_repeatable_keys.iter().filter(doubled).count() as u64
    }

    /// Returns the number of refusals that stated "not run" although the call ran.
    pub fn false_not_run(&self, tally: &LoadTally) -> u64 {
        let ran = |call: &&String| self.calls.contains_key(call.as_str());
        tally.not_run.iter().filter(ran).count() as u64
    }
}

// An attempt id is the id of its call, a dot and the ordinal of the attempt.
fn call_of(attempt: &str) -> String {
    let (call, _) = attempt.rsplit_once('.').unwrap_or((attempt, ""));
    call.to_owned()
}
