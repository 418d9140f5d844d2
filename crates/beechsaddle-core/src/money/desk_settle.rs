//! The `desk_settle` module provides how a holder ends the calls that it reserved for.

use super::desk_turn::DeskTurn;
use super::holder_call::BilledCall;
use super::journal_segment::BillRecord;
use super::money_desk::MoneyDesk;
use crate::peer::{PeerMessage, SettleRequest};
use crate::prelude::*;
use crate::report::CounterName;

impl MoneyDesk {
    /// Ends a call that this router reserved for, or takes a bill of a closed journal. `from` is the
    /// call's entry router, or a witness that stands in for it.
    pub(super) fn hold_settle(
        &mut self,
        turn: &mut DeskTurn<'_>,
        from: &RouterIncarnation,
        request: SettleRequest,
    ) {
        let call = request.call.clone();
        let is_known = self.open.contains_key(&call) || self.billed.contains_key(&call);
        if self.is_closing() && !is_known {
            // This router writes no bill any more. Without an answer the entry router goes to the
            // one that is picked next.
            return;
        }
        if *from != self.me {
            let call = call.clone();
            turn.send(from, PeerMessage::SettleReply { call });
        }
        if self.open.contains_key(&call) {
            return self.settle_open(turn, request);
        }
        // A witness that took the entry router for gone bills what it knew. When the router is back
        // and tells more, the call is billed again; the ledger counts the larger of both.
        let tokens = request.tokens.min(request.bound);
        let raised = request.against.is_some();
        let billed = self.billed.get(&call);
        if let Some(billed) = billed.filter(|billed| !raised || billed.tokens >= tokens) {
            if billed.is_durable {
                self.tell_durable_to(turn, from, &call);
            }
            return;
        }
        if self.late.contains_key(&call) {
            return self.raise_late(&request);
        }
        match request.against.clone() {
            Some(journal)
                if request.ran
                    && journal != *self.writer.journal()
                    && !self.closed_calls.contains_key(&call) =>
            {
                self.add_late(turn, journal, bill_of(&request, false));
            }
            // The call is known as neither open nor billed: it was billed and confirmed before, or
            // never reserved. Either way there is nothing left to do for its entry router.
            Some(_) | None => self.tell_durable_to(turn, from, &call),
        }
    }

    fn settle_open(&mut self, turn: &mut DeskTurn<'_>, request: SettleRequest) {
        let Some(open) = self.open.remove(&request.call) else {
            return;
        };
        let call = request.call.clone();
        let whole = request.ran && request.complete;
        self.keys.finish(turn.now, &request.key, &call, whole);
        if request.ran && request.tokens > open.request.bound {
            self.count_over_bound(turn);
        }
        let mut bill = bill_of(&request, false);
        bill.tokens = request.tokens.min(open.request.bound);
        bill.tokens = bill.tokens.max(open.provisional.unwrap_or(0));
        bill.replaces = open.provisional;
        bill.contested = self.is_contested(&call);
        let is_billed = request.ran || open.provisional.is_some();
        if open.journal != *self.writer.journal() {
            // The journal was closed while the call ran.
            if is_billed {
                return self.add_late(turn, open.journal, bill);
            }
            return self.tell_durable(turn, &call);
        }
        let provisional = open.provisional.unwrap_or(0);
        let consumed = bill.tokens - provisional;
        if let Some(holding) = self.holdings.get_mut(&open.request.budget) {
            holding.reserved -= open.request.bound - provisional;
            if request.ran {
                holding.spent += consumed;
                holding.demand.note_usage(turn.now, consumed);
            }
        }
        let is_news = request.ran && (consumed > 0 || open.provisional.is_none());
        if is_news {
            self.add_bill(turn.now, bill);
        } else {
            self.tell_durable(turn, &call);
        }
        let budget = open.request.budget;
        self.serve_waiting(turn, &budget);
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
        self.news.push(bill);
    }

    /// Gives up a reservation that the call's entry router does not use.
    pub(super) fn drop_reservation(
        &mut self,
        turn: &mut DeskTurn<'_>,
        call: &CallId,
        journal: &KeyText,
    ) {
        let is_meant = self
            .open
            .get(call)
            .is_some_and(|open| open.journal == *journal && !open.is_orphaned);
        if !is_meant {
            return;
        }
        let Some(open) = self.open.remove(call) else {
            return;
        };
        self.keys.finish(turn.now, &open.request.key, call, false);
        if open.journal == *self.writer.journal() {
            if let Some(holding) = self.holdings.get_mut(&open.request.budget) {
                holding.reserved -= open.request.bound;
            }
        } else {
            // The entry router may have given this call's bill to a successor, which takes it
            // against the write-off. Stating the final spend now would return those tokens first.
            self.block_final(journal, &open.request.budget);
        }
        let budget = open.request.budget;
        self.serve_waiting(turn, &budget);
    }

    /// Tells the entry router of a call that its copy is not needed any more.
    pub(super) fn tell_durable(&mut self, turn: &mut DeskTurn<'_>, call: &CallId) {
        self.tell_durable_to(turn, &call.router, call);
    }

    fn tell_durable_to(&mut self, turn: &mut DeskTurn<'_>, to: &RouterIncarnation, call: &CallId) {
        if *to == self.me {
            let me = self.me.clone();
            return self.entry_durable(turn, &me, call);
        }
        let calls = vec![call.clone()];
        turn.send(to, PeerMessage::BillsDurable { calls });
    }

    /// Bills what is known of the calls of an entry router that is gone. The rest of their bounds stays reserved:
    /// the targets may have served it.
    pub(super) fn bill_orphans(&mut self, turn: &mut DeskTurn<'_>, gone: &RouterIncarnation) {
        let orphans: Vec<CallId> = self
            .open
            .iter()
            .filter(|(call, open)| call.router == *gone && !open.is_orphaned)
            .map(|(call, _)| call.clone())
            .collect();
        for call in orphans {
            self.bill_orphan(turn, &call);
        }
    }

    fn bill_orphan(&mut self, turn: &mut DeskTurn<'_>, call: &CallId) {
        let Some(open) = self.open.get_mut(call) else {
            return;
        };
        open.is_orphaned = true;
        let key = open.request.key.clone();
        let is_reported = open.tokens > 0;
        self.keys.finish(turn.now, &key, call, false);
        // A call without a sign of use may never have run, and its entry router may live and say so.
        if is_reported {
            self.bill_provisionally(turn, call);
        }
    }

    /// Bills orphans of which no use is known, before the journal is closed: a successor can raise a bill that is
    /// in the journal, and cannot add one that is not.
    pub(super) fn bill_silent_orphans(&mut self, turn: &mut DeskTurn<'_>) {
        let open = self.open.iter();
        let silent = open.filter(|(_, open)| open.is_orphaned && open.provisional.is_none());
        let silent: Vec<CallId> = silent.map(|(call, _)| call.clone()).collect();
        for call in silent {
            self.bill_provisionally(turn, &call);
        }
    }

    fn bill_provisionally(&mut self, turn: &mut DeskTurn<'_>, call: &CallId) {
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
        turn.count(CounterName::OrphansBilled);
        if journal != *self.writer.journal() {
            return self.add_late(turn, journal, bill);
        }
        if let Some(holding) = self.holdings.get_mut(&bill.budget) {
            holding.reserved -= tokens;
            holding.spent += tokens;
        }
        self.news.push(bill);
    }
}

pub(super) fn bill_of(request: &SettleRequest, provisional: bool) -> BillRecord {
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
