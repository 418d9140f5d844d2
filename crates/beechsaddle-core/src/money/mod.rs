//! The `money` module provides budgets, grants, journals and bills.

mod budget_account;
mod budget_holding;
mod budget_ledger;
mod demand_meter;
mod desk_entry;
mod desk_hand_over;
mod desk_holder;
mod desk_journal;
mod desk_late;
mod desk_ledger;
mod desk_pump;
mod desk_settle;
mod desk_turn;
mod entry_call;
mod fold_job;
mod fold_scan;
mod grant_audit;
mod grant_sizing;
mod holder_call;
mod journal_name;
mod journal_segment;
mod journal_writer;
mod key_book;
mod late_bill;
mod lookup_book;
mod money_desk;
mod money_error;
mod money_options;
mod segment_sweeper;
mod shard_writer;

pub use budget_account::{BilledKey, BudgetAccount, ClosedGrant, OpenGrant};
pub use budget_ledger::BudgetLedger;
pub use journal_name::{
    journal_name, journal_prefix, journal_router, read_segment_key, router_prefix, segment_key,
};
pub use journal_segment::{BillRecord, FinalSpend, JournalSegment};
pub use money_desk::MoneyDesk;
pub use money_error::{MoneyError, Result};
pub use money_options::MoneyOptions;
