//! The `loss_report` module provides the number of calls that were refused, failed, late or
//! repeated.

use std::collections::BTreeMap;
use std::fmt;

use super::{LogEntry, LogIndex};

/// The number of causes, workspaces and targets listed, those with most losses first.
const LISTED_MAX: usize = 10;

/// The outcome of a call that a target answered.
const ANSWERED: &str = "answered";

/// Numbers of the calls that were lost or late.
#[derive(Clone, Debug, Default)]
pub struct LossReport {
    calls: u64,
    /// Lost calls by outcome, and late calls by the cause of the delay.
    causes: BTreeMap<String, u64>,
    workspaces: BTreeMap<String, u64>,
    targets: BTreeMap<String, u64>,
    repeats: BTreeMap<String, u64>,
    /// Calls and losses by Unix second.
    seconds: BTreeMap<u64, SecondSum>,
    unreadable: u64,
}

/// The numbers of calls that ended within one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SecondSum {
    pub calls: u64,
    /// Calls that no target answered.
    pub lost: u64,
    /// Calls that were answered late.
    pub late: u64,
}

impl LossReport {
    /// Aggregates the logs. Under load, routers omit lines of successful calls before any lines of
    /// failed ones, so shares of losses are upper bounds.
    pub fn of(index: &LogIndex) -> Self {
        let mut report = LossReport {
            unreadable: index.unreadable(),
            ..LossReport::default()
        };
        for entry in index.entries() {
            match entry.event.as_str() {
                "call" => report.add_call(entry),
                "call_repeated" => add_to(&mut report.repeats, entry.field("after")),
                "repeat_denied" => add_to(&mut report.repeats, Some("denied")),
                _ => {}
            }
        }
        report
    }

    /// Returns the calls of each second, by Unix second.
    pub fn seconds(&self) -> &BTreeMap<u64, SecondSum> {
        &self.seconds
    }

    fn add_call(&mut self, entry: &LogEntry) {
        self.calls += 1;
        let outcome = entry.field("outcome").unwrap_or("unknown");
        let late = entry.field("late");
        let second = self.seconds.entry(entry.at_ms / 1_000).or_default();
        second.calls += 1;
        let cause = match (outcome, late) {
            (ANSWERED, None) => return,
            (ANSWERED, Some(late)) => {
                second.late += 1;
                format!("late by {late}")
            }
            (outcome, _) => {
                second.lost += 1;
                outcome.to_owned()
            }
        };
        add_to(&mut self.causes, Some(&cause));
        add_to(&mut self.workspaces, entry.field("workspace"));
        add_to(&mut self.targets, entry.field("target"));
    }
}

fn add_to(sums: &mut BTreeMap<String, u64>, key: Option<&str>) {
    let key = key.unwrap_or("none");
    *sums.entry(key.to_owned()).or_default() += 1;
}

impl fmt::Display for LossReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "calls {}", self.calls)?;
        writeln!(formatter, "lines that cannot be read {}", self.unreadable)?;
        write_sums(formatter, "cause", &self.causes)?;
        write_sums(formatter, "workspace", &self.workspaces)?;
        write_sums(formatter, "target", &self.targets)?;
        write_sums(formatter, "repeated after", &self.repeats)?;
        writeln!(formatter, "\nsecond        calls   lost   late")?;
        for (second, sum) in &self.seconds {
            let SecondSum { calls, lost, late } = sum;
            writeln!(formatter, "{second:<12} {calls:>6} {lost:>6} {late:>6}")?;
        }
        Ok(())
    }
}

fn write_sums(
    formatter: &mut fmt::Formatter<'_>,
    title: &str,
    sums: &BTreeMap<String, u64>,
) -> fmt::Result {
    let mut listed: Vec<_> = sums.iter().collect();
    listed.sort_by_key(|(_, count)| std::cmp::Reverse(**count));
    writeln!(formatter, "\n{title:<24} calls")?;
    for (key, count) in listed.into_iter().take(LISTED_MAX) {
        writeln!(formatter, "{key:<24} {count:>5}")?;
    }
    Ok(())
}
