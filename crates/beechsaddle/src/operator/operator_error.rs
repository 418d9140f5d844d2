//! The `operator_error` module provides why an operator's command failed.

use std::fmt;
use std::io;

use beechsaddle_core::prelude::*;

use super::{EditConflict, LedgerRefusal};
use crate::catalogue_files::BaseFile;
use crate::findings::FindingList;

/// The result of an operator's command.
pub type Result<T> = std::result::Result<T, OperatorError>;

/// Why an operator's command failed.
#[derive(Debug)]
pub enum OperatorError {
    /// The files are wrong. Nothing was changed.
    Findings(FindingList),
    /// The platform does not answer. Nothing was changed.
    PlatformAway(ObjectKey),
    /// What the platform holds under a key is not what belongs there.
    Corrupt(ObjectKey),
    /// Others changed the same entries. Nothing was changed.
    Conflicts(Vec<EditConflict>),
    /// Budgets cannot be changed in this way. Nothing was changed.
    Refusals(Vec<LedgerRefusal>),
    /// The change is committed, but some budgets had been granted or spent meanwhile.
    PartlyRefused {
        /// The revision that the change made.
        revision: u64,
        /// The budgets that stay as they were.
        refusals: Vec<LedgerRefusal>,
        /// The new base of the files.
        base: BaseFile,
    },
    /// The change is committed, but the platform went away before the ledger was written.
    LedgerBehind {
        /// The revision that the change made.
        revision: u64,
        /// The new base of the files.
        base: BaseFile,
    },
    /// The answer to the commit was lost, and it cannot be read back.
    OutcomeUnknown {
        /// The revision that the change would have made.
        revision: u64,
    },
    /// The directory has no base, though the fleet has a catalogue.
    NoBase {
        /// The newest revision of the fleet.
        newest: u64,
    },
    /// The base is newer than the fleet's catalogue.
    ForeignBase {
        /// The base.
        base: u64,
        /// The newest revision of the fleet.
        newest: u64,
    },
    /// The change does not fit into one object.
    TooLarge {
        /// How many entries it changes.
        edits: usize,
    },
    /// Others kept on changing the catalogue.
    Busy,
    /// A file cannot be written.
    File(io::Error),
}

impl fmt::Display for OperatorError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OperatorError::Findings(findings) => write!(formatter, "{findings}"),
            OperatorError::PlatformAway(key) => write!(
                formatter,
                "the platform does not answer (at {key}); nothing was changed"
            ),
            OperatorError::Corrupt(key) => {
                write!(
                    formatter,
                    "the object {key} does not hold what belongs there"
                )
            }
            OperatorError::Conflicts(conflicts) => {
                write_lines(formatter, conflicts)?;
                write!(
                    formatter,
                    "nothing was changed; take the other edit into your files and apply again"
                )
            }
            OperatorError::Refusals(refusals) => {
                write_lines(formatter, refusals)?;
                write!(formatter, "nothing was changed")
            }
            OperatorError::PartlyRefused {
                revision, refusals, ..
            } => {
                write_lines(formatter, refusals)?;
                write!(
                    formatter,
                    "revision {revision} is applied but for these budgets, which were granted or \
                     spent meanwhile; correct the files and apply again"
                )
            }
            OperatorError::LedgerBehind { revision, .. } => write!(
                formatter,
                "revision {revision} is applied, but the platform went away before all budgets \
                 were written; apply the same files again"
            ),
            OperatorError::OutcomeUnknown { revision } => write!(
                formatter,
                "the answer to the commit of revision {revision} was lost and the platform cannot \
                 be read; apply the same files again to learn whether it took effect"
            ),
            OperatorError::NoBase { newest } => write!(
                formatter,
                "these files were never in step with this fleet, whose catalogue is at revision \
                 {newest}; if they are to replace all of it, say so by `--base {newest}`"
            ),
            OperatorError::ForeignBase { base, newest } => write!(
                formatter,
                "these files are based on revision {base}, but the fleet's newest is {newest}: \
                 they belong to another fleet"
            ),
            OperatorError::TooLarge { edits } => write!(
                formatter,
                "a change of {edits} entries does not fit into one object of the platform; apply \
                 it in parts"
            ),
            OperatorError::Busy => write!(
                formatter,
                "others keep on changing the catalogue; nothing was changed, try again"
            ),
            OperatorError::File(error) => write!(formatter, "a file cannot be written: {error}"),
        }
    }
}

impl std::error::Error for OperatorError {}

impl From<FindingList> for OperatorError {
    fn from(findings: FindingList) -> Self {
        OperatorError::Findings(findings)
    }
}

fn write_lines(formatter: &mut fmt::Formatter<'_>, lines: &[impl fmt::Display]) -> fmt::Result {
    for line in lines {
        writeln!(formatter, "{line}")?;
    }
    Ok(())
}
