//! The `transfer_plan` module provides the rules for when and how many tokens move between a ledger
//! and a router.

use super::escrow_account::EscrowAccount;
use super::{EscrowOptions, EscrowRole, TokenTransfer};
use crate::clock::ClockTime;

impl EscrowAccount {
    /// Returns the transfer to make, if it is worth a write: below `refill_part` of the wanted
    /// amount, above `give_back_at` times that amount, or if a call waits.
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
        let may_take = self.role == EscrowRole::Allocator && !self.is_closing;
        let held = self.held();
        let has_waiting = self.awaited_within(left.saturating_add(held)) > self.free;
        let is_low = (held as f64) < wanted as f64 * options.refill_part;
        if may_take && (is_low || has_waiting) {
            let tokens = wanted.saturating_sub(held).min(left);
            // With nothing to take, a change still makes deferred tokens usable for waiting calls.
            let releases_deferred = has_waiting && self.deferred > 0;
            return (tokens > 0 || releases_deferred).then_some(TokenTransfer::Take(tokens));
        }
        // Idle tokens in the ledger entry of a router that shuts down, or no longer allocates the
        // workspace, would count as lost when the next process starts on its host.
        if self.reported_idle > 0 && self.is_closing {
            return Some(TokenTransfer::GiveBack(held.saturating_sub(wanted)));
        }
        if self.reported_idle > 0 && self.role == EscrowRole::Borrower {
            return Some(TokenTransfer::GiveBack(held));
        }
        let is_high = held > self.held_max(now, wanted, options);
        is_high.then_some(TokenTransfer::GiveBack(held.saturating_sub(wanted)))
    }

    /// Returns the number of free tokens from which some are returned.
    ///
    /// Amounts that are small for the whole fleet stay, as unused parts of reservations are not
    /// worth a write. A borrower returns tokens sooner, as it passes them to the allocator of its
    /// domain without a write.
    fn held_max(&self, now: ClockTime, wanted: u64, options: &EscrowOptions) -> u64 {
        let usual = (wanted as f64 * options.give_back_at) as u64;
        if self.is_closing {
            return usual;
        }
        let prepaid = self.prepaid.unwrap_or(0) as f64;
        let part = prepaid / self.routers.max(1) as f64;
        match self.role {
            EscrowRole::Borrower => usual.max((part * options.slack_scarce) as u64),
            // Allocators lend each other their remainders.
            EscrowRole::Allocator if self.is_scarce => {
                usual.max((prepaid / self.allocators.max(1) as f64 * options.slack_scarce) as u64)
            }
            EscrowRole::Allocator => {
                usual.max((part * options.slack_part) as u64 + self.largest_at(now))
            }
        }
    }

    /// Returns the number of free tokens that the router should hold.
    ///
    /// An allocator holds seconds of its domain's demand, so that it can serve while the ledger is
    /// unreachable, but only a bounded part of the unspent tokens. That part shrinks as the total
    /// runs out, so that near exhaustion hardly any tokens are idle at one router while another
    /// refuses calls.
    fn wanted(&self, now: ClockTime, options: &EscrowOptions) -> Option<u64> {
        let prepaid = self.prepaid?;
        let left = self.left()?;
        // More is taken than the total, for instance after the total was lowered.
        if self.taken()? > prepaid {
            return Some(0);
        }
        let within_reach = left.saturating_add(self.held());
        let awaited = self.awaited_within(within_reach);
        let unspent = (within_reach - awaited) as f64;
        let scarce = prepaid as f64 * options.scarce_part;
        let last = prepaid as f64 * options.last_part;
        let taper = ((unspent - last) / (scarce - last).max(1.0)).clamp(0.0, 1.0);
        let part = unspent / self.allocators.max(1) as f64;
        let most = (part * options.max_part).min(unspent * options.max_single_part) * taper;
        let ahead = match self.role {
            EscrowRole::Allocator => {
                let hold_factor = self.hold_factor(options);
                let span_s = (options.hold_s * hold_factor).max(options.least_s);
                let demand = self.demand.per_second(now).max(0.0) * span_s;
                let largest = self.largest_at(now) as f64 * hold_factor;
                let first =
                    part * options.first_part * hold_factor * self.unknown_demand_part(options);
                demand.max(largest).max(first)
            }
            EscrowRole::Borrower => self.borrow_ahead(now, options) as f64,
        };
        Some(awaited + ahead.min(most) as u64)
    }

    /// Returns how far demand is unknown, from 1 before any use down to 0 once `known_part` of the
    /// total is used anywhere. From then on a domain without callers holds nothing, and borrows
    /// when callers arrive.
    fn unknown_demand_part(&self, options: &EscrowOptions) -> f64 {
        let used = self.ledger.as_ref().map_or(0, |ledger| ledger.used()) as f64;
        let known = self.prepaid.unwrap_or(0) as f64 * options.known_part;
        (1.0 - used / known.max(1.0)).max(0.0)
    }

    /// Returns the factor of the usual amount to hold in advance, from 1 down to 0, by the tokens
    /// lost with terminated routers so far.
    ///
    /// Routers that restart after a loss take what they need again. Without a bound, each loss of
    /// all routers costs as many seconds of demand as they hold, until callers whose prompts are
    /// paid for are refused for good. The square leaves nearly all of the reserve after a few
    /// losses, and nothing near the bound.
    pub(super) fn hold_factor(&self, options: &EscrowOptions) -> f64 {
        let loss_ratio = self.loss_ratio(options);
        1.0 - loss_ratio * loss_ratio
    }

    /// Returns the tokens lost with terminated routers so far, as a part of those that may be lost:
    /// at most 1.
    pub(super) fn loss_ratio(&self, options: &EscrowOptions) -> f64 {
        let counted = self.ledger.as_ref().map_or(0, |ledger| ledger.lost);
        let lost = counted.saturating_add(self.uncounted_losses) as f64;
        let tolerated = self.prepaid.unwrap_or(0) as f64 * options.lost_part;
        (lost / tolerated.max(1.0)).min(1.0)
    }
}
