//! The `manager_late` module provides late bills, final spends and usage copies of other routers'
//! calls.

use std::collections::BTreeSet;

use super::accounting_manager::AccountingManager;
use super::event_context::EventContext;
use super::journal_name::journal_router;
use super::journal_segment::{BillRecord, FinalSpend};
use super::late_bill::LateBill;
use super::manager_settle::bill_from;
use crate::peer::{PeerMessage, SettleRequest, UsageCopy};
use crate::prelude::*;

/// The next step for a late bill.
enum LateStep {
    Wait,
    AlreadyBilled,
    Write(BillRecord),
}

impl AccountingManager {
    pub(super) fn add_late(
        &mut self,
        context: &mut EventContext<'_>,
        journal: KeyText,
        bill: BillRecord,
    ) {
        self.usage_copies.remove(&bill.call);
        if let Some(late) = self.late.get_mut(&bill.call) {
            late.bill.tokens = late.bill.tokens.max(bill.tokens);
            late.bill.provisional &= bill.provisional;
            return;
        }
        self.ensure_job(context.now, &journal);
        self.late
            .insert(bill.call.clone(), LateBill { journal, bill });
    }

    /// Applies usage that an entry router sends again for a bill that still waits.
    pub(super) fn update_late(&mut self, request: &SettleRequest) {
        if let Some(late) = self.late.get_mut(&request.call) {
            let tokens = request.tokens.min(request.bound);
            late.bill.tokens = late.bill.tokens.max(tokens);
            late.bill.provisional = false;
        }
    }

    /// Moves late bills into the next segment once their closed journal is folded. Final spends are
    /// stated after the last of them.
    pub(super) fn dispatch_late_bills(&mut self, context: &mut EventContext<'_>) {
        let calls: Vec<CallId> = self.late.keys().cloned().collect();
        for call in calls {
            match self.late_step(context.now, &call) {
                LateStep::Wait => {}
                LateStep::AlreadyBilled => {
                    self.late.remove(&call);
                    self.notify_durable(context, &call);
                }
                LateStep::Write(bill) => {
                    self.late.remove(&call);
                    self.add_bill(context.now, bill);
                }
            }
        }
        self.mark_late_holdings();
    }

    fn late_step(&mut self, now: ClockTime, call: &CallId) -> LateStep {
        let Some(late) = self.late.get(call) else {
            return LateStep::Wait;
        };
        let journal = late.journal.clone();
        self.ensure_job(now, &journal);
        let (Some(job), Some(late)) = (self.jobs.get(&journal), self.late.get(call)) else {
            return LateStep::Wait;
        };
        if !job.is_done() {
            return LateStep::Wait;
        }
        let mut bill = late.bill.clone();
        match job.billed(call) {
            Some((_, false)) => return LateStep::AlreadyBilled,
            Some((tokens, true)) if tokens >= bill.tokens => return LateStep::AlreadyBilled,
            Some((tokens, true)) => bill.replaces = Some(tokens),
            None => bill.replaces = None,
        }
        let holding = self.holdings.get(&bill.budget);
        let has_grant =
            holding.is_some_and(|holding| holding.has_grant && !holding.is_removal_pending);
        if !has_grant || self.is_closing() {
            return LateStep::Wait;
        }
        bill.against = Some(journal);
        LateStep::Write(bill)
    }

    /// Marks the budgets that need a grant, if only one of 0 tokens: late bills and final spends
    /// are folded at the cursor of this router's own grant.
    fn mark_late_holdings(&mut self) {
        let mut wanted: BTreeSet<BudgetName> = self
            .late
            .values()
            .map(|late| late.bill.budget.clone())
            .collect();
        // A bill that is being written to the journal needs the grant afterwards.
        let unwritten_bills = self.unwritten_bills.iter().chain(&self.sent_bills);
        let against = unwritten_bills.filter(|bill| bill.against.is_some());
        wanted.extend(against.map(|bill| bill.budget.clone()));
        for fenced in self.fenced_journals.values() {
            wanted.extend(fenced.budgets.iter().cloned());
        }
        for (budget, holding) in &mut self.holdings {
            holding.has_late = wanted.remove(budget);
        }
        for budget in wanted {
            self.holdings.entry(budget).or_default().has_late = true;
        }
    }

    /// Takes the final spends that the next segment can state.
    pub(super) fn take_finals(&mut self) -> Vec<FinalSpend> {
        let finals = self.ready_finals();
        for stated in &finals {
            self.cancel_final(&stated.journal, &stated.budget);
        }
        finals
    }

    /// Returns the final spends of closed journals whose calls have all ended and whose late bills
    /// are in an earlier segment.
    pub(super) fn ready_finals(&self) -> Vec<FinalSpend> {
        if self.fenced_journals.is_empty() {
            return Vec::new();
        }
        let open = self
            .open
            .values()
            .map(|open| (&open.journal, &open.request.budget));
        let late = self
            .late
            .values()
            .map(|late| (&late.journal, &late.bill.budget));
        let unwritten_bills = self
            .unwritten_bills
            .iter()
            .filter_map(|bill| bill.against.as_ref().map(|journal| (journal, &bill.budget)));
        let busy: BTreeSet<(&KeyText, &BudgetName)> =
            open.chain(late).chain(unwritten_bills).collect();
        let mut finals = Vec::new();
        for (journal, fenced) in &self.fenced_journals {
            if !self.jobs.get(journal).is_some_and(|job| job.is_done()) {
                continue;
            }
            for budget in &fenced.budgets {
                let holding = self.holdings.get(budget);
                let has_grant = holding.is_some_and(|holding| holding.has_grant);
                if has_grant && !busy.contains(&(journal, budget)) {
                    finals.push(FinalSpend {
                        journal: journal.clone(),
                        budget: budget.clone(),
                    });
                }
            }
        }
        finals
    }

    /// Removes a budget from a closed journal, so that its final spend is not stated, or not stated
    /// again.
    pub(super) fn cancel_final(&mut self, journal: &KeyText, budget: &BudgetName) {
        if let Some(fenced) = self.fenced_journals.get_mut(journal) {
            fenced.budgets.remove(budget);
        }
        self.fenced_journals
            .retain(|_, fenced| !fenced.budgets.is_empty());
    }

    pub(super) fn store_copy(
        &mut self,
        context: &mut EventContext<'_>,
        from: &RouterIncarnation,
        copy: UsageCopy,
    ) {
        let call = copy.settle.call.clone();
        if self.is_draining() || self.closed_calls.contains_key(&call) {
            return;
        }
        let is_ended = copy.ended;
        let is_newer = self
            .usage_copies
            .get(&call)
            .is_none_or(|stored| is_ended || !stored.ended);
        if is_newer {
            self.usage_copies.insert(call.clone(), copy);
        }
        if is_ended {
            context.send(from, PeerMessage::WitnessReply { call });
        }
    }

    /// Handles a report that bills are durable. The entry router receives it from the router that
    /// wrote the bill; a holder or backup receives it as the entry router's confirmation that no
    /// other router will bill the call.
    pub(super) fn on_durable(
        &mut self,
        context: &mut EventContext<'_>,
        from: &RouterIncarnation,
        calls: Vec<CallId>,
    ) {
        for call in calls {
            if call.router == self.me {
                self.entry_durable(context, from, &call);
                continue;
            }
            // A copy of the call may still be in transit. If stored after this, it would be billed
            // again when the entry router dies.
            self.closed_calls.insert(call.clone(), context.now);
            self.usage_copies.remove(&call);
            self.forwards.remove(&call);
            self.late.remove(&call);
            self.unconfirmed.remove(&call);
            if self
                .billed
                .get(&call)
                .is_some_and(|billed| billed.is_durable)
            {
                self.billed.remove(&call);
            }
            context.send(from, PeerMessage::WitnessReply { call });
        }
    }

    /// Bills or forwards the copies of a router's calls once that router is gone.
    pub(super) fn bill_copies(&mut self, context: &mut EventContext<'_>, gone: &RouterIncarnation) {
        let calls: Vec<CallId> = self
            .usage_copies
            .keys()
            .filter(|call| call.router == *gone)
            .cloned()
            .collect();
        for call in calls {
            let Some(copy) = self.usage_copies.remove(&call) else {
                continue;
            };
            let holder = journal_router(&copy.journal);
            let has_holder = holder.is_some_and(|holder| !self.scans.contains_key(&holder));
            if !has_holder {
                self.bill_copy(context, copy);
            } else if copy.ended {
                // The holder may not have received the usage. It gets the copy and replies what it
                // did.
                self.forwards.insert(call, copy);
            }
            // Running calls are billed by the holder itself, as orphans.
        }
    }

    fn bill_copy(&mut self, context: &mut EventContext<'_>, copy: UsageCopy) {
        if copy.settle.ran {
            let bill = bill_from(&copy.settle, !copy.ended);
            self.add_late(context, copy.journal, bill);
        }
    }

    /// Sends holders the usage of ended calls whose entry routers are gone, until they confirm.
    pub(super) fn tick_forwards(&mut self, context: &mut EventContext<'_>) {
        if context.now.since(self.forwarded_at) < self.options.resend_ms {
            return;
        }
        self.forwarded_at = context.now;
        for (call, copy) in self.forwards.clone() {
            let holder = journal_router(&copy.journal);
            match holder.filter(|holder| !self.scans.contains_key(holder)) {
                Some(holder) if holder == self.me => {
                    self.forwards.remove(&call);
                    self.settle_as_holder(context, &holder, copy.settle);
                }
                Some(holder) => context.send(&holder, PeerMessage::SettleRequest(copy.settle)),
                None => {
                    self.forwards.remove(&call);
                    self.bill_copy(context, copy);
                }
            }
        }
    }
}
