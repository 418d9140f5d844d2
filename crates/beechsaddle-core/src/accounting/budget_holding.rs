//! The `budget_holding` module provides a router's holding of one budget in its open journal.

use std::collections::VecDeque;

use super::accounting_options::AccountingOptions;
use super::budget_account::BudgetAccount;
use super::demand_meter::DemandMeter;
use super::grant_sizing::GrantView;
use super::journal_segment::BillRecord;
use crate::clock::ClockTime;
use crate::names::{BudgetName, KeyText, WorkspaceName};
use crate::peer::AdmitRequest;
use crate::status::GrantStatus;

/// Whether the journal announces a budget, so that a router that fences the journal looks for its
/// grant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum IntentState {
    #[default]
    Missing,
    Sent,
    Durable,
}

/// A request that waits for a grant or a mark.
#[derive(Debug)]
pub(super) struct WaitingAdmit {
    pub(super) request: AdmitRequest,
    pub(super) since: ClockTime,
}

/// The state of the budget at the latest ledger read.
#[derive(Clone, Debug)]
pub(super) struct AccountView {
    pub(super) workspace: Option<WorkspaceName>,
    pub(super) free: u64,
    pub(super) holders: u64,
    pub(super) read_at: ClockTime,
}

/// A router's holding of one budget, in tokens counted from the start of the journal.
#[derive(Debug, Default)]
pub(super) struct BudgetHolding {
    pub(super) intent: IntentState,
    /// Whether the budget must be found in the ledger before the journal announces it.
    pub(super) is_unverified: bool,
    /// Whether the ledger has a grant of the journal, of any amount.
    pub(super) has_grant: bool,
    /// Tokens that are certain to be granted.
    pub(super) amount: u64,
    /// The durable high-water mark.
    pub(super) mark: u64,
    /// The mark in the segment that is being written.
    pub(super) mark_sent: Option<u64>,
    pub(super) spent: u64,
    pub(super) reserved: u64,
    /// Durable bills that the ledger has not counted, by segment number.
    pub(super) unfolded: Vec<(u64, BillRecord)>,
    /// Journals with a durable final spend that the ledger has not counted, by segment number.
    pub(super) finals: Vec<(u64, KeyText)>,
    /// When the oldest entry of `unfolded` and `finals` became durable.
    pub(super) unfolded_since: Option<ClockTime>,
    pub(super) account: Option<AccountView>,
    pub(super) waiting: VecDeque<WaitingAdmit>,
    /// When the ledger was last read and needed no change; cleared by a new request.
    pub(super) checked_at: Option<ClockTime>,
    pub(super) demand: DemandMeter,
    pub(super) requested_at: ClockTime,
    /// Whether late bills of closed journals need a grant to be folded at, even one of 0 tokens.
    pub(super) has_late: bool,
    /// Whether a change of the grant is being written. A checkpoint names the budget until the
    /// outcome is known; otherwise a router that fences the journal would not find a grant whose
    /// write took effect.
    pub(super) is_change_pending: bool,
    /// Whether removal of the grant is being written.
    pub(super) is_removal_pending: bool,
    /// The last segment that names the budget; a later checkpoint leaves it out.
    pub(super) named_in: u64,
}

impl BudgetHolding {
    pub(super) fn committed(&self) -> u64 {
        self.spent + self.reserved
    }

    /// Returns the spending limit: the lowest of the grant, the durable mark and a mark that is
    /// being written, so that spending stays within whichever mark turns out to be durable.
    pub(super) fn limit(&self) -> u64 {
        self.mark
            .min(self.mark_sent.unwrap_or(self.mark))
            .min(self.amount)
    }

    pub(super) fn can_reserve(&self, bound: u64) -> bool {
        self.committed().saturating_add(bound) <= self.limit()
    }

    /// Whether the ledger had enough tokens when last read.
    pub(super) fn is_affordable(&self, bound: u64) -> bool {
        let free = self.account.as_ref().map_or(0, |account| account.free);
        self.committed().saturating_add(bound) <= self.amount.max(self.committed()) + free
    }

    /// Returns the highest mark that may be durable.
    pub(super) fn highest_mark(&self) -> u64 {
        self.mark.max(self.mark_sent.unwrap_or(0))
    }

    /// Returns the sum of the waiting bounds that the budget can cover.
    fn waiting_bounds(&self, free: u64) -> u64 {
        let reachable = (self.amount + free).saturating_sub(self.committed());
        let mut sum = 0_u64;
        for waiting in &self.waiting {
            let next = sum.saturating_add(waiting.request.bound);
            if next <= reachable {
                sum = next;
            }
        }
        sum
    }

    pub(super) fn view(&self, now: ClockTime, options: &AccountingOptions) -> GrantView {
        let (free, holders) = self
            .account
            .as_ref()
            .map_or((0, 1), |account| (account.free, account.holders));
        self.view_with(now, options, free, holders)
    }

    pub(super) fn view_of(
        &self,
        now: ClockTime,
        options: &AccountingOptions,
        journal: &KeyText,
        account: &BudgetAccount,
    ) -> GrantView {
        let others = account.grants.keys().filter(|name| *name != journal);
        self.view_with(now, options, account.free(), others.count() as u64 + 1)
    }

    fn view_with(
        &self,
        now: ClockTime,
        options: &AccountingOptions,
        free: u64,
        holders: u64,
    ) -> GrantView {
        GrantView {
            committed: self.committed(),
            amount: self.amount,
            mark: self.highest_mark(),
            waiting: self.waiting_bounds(free),
            free,
            holders,
            rate: self.demand.rate(),
            bound: self.demand.bound(),
            peak_bound: self.demand.peak_bound(),
            is_idle: now.since(self.requested_at) >= options.idle_return_ms,
        }
    }

    /// Whether nothing of the budget is held, reserved, waiting or to be folded.
    pub(super) fn is_dormant(&self) -> bool {
        self.reserved == 0
            && self.waiting.is_empty()
            && self.unfolded.is_empty()
            && self.finals.is_empty()
            && !self.has_late
            && !self.is_change_pending
            && self.amount == self.spent
            && self.mark == self.spent
            && self.mark_sent.is_none()
    }

    /// Returns the holding for a new journal: nothing is held, but the requests and the demand are
    /// carried over.
    pub(super) fn renewed_from(old: BudgetHolding) -> Self {
        BudgetHolding {
            is_unverified: old.is_unverified,
            waiting: old.waiting,
            demand: old.demand,
            requested_at: old.requested_at,
            ..BudgetHolding::default()
        }
    }

    /// Whether the budget must be announced in the journal before a grant may be taken.
    pub(super) fn wants_intent(&self) -> bool {
        let is_wanted = !self.waiting.is_empty() || (self.has_late && !self.has_grant);
        self.intent == IntentState::Missing
            && !self.is_removal_pending
            && !self.is_unverified
            && is_wanted
    }

    /// Whether a request waits for a ledger read that shows which workspace owns the budget.
    pub(super) fn waits_for_lookup(&self) -> bool {
        let may_read = self.is_unverified || self.intent == IntentState::Durable;
        may_read && self.workspace().is_none() && !self.waiting.is_empty()
    }

    /// Returns the workspace that owns the budget, if the ledger has been read and has it.
    pub(super) fn workspace(&self) -> Option<&WorkspaceName> {
        self.account.as_ref()?.workspace.as_ref()
    }

    /// Whether a waiting request fits the grant and only lacks a durable mark.
    pub(super) fn waits_for_mark(&self) -> bool {
        let is_ready = self.intent == IntentState::Durable && self.mark_sent.is_none();
        is_ready
            && self.waiting.iter().any(|admit| {
                let wanted = self.committed().saturating_add(admit.request.bound);
                wanted <= self.amount && wanted > self.mark
            })
    }

    /// Whether a waiting request exceeds the grant.
    pub(super) fn waits_for_grant(&self) -> bool {
        self.waiting.iter().any(|admit| {
            let wanted = self.committed().saturating_add(admit.request.bound);
            wanted > self.amount
        })
    }

    /// Whether a segment built now must name the budget with `mark`.
    pub(super) fn is_named(&self, mark: u64, is_checkpoint: bool) -> bool {
        if self.is_removal_pending {
            return false;
        }
        let is_announced = self.intent != IntentState::Missing;
        self.wants_intent()
            || (is_announced && mark != self.mark)
            || (is_checkpoint && !self.is_dormant())
    }

    /// Whether the grant can be removed: nothing is held, and no segment that a reader still needs
    /// names the budget, since a reader would count the bills of a named budget again.
    pub(super) fn can_remove(&self, checkpoint: u64) -> bool {
        self.has_grant
            && self.intent == IntentState::Missing
            && self.is_dormant()
            && checkpoint > self.named_in
    }

    /// Applies the state of the ledger. While a write is unresolved, the granted amount only
    /// decreases.
    pub(super) fn apply_account(
        &mut self,
        now: ClockTime,
        journal: &KeyText,
        account: Option<&BudgetAccount>,
        is_unresolved: bool,
    ) {
        let grant = account.and_then(|account| account.grants.get(journal));
        match grant {
            Some(grant) => {
                self.has_grant = true;
                self.amount = if is_unresolved {
                    self.amount.min(grant.amount)
                } else {
                    grant.amount
                };
                self.unfolded.retain(|(number, _)| *number >= grant.cursor);
                self.finals.retain(|(number, _)| *number >= grant.cursor);
                if self.unfolded.is_empty() && self.finals.is_empty() {
                    self.unfolded_since = None;
                }
            }
            None if self.has_grant && self.is_removal_pending => {
                *self = BudgetHolding {
                    intent: IntentState::Missing,
                    named_in: self.named_in,
                    ..BudgetHolding::renewed_from(std::mem::take(self))
                };
            }
            None => {}
        }
        if !is_unresolved {
            self.is_removal_pending = false;
            self.is_change_pending = false;
        }
        let others = account.map_or(0, |account| {
            account
                .grants
                .keys()
                .filter(|name| *name != journal)
                .count()
        });
        // A removed budget belongs to no workspace until it is declared again.
        let declared = account.filter(|account| !account.is_removed);
        if declared.is_some() {
            self.is_unverified = false;
        }
        self.account = Some(AccountView {
            workspace: declared.map(|account| account.workspace.clone()),
            free: account.map_or(0, BudgetAccount::free),
            holders: others as u64 + 1,
            read_at: now,
        });
    }

    pub(super) fn status(&self, budget: &BudgetName) -> GrantStatus {
        GrantStatus {
            budget: budget.clone(),
            granted: self.amount,
            mark: self.mark,
            spent: self.spent,
            reserved: self.reserved,
        }
    }
}
