//! The `key_values` module provides a line of key=value pairs.

use std::fmt;

/// Key-value pairs, printed in the order in which they were added.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeyValues {
    pairs: Vec<(String, String)>,
}

impl KeyValues {
    /// Creates an empty line.
    pub fn new() -> Self {
        KeyValues::default()
    }

    #[must_use]
    pub fn with(mut self, key: impl Into<String>, value: impl fmt::Display) -> Self {
        self.pairs.push((key.into(), value.to_string()));
        self
    }

    /// Adds a number with three decimal places.
    #[must_use]
    pub fn with_float(self, key: impl Into<String>, value: f64) -> Self {
        self.with(key, format_args!("{value:.3}"))
    }

    /// Adds all pairs of another line.
    #[must_use]
    pub fn joined(mut self, other: KeyValues) -> Self {
        self.pairs.extend(other.pairs);
        self
    }
}

impl fmt::Display for KeyValues {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (key, value)) in self.pairs.iter().enumerate() {
            let gap = if index == 0 { "" } else { " " };
            write!(formatter, "{gap}{key}={value}")?;
        }
        Ok(())
    }
}
