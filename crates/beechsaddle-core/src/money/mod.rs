//! The `money` module provides budgets, grants, journals and bills.

mod budget_ledger;
mod journal_segment;
mod money_desk;
mod money_options;

pub use budget_ledger::{BilledKey, BudgetAccount, BudgetLedger, ClosedGrant, OpenGrant};
pub use journal_segment::{BillRecord, FinalSpend, JournalSegment};
pub use money_desk::MoneyDesk;
pub use money_options::MoneyOptions;
