//! The `caller_limits` module provides what a caller may send, and how long it may take.

/// Limits on callers, as the operator declares them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The largest request head, in bytes.
    pub head_bytes: usize,
    /// The largest request body, in bytes.
    pub body_bytes: usize,
    /// How long a request head may take, in milliseconds.
    pub head_timeout_ms: u64,
    /// How long a connection may stay idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    /// In force until an operator's limits are known: common defaults of HTTP servers.
    fn default() -> Self {
        CallerLimits {
            head_bytes: 16_384,
            body_bytes: 4_194_304,
            head_timeout_ms: 5_000,
            idle_timeout_ms: 30_000,
        }
    }
}
