//! The `store_sums` module provides the number of calls to the store, from the routers' logs.

use std::collections::BTreeMap;
use std::fmt;

use super::{LogEntry, LogIndex};

/// The interval of the sums, in seconds: the same as that of the routers' log lines.
const INTERVAL_S: u64 = 5;

/// The number of calls to the store, by purpose and outcome, and by time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreSums {
    /// Calls by `purpose/outcome`.
    pub purposes: BTreeMap<String, u64>,
    /// Calls by the Unix second in which their interval began.
    pub seconds: BTreeMap<u64, u64>,
    /// The number of sums that could not be parsed.
    pub unreadable: u64,
}

impl StoreSums {
    pub fn of(index: &LogIndex) -> Self {
        let mut sums = StoreSums::default();
        let entries = index.entries().iter();
        for entry in entries.filter(|entry| entry.event == "store_calls") {
            sums.add(entry);
        }
        sums
    }

    fn add(&mut self, entry: &LogEntry) {
        let interval_start = entry.at_ms / 1_000 / INTERVAL_S * INTERVAL_S;
        let calls = entry.field("calls").unwrap_or_default();
        for sum in calls.split_whitespace() {
            let Some((purpose, count)) = read_sum(sum) else {
                self.unreadable += 1;
                continue;
            };
            *self.purposes.entry(purpose.to_owned()).or_default() += count;
            *self.seconds.entry(interval_start).or_default() += count;
        }
    }
}

fn read_sum(sum: &str) -> Option<(&str, u64)> {
    let (purpose, count) = sum.rsplit_once(':')?;
    Some((purpose, count.parse().ok()?))
}

impl fmt::Display for StoreSums {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "\n{:<34} calls", "store asked for")?;
        for (purpose, count) in &self.purposes {
            writeln!(formatter, "{purpose:<34} {count:>5}")?;
        }
        if self.unreadable > 0 {
            writeln!(formatter, "sums that cannot be read {}", self.unreadable)?;
        }
        writeln!(formatter, "\nstore asked, from second           calls")?;
        for (second, count) in &self.seconds {
            writeln!(formatter, "{second:<34} {count:>5}")?;
        }
        Ok(())
    }
}
