//! The `backoff_span` module provides how long to wait before the next attempt to reconnect.

use std::time::Duration;

use rand::Rng;

/// Doubles from one failure to the next, up to a limit.
#[derive(Debug)]
pub(super) struct BackoffSpan {
    min_ms: u64,
    max_ms: u64,
    next_ms: u64,
}

impl BackoffSpan {
    /// Starts at the shortest wait.
    pub(super) fn new(min_ms: u64, max_ms: u64) -> Self {
        BackoffSpan {
            min_ms,
            max_ms,
            next_ms: min_ms,
        }
    }

    /// The connection stood: the next failure is the first again.
    pub(super) fn reset(&mut self) {
        self.next_ms = self.min_ms;
    }

    /// Trying soon cannot help: waits longest.
    pub(super) fn set_longest(&mut self) {
        self.next_ms = self.max_ms;
    }

    /// How long to wait now. Half of it is left to chance: after a switch came back, all routers
    /// would otherwise connect to each other in the same instant.
    pub(super) fn next_span(&mut self) -> Duration {
        let half_ms = self.next_ms / 2;
        let wait_ms = half_ms + rand::rng().random_range(0..=half_ms);
        self.next_ms = self.next_ms.saturating_mul(2).min(self.max_ms);
        Duration::from_millis(wait_ms)
    }
}
