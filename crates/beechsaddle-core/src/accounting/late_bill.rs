//! The `late_bill` module provides bills taken against a closed journal's write-off.

use std::collections::BTreeSet;

use super::journal_segment::BillRecord;
use crate::names::{BudgetName, KeyText};

/// A bill that waits until the closed journal that reserved for it is folded into the ledger.
///
/// If it is lost with this router, no budget is lost: its tokens are already written off.
#[derive(Debug)]
pub(super) struct LateBill {
    pub(super) journal: KeyText,
    pub(super) bill: BillRecord,
}

/// A journal of this router that another router closed.
#[derive(Debug, Default)]
pub(super) struct FencedJournal {
    /// Budgets whose final spend is still to be stated.
    pub(super) budgets: BTreeSet<BudgetName>,
}
