//! The `money_error` module provides why an operation on the ledger cannot be carried out.

use std::fmt;

use crate::names::{BudgetName, WorkspaceName};

/// Why an operation on the ledger cannot be carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MoneyError {
    /// The shard has no such budget.
    UnknownBudget(BudgetName),
    /// The budget exists and belongs to another workspace.
    ForeignBudget {
        /// The budget.
        budget: BudgetName,
        /// Whose it is.
        workspace: WorkspaceName,
    },
    /// A withdrawal asks for more than is neither granted nor billed.
    NotFree {
        /// The budget.
        budget: BudgetName,
        /// What could be withdrawn, in tokens.
        free: u64,
    },
    /// The account would promise more than was paid in; nothing may be written.
    Overspent {
        /// The budget.
        budget: BudgetName,
        /// Billed, written off and granted together, in tokens.
        promised: u64,
        /// Paid in and not withdrawn, in tokens.
        paid: u64,
    },
}

/// The outcome of an operation on the ledger.
pub type Result<T> = std::result::Result<T, MoneyError>;

impl fmt::Display for MoneyError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MoneyError::UnknownBudget(budget) => write!(formatter, "budget {budget} is unknown"),
            MoneyError::ForeignBudget { budget, workspace } => {
                write!(
                    formatter,
                    "budget {budget} belongs to workspace {workspace}"
                )
            }
            MoneyError::NotFree { budget, free } => {
                write!(formatter, "budget {budget} has only {free} tokens free")
            }
            MoneyError::Overspent {
                budget,
                promised,
                paid,
            } => {
                write!(
                    formatter,
                    "budget {budget} promises {promised} of {paid} tokens"
                )
            }
        }
    }
}

impl std::error::Error for MoneyError {}
