//! The `load_limiter` module provides the limit on weight loads that one router starts.

use super::OrderOptions;
use crate::clock::ClockTime;

const MINUTE_MS: u64 = 60_000;

/// One router's share of its domain's loads.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LoadLimiter {
    next_load: ClockTime,
    blocked_until: ClockTime,
}

impl LoadLimiter {
    /// Whether a load may start, given `running` unfinished loads of this router and `routers` live
    /// routers in the domain.
    pub(super) fn can_start(
        &self,
        now: ClockTime,
        options: &OrderOptions,
        running: usize,
        routers: usize,
    ) -> bool {
        let share = options.domain_loads_at_once as usize / routers.max(1);
        now >= self.next_load && now >= self.blocked_until && running < share.max(1)
    }

    /// Records the start of a load. The shares of all routers add up to the domain's rate.
    pub(super) fn count(&mut self, now: ClockTime, options: &OrderOptions, routers: usize) {
        let rate = u64::from(options.domain_loads_per_minute.max(1));
        let period_ms = MINUTE_MS * routers.max(1) as u64 / rate;
        self.next_load = now.plus_ms(period_ms);
    }

    /// Blocks loads for the time that the weight store asked for.
    pub(super) fn block(&mut self, now: ClockTime, retry_after_ms: u64) {
        self.blocked_until = self.blocked_until.max(now.plus_ms(retry_after_ms));
    }
}
