//! The `apply_outcome` module provides what an apply did.

use std::fmt;

use super::MissingEdit;
use crate::catalogue_files::BaseFile;

/// What an apply did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApplyOutcome {
    /// The newest revision; what the files declare is committed at it.
    pub revision: u64,
    /// How many entries and budgets this apply changed.
    pub edits: usize,
    /// The revision of an earlier apply of the same files whose answer had been lost.
    pub earlier: Option<u64>,
    /// Things that others changed and these files do not have yet.
    pub missing: Vec<MissingEdit>,
    /// The new base of the files.
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
