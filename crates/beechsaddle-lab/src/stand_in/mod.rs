//! The `stand_in` module provides small servers that replace the platform and targets in tests.
//!
//! Each runs as a process of its own (`beechsaddle-lab stand-in platform`) or inside a test
//! process.

mod command;
pub mod engine;
mod fault_picker;
mod listen_gate;
pub mod plain;
pub mod platform;
mod random_source;
mod responses;
mod run_ledger;
mod stand_in_server;
mod target_control;
mod target_faults;

pub use command::{command, run};
pub use engine::{ChatProof, EngineOptions, EngineServer};
pub use plain::{PlainEcho, PlainOptions, PlainServer};
pub use platform::{PlatformOptions, PlatformServer};
pub use run_ledger::RunReport;
pub use target_faults::{TargetFault, TargetFaults, TargetRule, TargetScope};
