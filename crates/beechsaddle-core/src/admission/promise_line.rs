//! The `promise_line` module provides times to come back at that do not coincide.

use crate::clock::ClockTime;
use crate::random::SeededRandom;

/// The times that refused callers were told to come back at.
///
/// If all were told the moment at which the next slot is free, all would return at it and all but
/// one be refused again. Each caller is told the moment of its own slot instead.
#[derive(Clone, Debug, Default)]
pub struct PromiseLine {
    last: ClockTime,
}

impl PromiseLine {
    /// After how many milliseconds to come back, when the next slot is free in `wait_ms` and one
    /// more every `spacing_ms`.
    pub fn promise(
        &mut self,
        now: ClockTime,
        wait_ms: u64,
        spacing_ms: u64,
        max_ms: u64,
        random: &mut SeededRandom,
    ) -> u64 {
        let first = now.plus_ms(wait_ms);
        let next = first.max(self.last.plus_ms(spacing_ms));
        let span_ms = next.since(now);
        if span_ms > max_ms {
            // The line is longer than is worth telling. Callers are spread over the second half of
            // the longest time instead of all being told its end.
            return max_ms / 2 + random.below(max_ms / 2 + 1);
        }
        self.last = next;
        span_ms.max(1) + random.below(span_ms / 10 + 1)
    }
}
