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

    /// Returns the earliest time from which at most `most` tokens are deferred; `None` if more of
    /// them always are.
    pub(super) fn deferred_within(&self, most: u64) -> Option<ClockTime> {
        let excess = self.tokens.saturating_sub(most);
        match self.per_s {
            _ if excess == 0 => Some(ClockTime::ZERO),
            None => Some(self.opens_at),
            Some(0) => None,
            Some(per_s) => {
                let open_ms = excess.saturating_mul(1_000).div_ceil(per_s);
                Some(self.opens_at.plus_ms(open_ms))
            }
        }
    }
}
