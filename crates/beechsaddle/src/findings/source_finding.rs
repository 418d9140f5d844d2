//! The `source_finding` module provides an error in an input file.

use std::fmt;
use std::sync::Arc;

/// An error in an input file, and what is expected instead.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SourceFinding {
    /// The name of the file.
    pub file: Arc<str>,
    /// The line number, starting at 1, or 0 if the finding is about the whole file.
    pub line: usize,
    /// The error, and what is expected instead.
    pub message: String,
}

impl fmt::Display for SourceFinding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            0 => write!(formatter, "{}: {}", self.file, self.message),
            line => write!(formatter, "{}:{line}: {}", self.file, self.message),
        }
    }
}
