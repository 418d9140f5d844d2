//! The `budget_holding` module provides what a router holds of one budget in its open journal.

use std::collections::VecDeque;

use super::budget_account::BudgetAccount;
use super::demand_meter::DemandMeter;
use super::grant_sizing::GrantView;
use super::journal_segment::BillRecord;
use super::money_options::MoneyOptions;
use crate::clock::ClockTime;
use crate::names::{BudgetName, KeyText, WorkspaceName};
use crate::peer::AdmitRequest;
use crate::status::GrantStatus;

/// Whether the journal announces a budget, so that whoever fences it looks for a grant there.
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

/// What the ledger said of the budget when it was last read.
#[derive(Clone, Debug)]
pub(super) struct AccountView {
    pub(super) workspace: Option<WorkspaceName>,
    pub(super) free: u64,
    pub(super) holders: u64,
    pub(super) read_at: ClockTime,
}

/// What a router holds of one budget, in tokens counted over the journal's whole life.
#[derive(Debug, Default)]
pub(super) struct BudgetHolding {
    pub(super) intent: IntentState,
    /// Whether the ledger has to name the budget before the journal does.
    pub(super) is_unproved: bool,
    /// Whether the ledger has a grant of the journal, whatever its amount.
    pub(super) has_entry: bool,
    /// Granted for certain.
    pub(super) amount: u64,
    /// The durable mark.
    pub(super) mark: u64,
    /// The mark of a segment that is being written.
    pub(super) mark_sent: Option<u64>,
    pub(super) spent: u64,
    pub(super) reserved: u64,
    /// Durable bills that the ledger has not counted, by segment.
    pub(super) unfolded: Vec<(u64, BillRecord)>,
    /// Durable statements of final spends that the ledger has not counted, by segment.
    pub(super) finals: Vec<(u64, KeyText)>,
    /// When the oldest of both became durable.
    pub(super) unfolded_since: Option<ClockTime>,
    pub(super) account: Option<AccountView>,
    pub(super) waiting: VecDeque<WaitingAdmit>,
    /// When the ledger was read last without anything to change; cleared by a new request.
    pub(super) checked_at: Option<ClockTime>,
    pub(super) demand: DemandMeter,
    pub(super) asked_at: ClockTime,
    /// Late bills of closed journals wait for the grant's entry, even of nothing.
    pub(super) has_late: bool,
    /// A change of the grant is being written; until its outcome is known, a checkpoint has to name
    /// the budget. Left out, a grant that is made after all would be found by nobody at a fence.
    pub(super) is_in_doubt: bool,
    /// The removal of the grant's entry is being written.
    pub(super) is_leaving: bool,
    /// The last segment that names the budget; a checkpoint after it leaves the budget out.
    pub(super) named_in: u64,
}

impl BudgetHolding {
    pub(super) fn committed(&self) -> u64 {
        self.spent + self.reserved
    }

    /// How far spending may go: only as far as a mark that is known to be durable, and below a
    /// lower one that is on its way.
    pub(super) fn limit(&self) -> u64 {
        self.mark
            .min(self.mark_sent.unwrap_or(self.mark))
            .min(self.amount)
    }

    pub(super) fn can_reserve(&self, bound: u64) -> bool {
        self.committed().saturating_add(bound) <= self.limit()
    }

    /// Whether the ledger, when last read, had the tokens.
    pub(super) fn could_have(&self, bound: u64) -> bool {
        let free = self.account.as_ref().map_or(0, |account| account.free);
        self.committed().saturating_add(bound) <= self.amount.max(self.committed()) + free
    }

    /// The highest mark that may be durable.
    pub(super) fn highest_mark(&self) -> u64 {
        self.mark.max(self.mark_sent.unwrap_or(0))
    }

    /// The sum of the waiting bounds that could be had.
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

    pub(super) fn view(&self, now: ClockTime, options: &MoneyOptions) -> GrantView {
        let (free, holders) = self
            .account
            .as_ref()
            .map_or((0, 1), |account| (account.free, account.holders));
        self.view_with(now, options, free, holders)
    }

    pub(super) fn view_of(
        &self,
        now: ClockTime,
        options: &MoneyOptions,
        journal: &KeyText,
        account: &BudgetAccount,
    ) -> GrantView {
        let others = account.grants.keys().filter(|name| *name != journal);
        self.view_with(now, options, account.free(), others.count() as u64 + 1)
    }

    fn view_with(
        &self,
        now: ClockTime,
        options: &MoneyOptions,
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
            lasting_bound: self.demand.lasting_bound(),
            is_idle: now.since(self.asked_at) >= options.idle_return_ms,
        }
    }

    /// Whether nothing of the budget is held, reserved, waiting or to be folded.
    pub(super) fn is_dormant(&self) -> bool {
        self.reserved == 0
            && self.waiting.is_empty()
            && self.unfolded.is_empty()
            && self.finals.is_empty()
            && !self.has_late
            && !self.is_in_doubt
            && self.amount == self.spent
            && self.mark == self.spent
            && self.mark_sent.is_none()
    }

    /// The holding that takes this one's place in a new journal: nothing of the budget is held, but
    /// the requests and the demand are the same.
    pub(super) fn renewed_from(old: BudgetHolding) -> Self {
        BudgetHolding {
            is_unproved: old.is_unproved,
            waiting: old.waiting,
            demand: old.demand,
            asked_at: old.asked_at,
            ..BudgetHolding::default()
        }
    }

    /// Whether the budget has to be announced in the journal before a grant may be taken.
    pub(super) fn wants_intent(&self) -> bool {
        let is_wanted = !self.waiting.is_empty() || (self.has_late && !self.has_entry);
        self.intent == IntentState::Missing && !self.is_leaving && !self.is_unproved && is_wanted
    }

    /// Whether a request waits for the ledger to tell whose the budget is.
    pub(super) fn waits_for_proof(&self) -> bool {
        let may_read = self.is_unproved || self.intent == IntentState::Durable;
        may_read && self.workspace().is_none() && !self.waiting.is_empty()
    }

    /// Whose budget it is, if the ledger has been read and has it.
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

    /// Whether a waiting request does not fit the grant.
    pub(super) fn waits_for_grant(&self) -> bool {
        self.waiting.iter().any(|admit| {
            let wanted = self.committed().saturating_add(admit.request.bound);
            wanted > self.amount
        })
    }

    /// Whether a segment that is built now has to name the budget with `mark`.
    pub(super) fn is_named(&self, mark: u64, is_checkpoint: bool) -> bool {
        if self.is_leaving {
            return false;
        }
        let is_announced = self.intent != IntentState::Missing;
        self.wants_intent()
            || (is_announced && mark != self.mark)
            || (is_checkpoint && !self.is_dormant())
    }

    /// Whether the grant's entry can be removed: nothing is held, and no segment that a reader
    /// still needs names the budget. Were one to name it, a reader could count its bills again.
    pub(super) fn can_leave(&self, checkpoint: u64) -> bool {
        self.has_entry
            && self.intent == IntentState::Missing
            && self.is_dormant()
            && checkpoint > self.named_in
    }

    /// Takes over what the ledger says. While a write is unresolved, the amount only falls.
    pub(super) fn adopt(
        &mut self,
        now: ClockTime,
        journal: &KeyText,
        account: Option<&BudgetAccount>,
        is_unresolved: bool,
    ) {
        let grant = account.and_then(|account| account.grants.get(journal));
        match grant {
            Some(grant) => {
                self.has_entry = true;
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
            None if self.has_entry && self.is_leaving => {
                *self = BudgetHolding {
                    intent: IntentState::Missing,
                    named_in: self.named_in,
                    ..BudgetHolding::renewed_from(std::mem::take(self))
                };
            }
            None => {}
        }
        if !is_unresolved {
            self.is_leaving = false;
            self.is_in_doubt = false;
        }
        let others = account.map_or(0, |account| {
            account
                .grants
                .keys()
                .filter(|name| *name != journal)
                .count()
        });
        // A removed budget can be declared again, but meanwhile it is nobody's.
        let declared = account.filter(|account| !account.is_removed);
        if declared.is_some() {
            self.is_unproved = false;
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
