//! The `grant_sizing` module provides the sizes of a grant and of its mark.
//!
//! Both sizes are pure functions of the holder's view. The grant size limits calls to the platform,
//! the mark limits the write-off at a death: only tokens below the mark are lost with their holder.

use super::accounting_options::AccountingOptions;

/// A holder's view of one budget, in tokens.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct GrantView {
    /// Billed and reserved by this holder.
    pub(super) committed: u64,
    /// Granted to this holder.
    pub(super) amount: u64,
    /// The highest mark that may be durable; a grant never falls below it.
    pub(super) mark: u64,
    /// Sum of the waiting bounds that the budget can cover.
    pub(super) waiting: u64,
    /// Free in the ledger.
    pub(super) free: u64,
    /// Number of open grants on the budget, including this one.
    pub(super) holders: u64,
    /// Usage in tokens per second.
    pub(super) rate: u64,
    /// The largest recent reservation, with decay.
    pub(super) bound: u64,
    /// The largest reservation of the last 30 to 60 s.
    pub(super) peak_bound: u64,
    /// Whether no request came within the idle period.
    pub(super) is_idle: bool,
}

impl GrantView {
    /// Returns the tokens that this holder can obtain beyond those committed.
    fn reachable(&self) -> u64 {
        self.free + self.amount.saturating_sub(self.committed)
    }

    /// Returns `ahead`, or 0 if it is too small for one reservation: it would serve no request here
    /// and be missing elsewhere, so several holders would refuse although they have enough
    /// together.
    fn usable(&self, ahead: u64) -> u64 {
        if ahead < self.bound { 0 } else { ahead }
    }

    /// Returns the grant that the holder should have.
    pub(super) fn grant_target(&self, options: &AccountingOptions) -> u64 {
        let floor = self.committed.max(self.mark);
        if self.is_idle && self.waiting == 0 {
            return floor;
        }
        let span_ms = options.endurance_ms + options.grant_span_ms;
        let wanted = (self.rate.saturating_mul(span_ms) / 1_000)
            .max(options.min_grant)
            .max(self.bound * MIN_GRANT_BOUNDS);
        // With n holders, each takes at most one part in n + 1 of what it can reach, so that no
        // holder has all of the last tokens while another one refuses.
        let share = self.reachable() / (self.holders.max(1) + 1);
        let ahead = self
            .usable(wanted.min(share))
            .max(self.waiting.min(self.reachable()));
        (self.committed + ahead).max(floor)
    }

    /// Whether the grant differs enough from its target to be worth a write.
    pub(super) fn is_grant_due(&self, target: u64) -> bool {
        if self.is_idle && self.waiting == 0 {
            return target != self.amount;
        }
        if self.committed + self.waiting > self.amount {
            return target > self.amount;
        }
        let ahead = self.amount.saturating_sub(self.committed);
        let wanted = target.saturating_sub(self.committed);
        ahead < wanted / 2 || (ahead / 2 > wanted && target < self.amount)
    }

    /// Returns the mark that the holder should have, never above the grant.
    pub(super) fn mark_target(&self, options: &AccountingOptions) -> u64 {
        if self.is_idle && self.waiting == 0 {
            return self.committed;
        }
        // A budget used a few times a minute has almost no rate. Without this floor its mark would
        // fall below one call within seconds, and the first call during a platform outage would be
        // refused although the grant is ample.
        let outage_reserve =
            (self.rate.saturating_mul(options.endurance_ms) / 1_000).max(self.peak_bound);
        let reserve_cap = self.reachable() / 1_000 * options.endurance_share_permille;
        let ahead = self
            .usable(outage_reserve.min(reserve_cap))
            .max(self.waiting);
        (self.committed + ahead).min(self.amount)
    }

    /// Whether the mark differs enough from its target to be worth a write.
    pub(super) fn is_mark_due(&self, target: u64) -> bool {
        if self.is_idle && self.waiting == 0 {
            return target != self.mark;
        }
        let ahead = self.mark.saturating_sub(self.committed);
        let wanted = target.saturating_sub(self.committed);
        ahead < wanted / 2 || ahead / 2 > wanted || ahead < self.waiting.min(wanted)
    }
}

/// Minimum size of a grant, in multiples of the largest recent reservation.
const MIN_GRANT_BOUNDS: u64 = 2;
