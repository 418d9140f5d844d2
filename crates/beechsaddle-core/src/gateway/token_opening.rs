//! The `token_opening` module provides when deferred tokens become usable for waiting calls.
//!
//! In an outage of the store, a router knows from its schedule when tokens become usable. A call
//! that they cover soon enough waits for them; any other is refused at once.

use super::escrow_account::EscrowAccount;
use super::token_escrow::TokenEscrow;
use super::{CallUrgency, TokenTransfer};
use crate::clock::ClockTime;
use crate::names::WorkspaceName;

impl TokenEscrow {
    /// Whether calls wait for deferred tokens of a workspace. A new call has to wait behind them:
    /// tokens become usable about as fast as calls arrive, and earlier calls would get none.
    pub fn has_opening_queue(&self, workspace: &WorkspaceName) -> bool {
        let account = self.accounts.get(workspace);
        account.is_some_and(|account| account.deferred > 0 && account.awaited() > 0)
    }

    /// Returns the smallest request that waits for tokens of a workspace.
    pub fn least_awaited(&self, workspace: &WorkspaceName) -> Option<u64> {
        self.accounts.get(workspace)?.least_awaited()
    }

    /// Returns the time until the tokens held here cover all calls that wait for tokens of a
    /// workspace, in milliseconds; `None` if they never do without a transfer.
    pub fn opens_in_ms(&self, now: ClockTime, workspace: &WorkspaceName) -> Option<u64> {
        let account = self.accounts.get(workspace)?;
        let opens_at = account.opens_at(account.awaited())?;
        Some(opens_at.since(now))
    }

    /// Returns the time as [`TokenEscrow::opens_in_ms`] does, for calls that are served before less
    /// urgent ones.
    pub fn urgent_opens_in_ms(
        &self,
        now: ClockTime,
        workspace: &WorkspaceName,
        urgency: CallUrgency,
    ) -> Option<u64> {
        if !self.follows_urgency() {
            return self.opens_in_ms(now, workspace);
        }
        let account = self.accounts.get(workspace)?;
        let opens_at = account.opens_at(account.urgency.awaited_up_to(urgency))?;
        Some(opens_at.since(now))
    }
}

impl EscrowAccount {
    /// Returns the time from which the usable tokens cover those that calls wait for.
    fn opens_at(&self, awaited: u64) -> Option<ClockTime> {
        let spare = self.held().checked_sub(awaited)?;
        self.deferred_within(spare)
    }

    /// Returns the time from which at most `most` tokens have to be deferred, by the same rules as
    /// [`EscrowAccount::required_deferred`].
    fn deferred_within(&self, most: u64) -> Option<ClockTime> {
        let Some(pending) = self.pending else {
            return self.schedule.deferred_within(most);
        };
        let (most_current, most_next) = match pending.change.transfer {
            TokenTransfer::Take(tokens) => (most, most.saturating_add(tokens)),
            TokenTransfer::GiveBack(tokens) => (most.saturating_add(tokens), most),
        };
        let current_at = self.schedule.deferred_within(most_current)?;
        let next_at = pending.schedule.deferred_within(most_next)?;
        Some(current_at.max(next_at))
    }
}
