//! The `deferred_change` module provides the accounting of deferred tokens across ledger changes.
//!
//! An allocator's entry in the ledger has a schedule by which deferred tokens become usable. Until
//! the outcome of a change is known, either the entry before it or the entry with it may be in the
//! ledger. The account therefore follows both schedules, and defers as many tokens as either of
//! them requires.
//!
//! No used token is returned by the successor on the same host, whichever entry it finds:
//!
//! - The number of deferred tokens of a schedule only falls with time.
//! - Until the process ended, at least that many of the entry's tokens were unused. Its schedule
//!   begins when the change is planned, and the entry names a time no later than that by the
//!   clocks of the fleet ([`FleetClock`](super::FleetClock)).
//! - The process ended before its successor started, and the successor counts by a time no earlier
//!   than its start.

use super::escrow_account::EscrowAccount;
use super::reserve_schedule::ReserveSchedule;
use super::{ClockBounds, DeferredReserve, EscrowOptions, EscrowRole, LedgerChange, TokenTransfer};
use crate::clock::ClockTime;

/// The time after a write in which all deferred tokens become usable at the latest, in seconds.
/// Where a domain has no callers yet, its first ones are served in a long outage, while little is
/// lost with a router.
const OPEN_SPAN_S: f64 = 30.0;

/// The part of the largest recent call that is usable at any time, where that is more than the
/// seconds of demand. A larger call waits for a write; each allocator of a workspace with few
/// callers would otherwise lose such a call with its process.
const LARGEST_OPEN_PART: f64 = 0.5;

/// The part of the tolerated losses from which tokens stay deferred when little is left of a total.
/// Other routers cannot borrow deferred tokens, but what a loss takes is missing to all.
const SCARCE_LOSS_RATIO: f64 = 0.1;

/// A change whose outcome is unknown.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingChange {
    pub(super) change: LedgerChange,
    /// The schedule in the ledger if the change is applied.
    pub(super) schedule: ReserveSchedule,
    /// Whether the change was requested more than once, so that the outcome of an earlier write of
    /// it may be unknown.
    is_repeated: bool,
}

impl EscrowAccount {
    /// Returns the tokens that are not reserved, including deferred ones.
    pub(super) fn held(&self) -> u64 {
        self.free.saturating_add(self.deferred)
    }

    /// Divides the held tokens: those that an entry which may be in the ledger has as deferred at
    /// this time stay unused, all others are usable.
    pub(super) fn update_deferred(&mut self, now: ClockTime) {
        let held = self.held();
        self.deferred = self.required_deferred(now).min(held);
        self.free = held - self.deferred;
    }

    /// Returns how many tokens have to be deferred here.
    ///
    /// Tokens that a pending change takes are not held here yet. If it was applied, they are unused
    /// and part of the new schedule, so the held tokens have to make up for the others only.
    /// Likewise, tokens that it returns are not held here any more. If it was not applied, they are
    /// unused and part of the current schedule.
    fn required_deferred(&self, now: ClockTime) -> u64 {
        let current = self.schedule.deferred_at(now);
        let Some(pending) = self.pending else {
            return current;
        };
        let next = pending.schedule.deferred_at(now);
        match pending.change.transfer {
            TokenTransfer::Take(tokens) => current.max(next.saturating_sub(tokens)),
            TokenTransfer::GiveBack(tokens) => current.saturating_sub(tokens).max(next),
        }
    }

    /// Begins a change. Tokens that it returns or defers are unavailable from now on, so that they
    /// cannot be used while the write is in flight.
    pub(super) fn begin_change(
        &mut self,
        now: ClockTime,
        number: u64,
        transfer: TokenTransfer,
        clock: ClockBounds,
        options: &EscrowOptions,
    ) -> LedgerChange {
        let idle = match transfer {
            TokenTransfer::Take(tokens) => self.held().saturating_add(tokens),
            TokenTransfer::GiveBack(tokens) => self.held().saturating_sub(tokens),
        };
        let schedule = match clock.earliest {
            Some(_) => self.schedule_for(now, idle, options),
            None => ReserveSchedule::default(),
        };
        let deferred = clock.earliest.filter(|_| schedule.tokens > 0);
        let deferred = deferred.map(|earliest| DeferredReserve {
            tokens: schedule.tokens,
            until: earliest.plus_ms(schedule.opens_at.since(now)),
            per_s: schedule.per_s,
        });
        let change = LedgerChange {
            number,
            transfer,
            idle,
            deferred,
            started: clock.started,
        };
        if let TokenTransfer::GiveBack(tokens) = transfer {
            self.remove_held(tokens);
        }
        self.pending = Some(PendingChange {
            change,
            schedule,
            is_repeated: false,
        });
        self.update_deferred(now);
        change
    }

    /// Applies the pending change, which is in the ledger.
    pub(super) fn commit_change(&mut self, now: ClockTime) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        self.reported_idle = pending.change.idle;
        self.schedule = pending.schedule;
        if let TokenTransfer::Take(tokens) = pending.change.transfer {
            self.free += tokens;
        }
        self.update_deferred(now);
    }

    /// Returns the pending change for another write.
    pub(super) fn repeat_change(&mut self) -> Option<LedgerChange> {
        let pending = self.pending.as_mut()?;
        pending.is_repeated = true;
        Some(pending.change)
    }

    /// Handles the rejection of the last write of the pending change. If it was the only write, the
    /// change is reverted, as it will never be applied.
    pub(super) fn withdraw_change(&mut self) {
        if self.pending.is_some_and(|pending| !pending.is_repeated) {
            self.revert_change();
        }
    }

    /// Reverts the pending change, which is not in the ledger and never will be. Tokens that it
    /// returned are held again. They count as deferred until the next update, before any use.
    pub(super) fn revert_change(&mut self) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        if let TokenTransfer::GiveBack(tokens) = pending.change.transfer {
            self.deferred += tokens;
        }
    }

    /// Removes tokens that are held, usable ones first.
    fn remove_held(&mut self, tokens: u64) {
        let from_deferred = tokens.saturating_sub(self.free);
        self.free = self.free.saturating_sub(tokens);
        self.deferred = self.deferred.saturating_sub(from_deferred);
    }

    /// Whether a loss of power now would take so many more tokens than one right after a write that
    /// they are worth a write: those that have become usable unused, and those that become usable
    /// while power is away. Workspaces without recent calls cost no writes.
    pub(super) fn has_excess(&self, now: ClockTime, options: &EscrowOptions) -> bool {
        if self.largest_at(now) == 0 {
            return false;
        }
        let held = self.held();
        let loss_end = now.plus_ms(options.defer_ms);
        let deferred = self.required_deferred(loss_end).min(held);
        let wanted = self.schedule_for(now, held, options).tokens;
        let excess = wanted.saturating_sub(deferred) as f64;
        excess > self.prepaid.unwrap_or(0) as f64 * options.renew_part
    }

    /// Returns the schedule for `idle` tokens: calls can use what they need at any time, and what
    /// they need beyond that as time passes. The more tokens were lost, the fewer are usable at any
    /// time, and the later the others become usable.
    fn schedule_for(&self, now: ClockTime, idle: u64, options: &EscrowOptions) -> ReserveSchedule {
        let loss_ratio = self.loss_ratio(options);
        let lends_all = self.is_scarce() && loss_ratio < SCARCE_LOSS_RATIO;
        if self.role != EscrowRole::Allocator
            || self.is_closing
            || lends_all
            || options.defer_ms == 0
        {
            return ReserveSchedule::default();
        }
        let lost_ms = options.defer_lost_ms as f64 * loss_ratio;
        let opens_at = now.plus_ms(options.defer_ms + lost_ms as u64);
        let demand = self.demand.per_second(now).max(0.0);
        let open_s = (options.open_s * (1.0 - loss_ratio)).max(options.open_least_s);
        let largest = self.largest_at(now) as f64 * self.hold_factor(options) * LARGEST_OPEN_PART;
        let open = (demand * open_s).max(largest) as u64;
        let tokens = idle.saturating_sub(self.awaited()).saturating_sub(open);
        let least = tokens as f64 / OPEN_SPAN_S;
        let per_s = (demand * options.open_rate).max(least).ceil() as u64;
        ReserveSchedule {
            tokens,
            opens_at,
            per_s: Some(per_s),
        }
    }
}
