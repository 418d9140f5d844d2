//! The `late_bill` module provides bills that are taken against a closed journal's write-off.

use std::collections::BTreeSet;

use super::journal_segment::BillRecord;
use crate::names::{BudgetName, KeyText};

/// A bill that waits until the ledger has taken in the closed journal that reserved for it.
///
/// Its loss with this router loses no budget: the tokens are written off already.
#[derive(Debug)]
pub(super) struct LateBill {
    pub(super) journal: KeyText,
    pub(super) bill: BillRecord,
}

/// A journal of this router that another one closed.
#[derive(Debug, Default)]
pub(super) struct ClosedLife {
    /// Budgets whose final spend is still to be stated.
    pub(super) budgets: BTreeSet<BudgetName>,
}
