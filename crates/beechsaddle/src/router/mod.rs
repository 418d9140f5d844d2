//! The `router` module provides the process of one router: its threads and the rings between them.

mod clock_source;
mod core_loop;
mod core_rings;
mod process;
mod router_setup;
mod shutdown_signals;

pub use clock_source::ClockSource;
pub use process::run;
