//! The `backoff` module provides the waiting times between tries of a platform call.

use crate::hash::stable_hash;
use crate::names::RouterIncarnation;

/// The first waiting time, in milliseconds.
const FIRST_MS: u64 = 200;

/// The longest waiting time, in milliseconds: a healed platform is in use again within this.
const LONGEST_MS: u64 = 4_000;

/// Doubling waiting times with a spread that differs between routers.
///
/// All routers lose the platform in the same moment. Without the spread they would come back in
/// the same moment too, find it overloaded and lose it again.
#[derive(Clone, Debug)]
pub struct RetryBackoff {
    salt: u64,
    failures: u32,
}

impl RetryBackoff {
    /// Waiting times of one duty of one router.
    pub fn new(me: &RouterIncarnation, duty: impl AsRef<str>) -> Self {
        RetryBackoff {
            salt: stable_hash(format!("{me}/{}", duty.as_ref())),
            failures: 0,
        }
    }

    /// Starts over after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Notes a failure and gives how long to wait, in milliseconds; at least `least_ms`.
    pub fn next_ms(&mut self, least_ms: u64) -> u64 {
        let doubled = FIRST_MS << self.failures.min(8);
        let span = doubled.min(LONGEST_MS);
        self.failures = self.failures.saturating_add(1);
        let spread = stable_hash((self.salt ^ u64::from(self.failures)).to_le_bytes());
        // Half of the span is fixed and half is spread.
        let waiting = span / 2 + spread % (span / 2 + 1);
        waiting.max(least_ms)
    }
}
