//! The `exit_status` module provides the exit status of commands.

use std::process::ExitCode;

use crate::operator::OperatorError;

/// The exit status of a command. Scripts may rely on the numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// 0: the command succeeded.
    Done,
    /// 1: the command failed, for example because the platform or a router does not answer or a
    /// file cannot be written.
    Failed,
    /// 2: the command line is invalid.
    Usage,
    /// 3: the files have errors.
    Findings,
    /// 4: other operators changed the same entries, and nothing was changed.
    Conflict,
    /// 5: a budget cannot be changed as declared, and nothing was changed.
    Refused,
    /// 6: the change is applied, but some budgets or routers lag behind.
    Partly,
    /// 7: the outcome of the change is unknown, and the same command run again determines it.
    Unknown,
}

impl ExitStatus {
    pub fn code(self) -> u8 {
        match self {
            ExitStatus::Done => 0,
            ExitStatus::Failed => 1,
            ExitStatus::Usage => 2,
            ExitStatus::Findings => 3,
            ExitStatus::Conflict => 4,
            ExitStatus::Refused => 5,
            ExitStatus::Partly => 6,
            ExitStatus::Unknown => 7,
        }
    }
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        ExitCode::from(status.code())
    }
}

impl From<&OperatorError> for ExitStatus {
    fn from(error: &OperatorError) -> Self {
        match error {
            OperatorError::Findings(_)
            | OperatorError::NoBase { .. }
            | OperatorError::ForeignBase { .. }
            | OperatorError::TooLarge { .. } => ExitStatus::Findings,
            OperatorError::Conflicts(_) => ExitStatus::Conflict,
            OperatorError::Refusals(_) => ExitStatus::Refused,
            OperatorError::PartlyRefused { .. } | OperatorError::LedgerBehind { .. } => {
                ExitStatus::Partly
            }
            OperatorError::OutcomeUnknown { .. } => ExitStatus::Unknown,
            OperatorError::PlatformUnreachable(_)
            | OperatorError::Corrupt(_)
            | OperatorError::Contention
            | OperatorError::File(_) => ExitStatus::Failed,
        }
    }
}
