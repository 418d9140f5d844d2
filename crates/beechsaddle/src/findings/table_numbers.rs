//! The `table_numbers` module provides the reading of fractions and spans from a table.

use std::ops::RangeInclusive;

use super::{FindingList, TableReader};

/// The longest span that a setting in seconds may have.
const LONGEST_SECONDS: f64 = 86_400.0;

impl TableReader<'_> {
    /// A number in a range, whole or with a fraction, or its default.
    pub fn read_f64_or(
        &self,
        key: &str,
        default: f64,
        range: RangeInclusive<f64>,
        findings: &mut FindingList,
    ) -> f64 {
        self.read_f64(key, range, findings).unwrap_or(default)
    }

    /// A number in a range, whole or with a fraction, if there is one.
    pub fn read_f64(
        &self,
        key: &str,
        range: RangeInclusive<f64>,
        findings: &mut FindingList,
    ) -> Option<f64> {
        let text = self.read_number_text(key, findings)?;
        match text.parse::<f64>() {
            Ok(number) if range.contains(&number) => Some(number),
            Ok(_) | Err(_) => {
                let (low, high) = (range.start(), range.end());
                let what = format!("is {text}; a number from {low} to {high} would be right");
                self.report(key, what, findings);
                None
            }
        }
    }

    /// A span given in seconds, whole or with a fraction, in milliseconds; or its default.
    pub fn read_seconds_ms(&self, key: &str, default_s: f64, findings: &mut FindingList) -> u64 {
        let seconds = self.read_f64_or(key, default_s, 0.0..=LONGEST_SECONDS, findings);
        (seconds * 1_000.0).round() as u64
    }
}
