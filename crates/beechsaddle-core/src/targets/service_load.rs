//! The `service_load` module provides the combined load of the targets of a service.

/// The load of the targets of the own domain that can serve a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceLoad {
    /// The number of targets.
    pub targets: u32,
    /// The estimated number of running and waiting calls of all routers.
    pub calls: u32,
    /// The number of waiting calls that the targets reported.
    pub waiting: u32,
    /// The lowest expected time to first token of these targets, in milliseconds; `None` while no
    /// target's speed is measured.
    pub first_token_ms: Option<u64>,
}
