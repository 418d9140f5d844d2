//! The `calls` module provides the life cycle of each call from arrival to bill.
//!
//! A call is checked against the catalogue, passes admission, has its upper bound reserved by the
//! budget's holder, gets a dedup record if it may not be repeated, is dispatched to a target,
//! relayed, settled, and finished. Every step leads to the next one or to one final answer; nothing
//! is queued.

mod call_checks;
mod call_context;
mod call_manager;
mod call_options;
mod call_record;
mod call_reports;
mod manager_admission;
mod manager_attempts;
mod manager_endings;

pub use call_context::CallContext;
pub use call_manager::CallManager;
pub use call_options::CallOptions;
