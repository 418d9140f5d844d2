//! The `load_limiter` module provides how many loads of weights one router starts.

use super::OrderOptions;
use crate::clock::ClockTime;

/// One minute in milliseconds.
const MINUTE_MS: u64 = 60_000;

/// A router's share of its domain's loads.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LoadLimiter {
    next_load: ClockTime,
    closed_until: ClockTime,
}

impl LoadLimiter {
    /// Whether a load may start, with `under_way` loads of this router not yet ended and `routers`
    /// live routers in the domain.
    pub(super) fn is_open(
        &self,
        now: ClockTime,
        options: &OrderOptions,
        under_way: usize,
        routers: usize,
    ) -> bool {
        let share = options.domain_loads_at_once as usize / routers.max(1);
        now >= self.next_load && now >= self.closed_until && under_way < share.max(1)
    }

    /// Counts a load that starts. The shares of all routers together keep to the domain's rate.
    pub(super) fn count(&mut self, now: ClockTime, options: &OrderOptions, routers: usize) {
        let rate = u64::from(options.domain_loads_per_minute.max(1));
        let period_ms = MINUTE_MS * routers.max(1) as u64 / rate;
        self.next_load = now.plus_ms(period_ms);
    }

    /// Starts no load for as long as the weight store has asked.
    pub(super) fn close(&mut self, now: ClockTime, retry_after_ms: u64) {
        self.closed_until = self.closed_until.max(now.plus_ms(retry_after_ms));
    }
}
