//! The `platform` module provides the stand-in for the platform's object API.
//!
//! In addition to the calls of `docs/API.md` it serves `POST /faults` (replaces the current
//! [`PlatformFaults`]), `DELETE /faults` and `GET /counters`.

mod object_call;
mod object_store;
mod platform_counters;
mod platform_faults;
mod platform_options;
mod platform_server;
mod platform_service;
mod platform_state;
mod rate_limit;

pub use platform_counters::PlatformCounters;
pub use platform_faults::{CallScope, FaultRule, PlatformFault, PlatformFaults, RateLimits};
pub use platform_options::PlatformOptions;
pub use platform_server::PlatformServer;
