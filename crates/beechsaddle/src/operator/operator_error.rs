//! The `operator_error` module provides the errors of operators' commands.

use std::fmt;
use std::io;

use beechsaddle_core::prelude::*;

use super::{EditConflict, LedgerRefusal};
use crate::catalogue_files::BaseFile;
use crate::findings::FindingList;

pub type Result<T> = std::result::Result<T, OperatorError>;

/// An error of an operator's command.
#[derive(Debug)]
pub enum OperatorError {
    /// The files have errors. Nothing was changed.
    Findings(FindingList),
    /// The platform does not answer. Nothing was changed.
    PlatformUnreachable(ObjectKey),
    /// An object at the platform is invalid: it cannot be decoded, has another type than its key
    /// requires, or violates an invariant.
    Corrupt(ObjectKey),
    /// Other operators changed the same entries. Nothing was changed.
    Conflicts(Vec<EditConflict>),
    /// Budgets cannot be changed as declared. Nothing was changed.
    Refusals(Vec<LedgerRefusal>),
    /// The change is committed, except for budgets whose tokens were granted or spent in the
    /// meantime.
    PartlyRefused {
        /// The revision of the change.
        revision: u64,
        /// The budgets that were left unchanged.
        refusals: Vec<LedgerRefusal>,
        /// The base that the files have after the apply.
        base: BaseFile,
    },
    /// The change is committed, but the platform became unreachable before the ledger was written.
    LedgerBehind {
        /// The revision of the change.
        revision: u64,
        /// The base that the files have after the apply.
        base: BaseFile,
    },
    /// The response to the commit was lost, and the result cannot be read back.
    OutcomeUnknown {
        /// The revision that the change has if it took effect.
        revision: u64,
    },
    /// The directory has no base, but the fleet has a catalogue.
    NoBase {
        /// The newest revision of the fleet.
        newest: u64,
    },
    /// The base is newer than the fleet's catalogue.
    ForeignBase {
        base: u64,
        /// The newest revision of the fleet.
        newest: u64,
    },
    /// The change exceeds the size limit of one object.
    TooLarge {
        /// The number of entries and budgets that it changes.
        edits: usize,
    },
    /// Every attempt lost against a concurrent change by another operator or router.
    Contention,
    /// A local file cannot be written.
    File(io::Error),
}

impl fmt::Display for OperatorError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OperatorError::Findings(findings) => write!(formatter, "{findings}"),
            OperatorError::PlatformUnreachable(key) => write!(
                formatter,
                "the platform does not answer (at {key}); nothing was changed"
            ),
            OperatorError::Corrupt(key) => {
                write!(formatter, "the object {key} at the platform is invalid")
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
                "revision {revision} is applied, but the platform became unreachable before all \
                 budgets were written; apply the same files again"
            ),
            OperatorError::OutcomeUnknown { revision } => write!(
                formatter,
                "the answer to the commit of revision {revision} was lost and the platform cannot \
                 be read; apply the same files again to learn whether it took effect"
            ),
            OperatorError::NoBase { newest } => write!(
                formatter,
                "these files were never in sync with this fleet, whose catalogue is at revision \
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
            OperatorError::Contention => write!(
                formatter,
                "concurrent changes by others prevented the command; nothing was changed, try again"
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
