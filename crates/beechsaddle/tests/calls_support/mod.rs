//! The `calls_support` module provides a scripted core, raw callers and raw targets.
#![allow(dead_code)]

mod fake_core;
mod raw_caller;
mod raw_target;

pub use fake_core::*;
pub use raw_caller::*;
pub use raw_target::*;
