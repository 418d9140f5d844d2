//! The `clock` module provides the only time type that decisions use.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A point in time in milliseconds since the Unix epoch, as reported by the edge that raised an
/// event.
///
/// Spans are plain `u64` milliseconds with an `_ms` suffix. Subtraction saturates, since a host's
/// clock may step backwards; no safety property may depend on comparing times of two hosts.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ClockTime(u64);

impl ClockTime {
    pub const ZERO: ClockTime = ClockTime(0);

    /// Creates a time from milliseconds since the Unix epoch.
    pub const fn from_millis(millis: u64) -> Self {
        ClockTime(millis)
    }

    /// Returns milliseconds since the Unix epoch.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns the time `span_ms` milliseconds later.
    #[must_use]
    pub const fn plus_ms(self, span_ms: u64) -> Self {
        ClockTime(self.0.saturating_add(span_ms))
    }

    /// Returns the milliseconds from `earlier` to this time, zero when `earlier` is later.
    pub const fn since(self, earlier: ClockTime) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl fmt::Display for ClockTime {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}
