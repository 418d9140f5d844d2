//! The `service_load` module provides how busy the targets of a service are together.

/// How busy the targets are that may serve a call, in the own domain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceLoad {
    /// How many there are.
    pub targets: u32,
    /// Calls of all routers that are believed to run or wait there.
    pub calls: u32,
    /// Calls that the targets said are waiting.
    pub waiting: u32,
    /// The expected time to the first token at the best of them, in milliseconds; `None` while no
    /// target's speed is measured.
    pub first_token_ms: Option<u64>,
}
