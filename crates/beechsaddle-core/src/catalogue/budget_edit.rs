//! The `budget_edit` module provides what operators declare of budgets.
//!
//! The ledger holds the truth of a budget. A change carries its edits too, so that two operators
//! who edit one budget at a time find out: routers skip them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::names::{BudgetName, OwnerName, TopUpId, WorkspaceName};

/// One budget as declared.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetDeclaration {
    /// Its name.
    pub name: BudgetName,
    /// Who answers for it.
    pub owner: OwnerName,
    /// The workspace that may spend it.
    pub workspace: WorkspaceName,
    /// What is paid in, in tokens.
    pub top_ups: BTreeMap<TopUpId, u64>,
}

/// The change of one budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetEdit {
    /// The budget.
    pub name: BudgetName,
    /// What was declared before; `None` when the budget is new.
    pub before: Option<BudgetDeclaration>,
    /// What is declared now; `None` when the budget is removed.
    pub after: Option<BudgetDeclaration>,
}
