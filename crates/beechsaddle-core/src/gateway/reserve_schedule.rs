//! The `reserve_schedule` module provides the schedule by which deferred tokens become usable.

use crate::clock::ClockTime;

/// Deferred tokens that become usable little by little.
///
/// The router that holds the tokens follows the schedule by its steady clock. Its ledger entry has
/// the same schedule by the clocks of the fleet, which tells its successor how many tokens were
/// certainly unused at some time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ReserveSchedule {
    /// Tokens that are deferred at first.
    pub(super) tokens: u64,
    /// When the first of them become usable.
    pub(super) opens_at: ClockTime,
    /// How many become usable per second from then on; `None` if all do at once.
    pub(super) per_s: Option<u64>,
}

impl ReserveSchedule {
    /// Returns how many tokens are still deferred at `time`. The number never grows with time.
    pub(super) fn deferred_at(&self, time: ClockTime) -> u64 {
        if time < self.opens_at {
            return self.tokens;
        }
        let Some(per_s) = self.per_s else {
            return 0;
        };
        let open_ms = time.since(self.opens_at);
        self.tokens
            .saturating_sub(per_s.saturating_mul(open_ms) / 1_000)
    }
}
