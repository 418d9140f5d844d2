//! The `grant_sizing` module provides how large a grant and how far ahead its mark should be.
//!
//! Both are a pure function of what the holder sees. The grant looks after calls on the platform,
//! the mark after what a death writes off: only tokens below the mark are lost with their holder.

use super::money_options::MoneyOptions;

/// What a holder sees of one budget, in tokens.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct GrantView {
    /// Billed and reserved by this holder.
    pub(super) committed: u64,
    /// Granted to this holder.
    pub(super) amount: u64,
    /// The highest mark that may be durable; a grant never goes below it.
    pub(super) mark: u64,
    /// Reserved bounds that wait and could be had.
    pub(super) waiting: u64,
    /// Free in the ledger.
    pub(super) free: u64,
    /// Open grants on the budget, this one included.
    pub(super) holders: u64,
    /// Tokens a second.
    pub(super) rate: u64,
    /// The largest reservation of late.
    pub(super) bound: u64,
    /// The largest reservation of the last minute or so.
    pub(super) lasting_bound: u64,
    /// Whether no request came for a while.
    pub(super) is_idle: bool,
}

impl GrantView {
    /// What this holder could come to have beyond what is committed.
    fn reachable(&self) -> u64 {
        self.free + self.amount.saturating_sub(self.committed)
    }

    /// A part that is too small for one reservation serves no request here and is missing
    /// elsewhere: several holders would refuse while they have enough together.
    fn useful(&self, ahead: u64) -> u64 {
        if ahead < self.bound { 0 } else { ahead }
    }

    /// The grant that the holder should have.
    pub(super) fn grant_target(&self, options: &MoneyOptions) -> u64 {
        let floor = self.committed.max(self.mark);
        if self.is_idle && self.waiting == 0 {
            return floor;
        }
        let span_ms = options.endurance_ms + options.grant_span_ms;
        let wanted = (self.rate.saturating_mul(span_ms) / 1_000)
            .max(options.min_grant)
            .max(self.bound * BOUNDS_AHEAD);
        // With n holders each takes at most one part of n + 1 of what it can reach, so that the
        // last tokens of a budget are never all with one holder while another one refuses.
        let share = self.reachable() / (self.holders.max(1) + 1);
        let ahead = self
            .useful(wanted.min(share))
            .max(self.waiting.min(self.reachable()));
        (self.committed + ahead).max(floor)
    }

    /// Whether the grant is far enough from its target to be worth a write.
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

    /// The mark that the holder should have, never above the grant.
    pub(super) fn mark_target(&self, options: &MoneyOptions) -> u64 {
        if self.is_idle && self.waiting == 0 {
            return self.committed;
        }
        // A budget that is used a few times a minute has hardly a rate. Without a floor its mark would
        // fall below one call within seconds, and the first call of an outage of the platform would be
        // refused although the grant is ample.
        let endurance =
            (self.rate.saturating_mul(options.endurance_ms) / 1_000).max(self.lasting_bound);
        let scarce = self.reachable() / 1_000 * options.endurance_share_permille;
        let ahead = self.useful(endurance.min(scarce)).max(self.waiting);
        (self.committed + ahead).min(self.amount)
    }

    /// Whether the mark is far enough from its target to be worth a write.
    pub(super) fn is_mark_due(&self, target: u64) -> bool {
        if self.is_idle && self.waiting == 0 {
            return target != self.mark;
        }
        let ahead = self.mark.saturating_sub(self.committed);
        let wanted = target.saturating_sub(self.committed);
        ahead < wanted / 2 || ahead / 2 > wanted || ahead < self.waiting.min(wanted)
    }
}

/// How many of the largest late reservations a grant holds at least.
const BOUNDS_AHEAD: u64 = 2;
