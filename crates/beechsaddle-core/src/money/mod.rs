//! The `money` module provides budgets, grants, journals and bills.

mod budget_ledger;
mod journal_segment;

pub use budget_ledger::{BudgetAccount, BudgetLedger, OpenGrant};
pub use journal_segment::{BillRecord, JournalSegment};
