//! The `backoff_delay` module provides the delay before the next attempt to reconnect.

use std::time::Duration;

use rand::Rng;

/// Exponential backoff, doubled at each failure up to a limit.
#[derive(Debug)]
pub(super) struct BackoffDelay {
    min_ms: u64,
    max_ms: u64,
    next_ms: u64,
}

impl BackoffDelay {
    /// Starts at the shortest delay.
    pub(super) fn new(min_ms: u64, max_ms: u64) -> Self {
        BackoffDelay {
            min_ms,
            max_ms,
            next_ms: min_ms,
        }
    }

    /// Resets the delay after a successful connection.
    pub(super) fn reset(&mut self) {
        self.next_ms = self.min_ms;
    }

    /// Sets the longest delay, for failures that a quick retry cannot solve.
    pub(super) fn set_to_max(&mut self) {
        self.next_ms = self.max_ms;
    }

    /// Returns the delay to wait now. Half of it is random: after a switch has recovered, all
    /// routers would otherwise connect to each other at the same instant.
    pub(super) fn next_delay(&mut self) -> Duration {
        let half_ms = self.next_ms / 2;
        let wait_ms = half_ms + rand::rng().random_range(0..=half_ms);
        self.next_ms = self.next_ms.saturating_mul(2).min(self.max_ms);
        Duration::from_millis(wait_ms)
    }
}
