//! The `caller_limits` module provides the limits on the size and duration of callers' requests.

/// Limits on callers, as declared by the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The largest request head, in bytes.
    pub head_bytes: usize,
    /// The largest request body, in bytes.
    pub body_bytes: usize,
    /// The longest time in which a request head must arrive, in milliseconds.
    pub head_timeout_ms: u64,
    /// The longest time that a connection may stay idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl CallerLimits {
    /// Returns the larger one of each limit.
    #[must_use]
    pub fn widened_by(self, other: CallerLimits) -> Self {
        CallerLimits {
            head_bytes: self.head_bytes.max(other.head_bytes),
            body_bytes: self.body_bytes.max(other.body_bytes),
            head_timeout_ms: self.head_timeout_ms.max(other.head_timeout_ms),
            idle_timeout_ms: self.idle_timeout_ms.max(other.idle_timeout_ms),
        }
    }
}

impl Default for CallerLimits {
    /// The limits before the operator's are known: common defaults of HTTP servers.
    fn default() -> Self {
        CallerLimits {
            head_bytes: 16_384,
            body_bytes: 4_194_304,
            head_timeout_ms: 5_000,
            idle_timeout_ms: 30_000,
        }
    }
}
