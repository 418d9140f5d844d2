//! The `deferred_change` module provides how tokens that are not used yet move with the changes of a ledger.
//!
//! What a mark in the ledger says to be deferred stays unused here until another mark has surely taken its place, or
//! until the time has passed that the mark names. Whichever mark is in the ledger when the process dies, the
//! next process on its host gives back no token that was used.

use super::escrow_account::EscrowAccount;
use super::{ClockBounds, DeferredCover, EscrowOptions, EscrowRole, LedgerChange, TokenTransfer};
use crate::clock::ClockTime;

/// A change whose outcome is not known yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingChange {
    /// The change.
    pub(super) change: LedgerChange,
    /// When it was made.
    planned_at: ClockTime,
    /// What it gives back of deferred tokens.
    from_deferred: u64,
    /// What it defers of tokens that were usable before.
    locked: u64,
    /// Whether it was asked for more than once, so that the outcome of an earlier write of it may be unknown.
    is_repeated: bool,
}

impl EscrowAccount {
    /// Tokens that are not promised, deferred ones among them.
    pub(super) fn held(&self) -> u64 {
        self.free.saturating_add(self.deferred)
    }

    /// Lets calls use what was deferred once its time has come: so long after the last change that may be in the
    /// ledger.
    pub(super) fn open_deferred(&mut self, now: ClockTime, options: &EscrowOptions) {
        let pending_at = self.pending.map(|pending| pending.planned_at);
        let since = pending_at.unwrap_or(self.marked_at);
        if now.since(since) >= options.defer_ms {
            self.free += self.deferred;
            self.deferred = 0;
        }
    }

    /// Makes a change. What it gives back, and what it defers, is given up now: it cannot be used while the write is
    /// on its way.
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
        let wanted = deferred.map_or(0, |cover| cover.tokens);
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

    /// The pending change is in the ledger.
    pub(super) fn commit_change(&mut self) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        let change = pending.change;
        self.told = change.idle;
        self.marked_at = pending.planned_at;
        let wanted = change.deferred.map_or(0, |cover| cover.tokens);
        if let TokenTransfer::Take(tokens) = change.transfer {
            let deferred = wanted.saturating_sub(self.deferred).min(tokens);
            self.deferred += deferred;
            self.free += tokens - deferred;
        }
        let opened = self.deferred.saturating_sub(wanted);
        self.deferred -= opened;
        self.free += opened;
    }

    /// The pending change, once more.
    pub(super) fn repeat_change(&mut self) -> Option<LedgerChange> {
        let pending = self.pending.as_mut()?;
        pending.is_repeated = true;
        Some(pending.change)
    }

    /// The last write of the pending change was turned away. If it was the only one, the change never will be done.
    pub(super) fn withdraw_change(&mut self) {
        if self.pending.is_some_and(|pending| !pending.is_repeated) {
            self.revert_change();
        }
    }

    /// The pending change is not in the ledger and never will be.
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

    /// What to defer of `idle` tokens: what calls do not use before it may be used again.
    fn defer(
        &self,
        now: ClockTime,
        idle: u64,
        clock: ClockBounds,
        options: &EscrowOptions,
    ) -> Option<DeferredCover> {
        let earliest = clock.earliest?;
        if self.role != EscrowRole::Keeper || self.is_closing || self.is_scarce() {
            return None;
        }
        let demand = self.demand.per_second(now).max(0.0) * options.open_s;
        let open = (demand as u64).max(self.largest_at(now));
        let tokens = idle.saturating_sub(self.awaited()).saturating_sub(open);
        (tokens > 0 && options.defer_ms > 0).then_some(DeferredCover {
            tokens,
            until: earliest.plus_ms(options.defer_ms),
        })
    }
}
