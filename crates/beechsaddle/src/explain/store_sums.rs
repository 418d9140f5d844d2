//! The `store_sums` module provides what routers asked the store for, told from their logs.

use std::collections::BTreeMap;
use std::fmt;

use super::{LogBook, LogEntry};

/// The span that calls are summed up over, in seconds: that of the routers' own lines.
const SPAN_S: u64 = 5;

/// Calls to the store by purpose and outcome, and by time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreSums {
    /// Calls by `purpose/outcome`.
    pub purposes: BTreeMap<String, u64>,
    /// Calls by the Unix second in which their span began.
    pub seconds: BTreeMap<u64, u64>,
    /// Sums in lines that cannot be read.
    pub unreadable: u64,
}

impl StoreSums {
    /// Sums up the logs.
    pub fn of(book: &LogBook) -> Self {
        let mut sums = StoreSums::default();
        let entries = book.entries().iter();
        for entry in entries.filter(|entry| entry.event == "store_calls") {
            sums.add(entry);
        }
        sums
    }

    fn add(&mut self, entry: &LogEntry) {
        let span = entry.at_ms / 1_000 / SPAN_S * SPAN_S;
        let calls = entry.field("calls").unwrap_or_default();
        for word in calls.split_whitespace() {
            let Some((purpose, count)) = read_sum(word) else {
                self.unreadable += 1;
                continue;
            };
            *self.purposes.entry(purpose.to_owned()).or_default() += count;
            *self.seconds.entry(span).or_default() += count;
        }
    }
}

fn read_sum(word: &str) -> Option<(&str, u64)> {
    let (purpose, count) = word.rsplit_once(':')?;
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
