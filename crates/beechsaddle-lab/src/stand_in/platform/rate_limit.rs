//! The `rate_limit` module provides a limit of calls a second.

use tokio::time::Instant;

/// A bucket that holds one second's calls.
#[derive(Debug, Default)]
pub struct RateLimit {
    filled: Option<Instant>,
    milli_calls: u64,
}

impl RateLimit {
    /// Takes one call, or tells after how many milliseconds there will be one.
    pub fn take(&mut self, per_second: Option<u32>, now: Instant) -> Result<(), u64> {
        let Some(per_second) = per_second.map(u64::from) else {
            return Ok(());
        };
        let full = per_second * 1000;
        let gained = match self.filled {
            Some(filled) => (now - filled).as_millis() as u64 * per_second,
            None => full,
        };
        if gained > 0 {
            self.filled = Some(now);
            self.milli_calls = (self.milli_calls + gained).min(full);
        }
        if self.milli_calls < 1000 {
            let missing = 1000 - self.milli_calls;
            return Err(missing.div_ceil(per_second.max(1)));
        }
        self.milli_calls -= 1000;
        Ok(())
    }
}
