//! The `transfer_plan` module provides when tokens move between a ledger and a router, and how many.

use super::escrow_account::EscrowAccount;
use super::{EscrowOptions, EscrowRole, TokenTransfer};
use crate::clock::ClockTime;

impl EscrowAccount {
    /// What to move, if that is worth it: from `refill_part` of what is wanted down, from `give_back_at` times
    /// of it up, or where a call waits.
    pub(super) fn next_transfer(
        &self,
        now: ClockTime,
        options: &EscrowOptions,
    ) -> Option<TokenTransfer> {
        let left = self.left()?;
        let wanted = match self.is_closing {
            true => 0,
            false => self.wanted(now, options)?,
        };
        let may_take = self.role == EscrowRole::Keeper && !self.is_closing;
        let held = self.held();
        let has_waiting = self.awaited_within(left.saturating_add(held)) > self.free;
        let is_low = (held as f64) < wanted as f64 * options.refill_part;
        if may_take && (is_low || has_waiting) {
            let tokens = wanted.saturating_sub(held).min(left);
            // With nothing to take, a change still lets waiting calls use what is deferred.
            let opens = has_waiting && self.deferred > 0;
            return (tokens > 0 || opens).then_some(TokenTransfer::Take(tokens));
        }
        // What the ledger was told of a router that ends, or keeps the workspace no more, would count as lost
        // with the next process on its host.
        if self.told > 0 && self.is_closing {
            return Some(TokenTransfer::GiveBack(held.saturating_sub(wanted)));
        }
        if self.told > 0 && self.role == EscrowRole::Borrower {
            return Some(TokenTransfer::GiveBack(held));
        }
        let is_high = held > self.most_kept(now, wanted, options);
        is_high.then_some(TokenTransfer::GiveBack(held.saturating_sub(wanted)))
    }

    /// How many free tokens are kept before any are given back.
    ///
    /// Amounts that are small for the whole fleet stay: what calls leave of their reservations is not worth a
    /// write. A borrower gives back sooner, as it hands tokens to the keeper of its domain without one.
    fn most_kept(&self, now: ClockTime, wanted: u64, options: &EscrowOptions) -> u64 {
        let usual = (wanted as f64 * options.give_back_at) as u64;
        if self.is_closing {
            return usual;
        }
        let prepaid = self.prepaid.unwrap_or(0) as f64;
        let part = prepaid / self.routers.max(1) as f64;
        match self.role {
            EscrowRole::Borrower => usual.max((part * options.slack_scarce) as u64),
            // Keepers lend each other what they have left.
            EscrowRole::Keeper if self.is_scarce => {
                usual.max((prepaid / self.keepers.max(1) as f64 * options.slack_scarce) as u64)
            }
            EscrowRole::Keeper => {
                usual.max((part * options.slack_part) as u64 + self.largest_at(now))
            }
        }
    }

    /// How many free tokens the router should hold.
    ///
    /// A keeper holds seconds of its domain's demand, so that it can serve while the ledger is out
    /// of reach, but only a bounded part of what nobody has spent. That part shrinks as the total
    /// runs out, so that near the end hardly anything lies idle at one router while another refuses.
    fn wanted(&self, now: ClockTime, options: &EscrowOptions) -> Option<u64> {
        let prepaid = self.prepaid?;
        let left = self.left()?;
        // More is taken than there is, as after the total was lowered.
        if self.taken()? > prepaid {
            return Some(0);
        }
        let within_reach = left.saturating_add(self.held());
        let awaited = self.awaited_within(within_reach);
        let unspent = (within_reach - awaited) as f64;
        let scarce = prepaid as f64 * options.scarce_part;
        let last = prepaid as f64 * options.last_part;
        let ease = ((unspent - last) / (scarce - last).max(1.0)).clamp(0.0, 1.0);
        let part = unspent / self.keepers.max(1) as f64;
        let most = (part * options.most_part).min(unspent * options.most_alone) * ease;
        let ahead = match self.role {
            EscrowRole::Keeper => {
                let hold_factor = self.hold_factor(options);
                let span_s = (options.hold_s * hold_factor).max(options.least_s);
                let demand = self.demand.per_second(now).max(0.0) * span_s;
                let largest = self.largest_at(now) as f64 * hold_factor;
                let first = part * options.first_part * hold_factor * self.unknown_part(options);
                demand.max(largest).max(first)
            }
            EscrowRole::Borrower => self.borrow_ahead(now, options) as f64,
        };
        Some(awaited + ahead.min(most) as u64)
    }

    /// How far demand is unknown, from 1 before any use down to 0 once `known_part` of the total is used
    /// anywhere. From then on a domain without callers holds nothing, and borrows if some come.
    fn unknown_part(&self, options: &EscrowOptions) -> f64 {
        let used = self.ledger.as_ref().map_or(0, |ledger| ledger.used()) as f64;
        let known = self.prepaid.unwrap_or(0) as f64 * options.known_part;
        (1.0 - used / known.max(1.0)).max(0.0)
    }

    /// How much of the usual is held ahead, from 1 down to 0, by what died with routers so far.
    ///
    /// Routers that start again after a loss take what they need anew: without a bound each loss of all routers
    /// costs as many seconds of demand as they hold, until callers whose prompts are paid for are refused for
    /// good. The square leaves nearly all of the cover after a few routers died, and nothing near the bound.
    pub(super) fn hold_factor(&self, options: &EscrowOptions) -> f64 {
        let counted = self.ledger.as_ref().map_or(0, |ledger| ledger.lost);
        let lost = counted.saturating_add(self.died_before) as f64;
        let bearable = self.prepaid.unwrap_or(0) as f64 * options.lost_part;
        let borne = lost / bearable.max(1.0);
        (1.0 - borne * borne).max(0.0)
    }
}
