//! The `table_numbers` module provides checked reading of fractional numbers and durations.

use std::ops::RangeInclusive;

use super::{FindingList, TableReader};

/// The longest duration that a setting in seconds may have.
const SECONDS_MAX: f64 = 86_400.0;

impl TableReader<'_> {
    /// Reads a number in a range, integer or fractional, with a default.
    pub fn read_f64_or(
        &self,
        key: &str,
        default: f64,
        range: RangeInclusive<f64>,
        findings: &mut FindingList,
    ) -> f64 {
        self.read_f64(key, range, findings).unwrap_or(default)
    }

    /// Reads a number in a range, integer or fractional, if present.
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
                let message = format!("is {text}; a number from {low} to {high} would be right");
                self.report(key, message, findings);
                None
            }
        }
    }

    /// Reads a duration in seconds, integer or fractional, with a default, and returns it in
    /// milliseconds.
    pub fn read_seconds_ms(&self, key: &str, default_s: f64, findings: &mut FindingList) -> u64 {
        let seconds = self.read_f64_or(key, default_s, 0.0..=SECONDS_MAX, findings);
        (seconds * 1_000.0).round() as u64
    }
}
