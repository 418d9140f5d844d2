//! The `soak` module provides a randomized soak of gateways.
//!
//! The routers are processes of their own; store, targets and callers are stand-ins in this process,
//! and every connection between them and the routers, and between routers, passes a proxy that can
//! delay, silence or reset it. Faults are drawn from a seed and overlap. What callers and targets see
//! is written down while it runs and held against the promises of a router. Clocks and storage are not
//! made to misbehave: a gateway has no storage, and the time of day only stands in its log lines.

mod call_book;
mod call_load;
mod calm_checks;
mod fault_plan;
mod fault_proxy;
mod soak_command;
mod soak_fleet;
mod soak_run;
mod soak_target;
mod version_watch;

pub use fault_plan::{FaultPlan, SoakFault};
pub use soak_command::{command, run};
pub use soak_run::{SoakOptions, SoakOutcome, run_seed};
