//! The `deferred_change` module provides the accounting of deferred tokens across ledger changes.
//!
//! Tokens that a writer entry in the ledger marks as deferred stay unused until another entry has
//! certainly replaced it, or until the time in the entry has passed. Whichever entry is in the
//! ledger when the process ends, its successor on the same host returns no token that was used.

use super::escrow_account::EscrowAccount;
use super::{ClockBounds, DeferredReserve, EscrowOptions, EscrowRole, LedgerChange, TokenTransfer};
use crate::clock::ClockTime;

/// A change whose outcome is unknown.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingChange {
    pub(super) change: LedgerChange,
    /// When the change was planned.
    planned_at: ClockTime,
    /// The part of the returned tokens that was deferred, which becomes deferred again if the
    /// change is reverted.
    from_deferred: u64,
    /// The tokens that were usable before and that the change defers.
    locked: u64,
    /// Whether the change was requested more than once, so that the outcome of an earlier write of
    /// it may be unknown.
    is_repeated: bool,
}

impl EscrowAccount {
    /// Returns the tokens that are not reserved, including deferred ones.
    pub(super) fn held(&self) -> u64 {
        self.free.saturating_add(self.deferred)
    }

    /// Makes deferred tokens usable `defer_ms` after the last change that may be in the ledger.
    pub(super) fn release_deferred(&mut self, now: ClockTime, options: &EscrowOptions) {
        let pending_at = self.pending.map(|pending| pending.planned_at);
        let since = pending_at.unwrap_or(self.marked_at);
        if now.since(since) >= options.defer_ms {
            self.free += self.deferred;
            self.deferred = 0;
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
        let mut from_deferred = 0;
        let mut taken = 0;
        match transfer {
            TokenTransfer::Take(tokens) => taken = tokens,
            TokenTransfer::GiveBack(tokens) => {
                from_deferred = tokens.saturating_sub(self.free).min(self.deferred);
                self.deferred -= from_deferred;
                self.free = self.free.saturating_sub(tokens);
            }
        }
        let idle = self.held().saturating_add(taken);
        let deferred = self.defer(now, idle, clock, options);
        let wanted = deferred.map_or(0, |reserve| reserve.tokens);
        let locked = wanted.saturating_sub(self.deferred + taken).min(self.free);
        self.free -= locked;
        self.deferred += locked;
        let change = LedgerChange {
            number,
            transfer,
            idle,
            deferred,
            started: clock.started,
        };
        self.pending = Some(PendingChange {
            change,
            planned_at: now,
            from_deferred,
            locked,
            is_repeated: false,
        });
        change
    }

    /// Applies the pending change, which is in the ledger.
    pub(super) fn commit_change(&mut self) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        let change = pending.change;
        self.reported_idle = change.idle;
        self.marked_at = pending.planned_at;
        let wanted = change.deferred.map_or(0, |reserve| reserve.tokens);
        if let TokenTransfer::Take(tokens) = change.transfer {
            let deferred = wanted.saturating_sub(self.deferred).min(tokens);
            self.deferred += deferred;
            self.free += tokens - deferred;
        }
        let released = self.deferred.saturating_sub(wanted);
        self.deferred -= released;
        self.free += released;
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

    /// Reverts the pending change, which is not in the ledger and never will be.
    pub(super) fn revert_change(&mut self) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        let unlocked = pending.locked.min(self.deferred);
        self.deferred -= unlocked;
        self.free += unlocked;
        if let TokenTransfer::GiveBack(tokens) = pending.change.transfer {
            self.deferred += pending.from_deferred;
            self.free += tokens - pending.from_deferred;
        }
    }

    /// Determines how many of `idle` tokens to defer: those that calls will not need before they
    /// become usable again.
    fn defer(
        &self,
        now: ClockTime,
        idle: u64,
        clock: ClockBounds,
        options: &EscrowOptions,
    ) -> Option<DeferredReserve> {
        let earliest = clock.earliest?;
        if self.role != EscrowRole::Allocator || self.is_closing || self.is_scarce() {
            return None;
        }
        let demand = self.demand.per_second(now).max(0.0) * options.open_s;
        let open = (demand as u64).max(self.largest_at(now));
        let tokens = idle.saturating_sub(self.awaited()).saturating_sub(open);
        (tokens > 0 && options.defer_ms > 0).then_some(DeferredReserve {
            tokens,
            until: earliest.plus_ms(options.defer_ms),
        })
    }
}
