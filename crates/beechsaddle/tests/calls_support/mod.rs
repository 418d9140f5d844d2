//! The `calls_support` module provides a scripted core, raw callers and raw targets.
// Each test file is a separate program and uses only a part of this module.
#![allow(dead_code, unused_imports)]

mod fake_core;
mod raw_caller;
mod raw_target;

pub use fake_core::*;
pub use raw_caller::*;
pub use raw_target::*;
