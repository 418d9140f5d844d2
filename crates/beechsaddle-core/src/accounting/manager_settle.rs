//! The `manager_settle` module provides the end of calls at the holder that reserved for them.

use super::accounting_manager::AccountingManager;
use super::event_context::EventContext;
use super::holder_call::BilledCall;
use super::journal_segment::BillRecord;
use crate::peer::{PeerMessage, SettleRequest};
use crate::prelude::*;
use crate::report::CounterName;

impl AccountingManager {
    /// Ends a call that this router reserved for, or takes a bill of a closed journal. `from` is
    /// the call's entry router, or a backup that stands in for it.
    pub(super) fn settle_as_holder(
        &mut self,
        context: &mut EventContext<'_>,
        from: &RouterIncarnation,
        request: SettleRequest,
    ) {
        let call = request.call.clone();
        let is_known = self.open.contains_key(&call) || self.billed.contains_key(&call);
        if self.is_closing() && !is_known {
            // This router no longer writes bills. Without a reply the entry router resends to the
            // router picked next.
            return;
        }
        if *from != self.me {
            let call = call.clone();
            context.send(from, PeerMessage::SettleReply { call });
        }
        if self.open.contains_key(&call) {
            return self.settle_open(context, request);
        }
        // A backup that took the entry router for gone bills the usage that it has. If the entry
        // router returns and reports more, the call is billed again; the ledger counts the larger
        // bill.
        let tokens = request.tokens.min(request.bound);
        let is_late = request.against.is_some();
        let billed = self.billed.get(&call);
        if let Some(billed) = billed.filter(|billed| !is_late || billed.tokens >= tokens) {
            if billed.is_durable {
                self.notify_durable_to(context, from, &call);
            }
            return;
        }
        if self.late.contains_key(&call) {
            return self.update_late(&request);
        }
        match request.against.clone() {
            Some(journal)
                if request.ran
                    && journal != *self.writer.journal()
                    && !self.closed_calls.contains_key(&call) =>
            {
                self.add_late(context, journal, bill_from(&request, false));
            }
            // The call is neither open nor billed: it was billed and confirmed before, or never
            // reserved. Either way nothing is left to do for its entry router.
            Some(_) | None => self.notify_durable_to(context, from, &call),
        }
    }

    fn settle_open(&mut self, context: &mut EventContext<'_>, request: SettleRequest) {
        let Some(open) = self.open.remove(&request.call) else {
            return;
        };
        let call = request.call.clone();
        let is_complete = request.ran && request.complete;
        self.keys
            .finish(context.now, &request.key, &call, is_complete);
        if request.ran && request.tokens > open.request.bound {
            self.count_over_bound(context);
        }
        let mut bill = bill_from(&request, false);
        bill.tokens = request.tokens.min(open.request.bound);
        bill.tokens = bill.tokens.max(open.provisional.unwrap_or(0));
        bill.replaces = open.provisional;
        bill.contested = self.is_contested(&call);
        let is_billed = request.ran || open.provisional.is_some();
        if open.journal != *self.writer.journal() {
            // The journal was closed while the call was running.
            if is_billed {
                return self.add_late(context, open.journal, bill);
            }
            return self.notify_durable(context, &call);
        }
        let provisional = open.provisional.unwrap_or(0);
        let consumed = bill.tokens - provisional;
        if let Some(holding) = self.holdings.get_mut(&open.request.budget) {
            holding.reserved -= open.request.bound - provisional;
            if request.ran {
                holding.spent += consumed;
                holding.demand.record_usage(context.now, consumed);
            }
        }
        let is_billable = request.ran && (consumed > 0 || open.provisional.is_none());
        if is_billable {
            self.add_bill(context.now, bill);
        } else {
            self.notify_durable(context, &call);
        }
        let budget = open.request.budget;
        self.serve_waiting(context, &budget);
    }

    /// Whether another router was asked before this one reserved for its own call.
    fn is_contested(&self, call: &CallId) -> bool {
        let entry = self.entries.get(call);
        entry.is_some_and(|entry| entry.is_contested)
    }

    /// Queues a bill for the next segment.
    pub(super) fn add_bill(&mut self, now: ClockTime, bill: BillRecord) {
        let billed = BilledCall {
            tokens: bill.tokens,
            is_durable: false,
            billed_at: now,
        };
        self.billed.insert(bill.call.clone(), billed);
        self.unwritten_bills.push(bill);
    }

    /// Releases a reservation that the call's entry router does not use.
    pub(super) fn drop_reservation(
        &mut self,
        context: &mut EventContext<'_>,
        call: &CallId,
        journal: &KeyText,
    ) {
        let is_current = self
            .open
            .get(call)
            .is_some_and(|open| open.journal == *journal && !open.is_orphaned);
        if !is_current {
            return;
        }
        let Some(open) = self.open.remove(call) else {
            return;
        };
        self.keys
            .finish(context.now, &open.request.key, call, false);
        if open.journal == *self.writer.journal() {
            if let Some(holding) = self.holdings.get_mut(&open.request.budget) {
                holding.reserved -= open.request.bound;
            }
        } else {
            // The entry router may have handed this call's bill to a successor, which takes it
            // against the write-off. Stating the final spend now would release those tokens first.
            self.cancel_final(journal, &open.request.budget);
        }
        let budget = open.request.budget;
        self.serve_waiting(context, &budget);
    }

    /// Notifies the entry router of a call that its copy is no longer needed.
    pub(super) fn notify_durable(&mut self, context: &mut EventContext<'_>, call: &CallId) {
        self.notify_durable_to(context, &call.router, call);
    }

    fn notify_durable_to(
        &mut self,
        context: &mut EventContext<'_>,
        to: &RouterIncarnation,
        call: &CallId,
    ) {
        if *to == self.me {
            let me = self.me.clone();
            return self.entry_durable(context, &me, call);
        }
        let calls = vec![call.clone()];
        context.send(to, PeerMessage::BillsDurable { calls });
    }

    /// Bills the known usage of calls whose entry router is gone. The remainder of each bound stays
    /// reserved, since targets may have served it.
    pub(super) fn bill_orphans(
        &mut self,
        context: &mut EventContext<'_>,
        gone: &RouterIncarnation,
    ) {
        let orphans: Vec<CallId> = self
            .open
            .iter()
            .filter(|(call, open)| call.router == *gone && !open.is_orphaned)
            .map(|(call, _)| call.clone())
            .collect();
        for call in orphans {
            self.bill_orphan(context, &call);
        }
    }

    fn bill_orphan(&mut self, context: &mut EventContext<'_>, call: &CallId) {
        let Some(open) = self.open.get_mut(call) else {
            return;
        };
        open.is_orphaned = true;
        let key = open.request.key.clone();
        let is_reported = open.tokens > 0;
        self.keys.finish(context.now, &key, call, false);
        // A call without reported usage may never have run, and its entry router may be alive and
        // report so.
        if is_reported {
            self.bill_provisionally(context, call);
        }
    }

    /// Bills orphans without known usage before the journal is closed: a successor can raise a bill
    /// that is in the journal but cannot add a missing one.
    pub(super) fn bill_silent_orphans(&mut self, context: &mut EventContext<'_>) {
        let open = self.open.iter();
        let silent = open.filter(|(_, open)| open.is_orphaned && open.provisional.is_none());
        let silent: Vec<CallId> = silent.map(|(call, _)| call.clone()).collect();
        for call in silent {
            self.bill_provisionally(context, &call);
        }
    }

    fn bill_provisionally(&mut self, context: &mut EventContext<'_>, call: &CallId) {
        let Some(open) = self.open.get_mut(call) else {
            return;
        };
        let tokens = open.tokens.min(open.request.bound);
        open.provisional = Some(tokens);
        let journal = open.journal.clone();
        let bill = BillRecord {
            call: call.clone(),
            key: open.request.key.clone(),
            budget: open.request.budget.clone(),
            tokens,
            replaces: None,
            provisional: true,
            contested: false,
            against: None,
        };
        context.count(CounterName::OrphansBilled);
        if journal != *self.writer.journal() {
            return self.add_late(context, journal, bill);
        }
        if let Some(holding) = self.holdings.get_mut(&bill.budget) {
            holding.reserved -= tokens;
            holding.spent += tokens;
        }
        self.unwritten_bills.push(bill);
    }
}

pub(super) fn bill_from(request: &SettleRequest, provisional: bool) -> BillRecord {
    BillRecord {
        call: request.call.clone(),
        key: request.key.clone(),
        budget: request.budget.clone(),
        tokens: request.tokens.min(request.bound),
        replaces: None,
        provisional,
        contested: false,
        against: None,
    }
}
