//! The `backoff` module provides the delays between retries of a platform call.

use crate::hash::stable_hash;
use crate::names::RouterIncarnation;

/// The first delay, in milliseconds.
const FIRST_MS: u64 = 200;

/// The maximum delay, in milliseconds; a recovered platform is used again within this time.
const LONGEST_MS: u64 = 4_000;

/// Exponential backoff with a jitter that differs between routers.
///
/// All routers lose the platform at the same moment. Without jitter they would also retry at the
/// same moment and overload it again.
#[derive(Clone, Debug)]
pub struct RetryBackoff {
    salt: u64,
    failures: u32,
}

impl RetryBackoff {
    /// Creates the backoff of one task of one router.
    pub fn new(me: &RouterIncarnation, task: impl AsRef<str>) -> Self {
        RetryBackoff {
            salt: stable_hash(format!("{me}/{}", task.as_ref())),
            failures: 0,
        }
    }

    /// Resets the backoff after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Records a failure and returns the delay in milliseconds, at least `min_ms`.
    pub fn next_ms(&mut self, min_ms: u64) -> u64 {
        let doubled = FIRST_MS << self.failures.min(8);
        let range_ms = doubled.min(LONGEST_MS);
        self.failures = self.failures.saturating_add(1);
        let jitter = stable_hash((self.salt ^ u64::from(self.failures)).to_le_bytes());
        // Half of the delay is fixed and half is jitter.
        let waiting = range_ms / 2 + jitter % (range_ms / 2 + 1);
        waiting.max(min_ms)
    }
}
