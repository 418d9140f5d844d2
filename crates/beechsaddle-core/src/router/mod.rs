//! The `router` module provides the core of one router, composed of its managers.

mod core_drain;
mod core_inputs;
mod core_reports;
mod layout_manager;
mod router_core;
mod router_options;

pub use router_core::RouterCore;
pub use router_options::RouterOptions;
