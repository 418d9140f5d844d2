//! The `loss_support` module provides the fleet of the tests of lost routers.
//!
//! Every ledger write of a successor is checked: it returns exactly what the entries of ended
//! processes prove unused, and no more than each of them had left unused.

mod host_session;
mod span_fleet;

pub use host_session::{HostSession, MARK_MS, MOVES};
pub use span_fleet::{
    CALL_SPAN_MS, DEMAND, LossCount, LossSetup, PREPAID, START, START_WAIT_MS, SpanFleet,
    WRITE_SPAN_MS, WriteFate,
};
