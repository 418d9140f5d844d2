//! The `calls` module provides the life of each call from arrival to bill.
//!
//! A call is checked against the catalogue, passes admission, has its upper bound reserved at the
//! budget's holder, gets a dedup record when it may not be repeated, is dispatched to a target,
//! relayed, settled, and only then finished. Every step either leads to the next or to one final
//! answer; nothing is queued.

mod call_checks;
mod call_context;
mod call_desk;
mod call_options;
mod call_record;
mod call_reports;
mod desk_admission;
mod desk_attempts;
mod desk_endings;

pub use call_context::CallContext;
pub use call_desk::CallDesk;
pub use call_options::CallOptions;
