//! The `fleet` module provides small fleets of real processes on this machine.
//!
//! All processes run the lab's own binary: `beechsaddle-lab stand-in ...` for the platform and the
//! targets, and the hidden `beechsaddle-lab router` for a router, which runs the same code as the
//! shipped binary. So `cargo run -p beechsaddle-lab` does not need another package's binary.

mod fleet_caller;
mod fleet_plan;
mod free_address;
mod host_lists;
mod lab_fleet;
mod lab_process;
mod lab_target;
mod operator_actions;
mod router_command;
mod router_file;
mod scratch_directory;

pub use fleet_caller::{CallerResponse, FleetCaller, chat_body};
pub use fleet_plan::{FleetPlan, RouterPlan, TargetPlan};
pub use free_address::free_address;
pub use lab_fleet::{LabFleet, LabRouter};
pub use lab_process::LabProcess;
pub use lab_target::LabTarget;
pub(crate) use router_command::{end_with_parent, with_parent_argument};
pub use router_command::{router_command, run_router};
pub use router_file::{FleetSettings, RouterFile};
pub use scratch_directory::ScratchDirectory;
