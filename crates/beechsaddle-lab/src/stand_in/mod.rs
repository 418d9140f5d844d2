//! The `stand_in` module provides small servers that take the place of the platform and of targets.
//!
//! Each runs as a process of its own (`beechsaddle-lab stand-in platform`), or inside a test.

mod answers;
mod chance_source;
mod command;
mod listen_gate;
pub mod platform;
mod stand_in_server;

pub use command::{command, run};
pub use platform::{PlatformOptions, PlatformServer};
