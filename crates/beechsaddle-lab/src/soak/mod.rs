//! The `soak` module provides a randomized soak test of gateways.
//!
//! The routers are separate processes. Store, targets and callers are stand-ins in this process.
//! The connections from routers to the store, to the targets and to each other pass proxies that
//! can delay, stall or reset them. Faults are generated from a seed and overlap. The calls and
//! runs that callers and targets observe are recorded and checked against the invariants of a
//! router. Faults of clocks and storage are not injected: a gateway has no storage, and it uses
//! the time of day only in its log lines.

mod announcement_checks;
mod call_load;
mod call_log;
mod discovery_fault;
mod excuse_log;
mod fault_plan;
mod fault_proxy;
mod idle_times;
mod recovery_checks;
mod shutdown_checks;
mod soak_command;
mod soak_fleet;
mod soak_run;
mod soak_target;
mod version_watch;

pub use discovery_fault::{DiscoveryFault, OddContent};
pub use fault_plan::{FaultPlan, SoakFault};
pub use soak_command::{command, run};
pub use soak_run::{SoakOptions, SoakOutcome, run_seed};
