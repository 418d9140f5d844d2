//! The `retry_slots` module provides retry times for refused callers that do not coincide.

use crate::clock::ClockTime;
use crate::random::SeededRandom;

/// Retry times given to refused callers.
///
/// If all callers got the time of the next free slot, all would retry then and all but one would be
/// refused again. Each caller gets a slot of its own instead.
#[derive(Clone, Debug, Default)]
pub struct RetrySlots {
    last_slot: ClockTime,
}

impl RetrySlots {
    /// Returns the `Retry-After` in milliseconds, given that the next slot is free in `wait_ms` and
    /// another one every `spacing_ms`.
    pub fn retry_ms(
        &mut self,
        now: ClockTime,
        wait_ms: u64,
        spacing_ms: u64,
        max_ms: u64,
        random: &mut SeededRandom,
    ) -> u64 {
        let first_slot = now.plus_ms(wait_ms);
        let next_slot = first_slot.max(self.last_slot.plus_ms(spacing_ms));
        let delay_ms = next_slot.since(now);
        if delay_ms > max_ms {
            // The next free slot is beyond the limit. Retries are spread over the second half of
            // the maximum delay, so that they do not all arrive at its end.
            return max_ms / 2 + random.below(max_ms / 2 + 1);
        }
        self.last_slot = next_slot;
        delay_ms.max(1) + random.below(delay_ms / 10 + 1)
    }
}
