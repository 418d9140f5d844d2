//! The `finding_list` module provides the findings of a check.

use std::fmt;
use std::sync::Arc;

use super::{SourceFinding, SourceText};

/// All findings of a check, reported together.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FindingList {
    findings: Vec<SourceFinding>,
}

impl FindingList {
    pub fn new() -> Self {
        FindingList::default()
    }

    /// Adds a finding at a byte offset of a file.
    pub fn add(&mut self, source: &SourceText, offset: usize, message: impl Into<String>) {
        self.findings.push(SourceFinding {
            file: Arc::clone(source.file()),
            line: source.line_of(offset),
            message: message.into(),
        });
    }

    /// Adds a finding about a whole file.
    pub fn add_file(&mut self, file: impl AsRef<str>, message: impl Into<String>) {
        self.findings.push(SourceFinding {
            file: Arc::from(file.as_ref()),
            line: 0,
            message: message.into(),
        });
    }

    /// Appends the findings of another check.
    pub fn merge(&mut self, other: FindingList) {
        self.findings.extend(other.findings);
    }

    /// Whether there are no findings.
    pub fn is_empty(&self) -> bool {
        self.findings.is_empty()
    }

    /// Returns the findings, sorted by file and line.
    pub fn sorted(&self) -> Vec<SourceFinding> {
        let mut findings = self.findings.clone();
        findings.sort();
        findings
    }
}

impl fmt::Display for FindingList {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.sorted().iter().enumerate() {
            if index > 0 {
                writeln!(formatter)?;
            }
            write!(formatter, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for FindingList {}
