//! The `router` module provides the whole core of one router, composed of its duties.

mod core_drain;
mod core_inputs;
mod core_reports;
mod layout_desk;
mod router_core;
mod router_options;

pub use router_core::RouterCore;
pub use router_options::RouterOptions;
