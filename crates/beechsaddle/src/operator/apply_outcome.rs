//! The `apply_outcome` module provides the result of an apply.

use std::fmt;

use super::MissingEdit;
use crate::catalogue_files::BaseFile;

/// The result of a successful apply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApplyOutcome {
    /// The newest revision, at which everything that the files declare is committed.
    pub revision: u64,
    /// The number of entries and budgets that this apply changed.
    pub edits: usize,
    /// The revision that an earlier apply of the same files committed before its response was lost.
    pub earlier: Option<u64>,
    /// Changes by other operators that these files lack.
    pub missing: Vec<MissingEdit>,
    /// The base that the files have after the apply.
    pub base: BaseFile,
}

impl fmt::Display for ApplyOutcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(earlier) = self.earlier {
            writeln!(
                formatter,
                "an earlier apply of these files took effect as revision {earlier}"
            )?;
        }
        match self.edits {
            0 => write!(formatter, "nothing to do at revision {}", self.revision)?,
            edits => write!(
                formatter,
                "applied {edits} edits as revision {}",
                self.revision
            )?,
        }
        for missing in &self.missing {
            write!(formatter, "\n{missing}")?;
        }
        Ok(())
    }
}
