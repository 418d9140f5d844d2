//! The `call_options` module provides the settings of the call life cycle.

/// Settings of the call life cycle.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallOptions {
    /// The default `Retry-After` of refusals, in milliseconds.
    pub retry_after_ms: u64,
}

impl Default for CallOptions {
    fn default() -> Self {
        CallOptions {
            retry_after_ms: 1_000,
        }
    }
}
