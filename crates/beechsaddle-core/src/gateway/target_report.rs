//! The `target_report` module provides what the routers of the fleet have measured of one target.

use crate::clock::ClockTime;

/// What other routers have measured of one target. It is a hint: it may be old, incomplete or
/// missing, and no invariant depends on it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetReport {
    /// The mean time between two events of a stream, in milliseconds; `None` without a sample.
    pub event_ms: Option<f64>,
    /// Prompt tokens that the target processes in a millisecond; `None` without a sample.
    pub read_per_ms: Option<f64>,
    /// The part of recent attempts that failed, from 0 to 1.
    pub failure_share: f64,
    /// The weight of the samples.
    pub samples: f64,
    /// Attempts in flight from other routers.
    pub active: u64,
    /// Prompt tokens in flight from other routers that the target has not processed yet.
    pub pending_tokens: u64,
    /// When the newest sample was taken, by this router's clock.
    pub measured_at: ClockTime,
}
