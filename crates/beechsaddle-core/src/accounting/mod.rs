//! The `accounting` module provides token budgets: grants, reservations, spend journals and bills.

mod accounting_error;
mod accounting_manager;
mod accounting_options;
mod budget_account;
mod budget_holding;
mod budget_ledger;
mod demand_meter;
mod entry_call;
mod event_context;
mod fold_job;
mod fold_scan;
mod grant_audit;
mod grant_sizing;
mod holder_call;
mod journal_name;
mod journal_segment;
mod journal_writer;
mod key_table;
mod late_bill;
mod lookup_table;
mod manager_dispatch;
mod manager_entry;
mod manager_hand_over;
mod manager_holder;
mod manager_journal;
mod manager_late;
mod manager_ledger;
mod manager_settle;
mod segment_sweeper;
mod shard_writer;

pub use accounting_error::{AccountingError, Result};
pub use accounting_manager::AccountingManager;
pub use accounting_options::AccountingOptions;
pub use budget_account::{BilledKey, BudgetAccount, ClosedGrant, OpenGrant};
pub use budget_ledger::BudgetLedger;
pub use journal_name::{
    journal_name, journal_prefix, journal_router, read_segment_key, router_prefix, segment_key,
};
pub use journal_segment::{BillRecord, FinalSpend, JournalSegment};
