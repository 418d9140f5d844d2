//! The `run_totals` module provides what ran at all targets together.

use std::collections::BTreeMap;

use super::{LoadTally, PlatformReader};
use crate::stand_in::RunReport;

/// What ran, by the targets' own word.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunTotals {
    /// Runs by the router's id of the call.
    calls: BTreeMap<String, u64>,
    /// Runs by idempotency key.
    keys: BTreeMap<String, u64>,
    /// Runs that began.
    pub started: u64,
    /// Tokens generated.
    pub tokens: u64,
}

impl RunTotals {
    /// Asks all targets.
    ///
    /// # Errors
    ///
    /// When one does not answer.
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

    /// Calls that may not be repeated, and ran more than once all the same. A key of any other call
    /// may run again, when its first answer was lost.
    pub fn doubled(&self, tally: &LoadTally) -> u64 {
        let runs = |key: &String| self.keys.get(key).copied().unwrap_or(0);
        let doubled = |key: &&String| runs(key) > 1;
        tally.once_keys.iter().filter(doubled).count() as u64
    }

    /// Refusals that said "not run" of a call that did run.
    pub fn false_not_run(&self, tally: &LoadTally) -> u64 {
        let ran = |call: &&String| self.calls.contains_key(call.as_str());
        tally.not_run.iter().filter(ran).count() as u64
    }
}

// An attempt is called after its call, with its ordinal after the last point.
fn call_of(attempt: &str) -> String {
    let (call, _) = attempt.rsplit_once('.').unwrap_or((attempt, ""));
    call.to_owned()
}
