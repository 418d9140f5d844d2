//! The `accounting_error` module provides the errors of operations on the ledger.

use std::fmt;

use crate::names::{BudgetName, WorkspaceName};

/// The reason why an operation on the ledger failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AccountingError {
    /// The shard has no such budget.
    UnknownBudget(BudgetName),
    /// The budget belongs to another workspace.
    ForeignBudget {
        budget: BudgetName,
        /// The workspace that owns the budget.
        workspace: WorkspaceName,
    },
    /// A withdrawal exceeds the tokens that are neither granted nor billed.
    InsufficientTokens {
        budget: BudgetName,
        /// Tokens that could be withdrawn.
        free: u64,
    },
    /// The account would allocate more than was paid in; the shard must not be written.
    Overcommitted {
        budget: BudgetName,
        /// Tokens billed, written off and granted together.
        allocated: u64,
        /// Tokens paid in and not withdrawn.
        paid: u64,
    },
}

pub type Result<T> = std::result::Result<T, AccountingError>;

impl fmt::Display for AccountingError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AccountingError::UnknownBudget(budget) => write!(formatter, "unknown budget {budget}"),
            AccountingError::ForeignBudget { budget, workspace } => {
                write!(
                    formatter,
                    "budget {budget} belongs to workspace {workspace}"
                )
            }
            AccountingError::InsufficientTokens { budget, free } => {
                write!(
                    formatter,
                    "budget {budget} has only {free} free tokens to withdraw"
                )
            }
            AccountingError::Overcommitted {
                budget,
                allocated,
                paid,
            } => {
                write!(
                    formatter,
                    "budget {budget} has allocated {allocated} tokens but only {paid} were paid in"
                )
            }
        }
    }
}

impl std::error::Error for AccountingError {}
