//! The `source_finding` module provides one thing that is wrong in a file.

use std::fmt;
use std::sync::Arc;

/// One thing that is wrong in a file, and what would be right.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SourceFinding {
    /// The file.
    pub file: Arc<str>,
    /// The line, counted from one; zero when the whole file is meant.
    pub line: usize,
    /// What is wrong, and what would be right.
    pub what: String,
}

impl fmt::Display for SourceFinding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            0 => write!(formatter, "{}: {}", self.file, self.what),
            line => write!(formatter, "{}:{line}: {}", self.file, self.what),
        }
    }
}
