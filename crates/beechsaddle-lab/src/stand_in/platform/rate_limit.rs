//! The `rate_limit` module provides a rate limit in calls per second.

use tokio::time::Instant;

/// A token bucket with a capacity of one second's calls.
#[derive(Debug, Default)]
pub struct RateLimit {
    refilled_at: Option<Instant>,
    milli_calls: u64,
}

impl RateLimit {
    /// Admits one call, or returns the milliseconds until the next one is admitted.
    pub fn try_acquire(&mut self, per_second: Option<u32>, now: Instant) -> Result<(), u64> {
        let Some(per_second) = per_second.map(u64::from) else {
            return Ok(());
        };
        let full = per_second * 1000;
        let refill = match self.refilled_at {
            Some(refilled_at) => (now - refilled_at).as_millis() as u64 * per_second,
            None => full,
        };
        if refill > 0 {
            self.refilled_at = Some(now);
            self.milli_calls = (self.milli_calls + refill).min(full);
        }
        if self.milli_calls < 1000 {
            let missing = 1000 - self.milli_calls;
            return Err(missing.div_ceil(per_second.max(1)));
        }
        self.milli_calls -= 1000;
        Ok(())
    }
}
