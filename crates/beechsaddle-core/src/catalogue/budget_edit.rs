//! The `budget_edit` module provides the declarations of budgets.
//!
//! The ledger is the source of truth for budgets. A catalogue change also contains budget edits, so
//! that concurrent edits of one budget by two operators are detected; routers skip them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::names::{BudgetName, OwnerName, TopUpId, WorkspaceName};

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetDeclaration {
    pub name: BudgetName,
    /// The person or team responsible for the budget.
    pub owner: OwnerName,
    /// The workspace that may spend it.
    pub workspace: WorkspaceName,
    /// The top-ups, in tokens.
    pub top_ups: BTreeMap<TopUpId, u64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetEdit {
    pub name: BudgetName,
    /// The previous declaration; `None` when the budget is new.
    pub before: Option<BudgetDeclaration>,
    /// The new declaration; `None` when the budget is removed.
    pub after: Option<BudgetDeclaration>,
}
