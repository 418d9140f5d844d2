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
    /// Lost calls by second, cause and workspace.
    refusals: BTreeMap<LossKey, BTreeMap<String, u64>>,
    unreadable: u64,
}

/// The second and the cause of losses.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LossKey {
    /// Unix seconds.
    second: u64,
    cause: String,
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
                let cause = describe_loss(outcome, entry);
                let key = LossKey {
                    second: entry.at_ms / 1_000,
                    cause: cause.clone(),
                };
                let workspaces = self.refusals.entry(key).or_default();
                add_to(workspaces, entry.field("workspace"));
                cause
            }
        };
        add_to(&mut self.causes, Some(&cause));
        add_to(&mut self.workspaces, entry.field("workspace"));
        add_to(&mut self.targets, entry.field("target"));
    }
}

/// Returns the cause of a loss: the outcome and, for want of tokens, what was short.
fn describe_loss(outcome: &str, entry: &LogEntry) -> String {
    match entry.field("shortage") {
        Some(shortage) => format!("{outcome}/{shortage}"),
        None => outcome.to_owned(),
    }
}

fn add_to(sums: &mut BTreeMap<String, u64>, key: Option<&str>) {
    let key = key.unwrap_or("none");
    *sums.entry(key.to_owned()).or_default() += 1;
}

impl LossReport {
    /// Writes the causes of each second, with the workspace that has most of their calls.
    fn write_refusals(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.refusals.is_empty() {
            return Ok(());
        }
        let title = "second       lost as";
        writeln!(formatter, "\n{title:<49} calls  workspace with most")?;
        for (key, workspaces) in &self.refusals {
            let LossKey { second, cause } = key;
            let calls: u64 = workspaces.values().sum();
            let largest = workspaces.iter().max_by_key(|(_, count)| **count);
            let (name, count) = largest.map_or(("none", 0), |(name, count)| (name, *count));
            writeln!(
                formatter,
                "{second:<12} {cause:<36} {calls:>5}  {name} {count}"
            )?;
        }
        Ok(())
    }
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
        self.write_refusals(formatter)
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
