//! The `desk_late` module provides the way of late bills into the journal, and witnessing.

use std::collections::BTreeSet;

use super::desk_settle::bill_of;
use super::desk_turn::DeskTurn;
use super::journal_name::journal_router;
use super::journal_segment::{BillRecord, FinalSpend};
use super::late_bill::LateBill;
use super::money_desk::MoneyDesk;
use crate::peer::{PeerMessage, SettleRequest, WitnessNote};
use crate::prelude::*;

/// What to do with a late bill now.
enum LateStep {
    Wait,
    AlreadyBilled,
    Write(BillRecord),
}

impl MoneyDesk {
    pub(super) fn add_late(&mut self, turn: &mut DeskTurn<'_>, journal: KeyText, bill: BillRecord) {
        self.notes.remove(&bill.call);
        if let Some(late) = self.late.get_mut(&bill.call) {
            late.bill.tokens = late.bill.tokens.max(bill.tokens);
            late.bill.provisional &= bill.provisional;
            return;
        }
        self.want_job(turn.now, &journal);
        self.late
            .insert(bill.call.clone(), LateBill { journal, bill });
    }

    /// Takes the usage that an entry router tells again for a bill that still waits.
    pub(super) fn raise_late(&mut self, request: &SettleRequest) {
        if let Some(late) = self.late.get_mut(&request.call) {
            let tokens = request.tokens.min(request.bound);
            late.bill.tokens = late.bill.tokens.max(tokens);
            late.bill.provisional = false;
        }
    }

    /// Moves late bills into the next segment once their closed journal is folded, and states final
    /// spends after the last of them.
    pub(super) fn pump_late(&mut self, turn: &mut DeskTurn<'_>) {
        let calls: Vec<CallId> = self.late.keys().cloned().collect();
        for call in calls {
            match self.late_step(turn.now, &call) {
                LateStep::Wait => {}
                LateStep::AlreadyBilled => {
                    self.late.remove(&call);
                    self.tell_durable(turn, &call);
                }
                LateStep::Write(bill) => {
                    self.late.remove(&call);
                    self.add_bill(turn.now, bill);
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
        self.want_job(now, &journal);
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
        let has_entry = holding.is_some_and(|holding| holding.has_entry && !holding.is_leaving);
        if !has_entry || self.is_closing() {
            return LateStep::Wait;
        }
        bill.against = Some(journal);
        LateStep::Write(bill)
    }

    /// Late bills and final spends are folded at the cursor of this router's own grant, which may
    /// be one of nothing.
    fn mark_late_holdings(&mut self) {
        let mut wanted: BTreeSet<BudgetName> = self
            .late
            .values()
            .map(|late| late.bill.budget.clone())
            .collect();
        // A bill on its way into the journal still needs the grant's entry afterwards.
        let news = self.news.iter().chain(&self.news_sent);
        let against = news.filter(|bill| bill.against.is_some());
        wanted.extend(against.map(|bill| bill.budget.clone()));
        for life in self.closed_lives.values() {
            wanted.extend(life.budgets.iter().cloned());
        }
        for (budget, holding) in &mut self.holdings {
            holding.has_late = wanted.remove(budget);
        }
        for budget in wanted {
            self.holdings.entry(budget).or_default().has_late = true;
        }
    }

    /// Takes the final spends that can be stated in the segment that is built now.
    pub(super) fn take_finals(&mut self) -> Vec<FinalSpend> {
        let finals = self.ready_finals();
        for stated in &finals {
            self.block_final(&stated.journal, &stated.budget);
        }
        finals
    }

    /// Final spends of closed journals whose calls have all ended and whose late bills are in an
    /// earlier segment.
    pub(super) fn ready_finals(&self) -> Vec<FinalSpend> {
        if self.closed_lives.is_empty() {
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
        let news = self
            .news
            .iter()
            .filter_map(|bill| bill.against.as_ref().map(|journal| (journal, &bill.budget)));
        let busy: BTreeSet<(&KeyText, &BudgetName)> = open.chain(late).chain(news).collect();
        let mut finals = Vec::new();
        for (journal, life) in &self.closed_lives {
            if !self.jobs.get(journal).is_some_and(|job| job.is_done()) {
                continue;
            }
            for budget in &life.budgets {
                let holding = self.holdings.get(budget);
                let has_entry = holding.is_some_and(|holding| holding.has_entry);
                if has_entry && !busy.contains(&(journal, budget)) {
                    finals.push(FinalSpend {
                        journal: journal.clone(),
                        budget: budget.clone(),
                    });
                }
            }
        }
        finals
    }

    /// States no final spend of a closed journal for a budget, any more or at all.
    pub(super) fn block_final(&mut self, journal: &KeyText, budget: &BudgetName) {
        if let Some(life) = self.closed_lives.get_mut(journal) {
            life.budgets.remove(budget);
        }
        self.closed_lives.retain(|_, life| !life.budgets.is_empty());
    }

    pub(super) fn keep_note(
        &mut self,
        turn: &mut DeskTurn<'_>,
        from: &RouterIncarnation,
        note: WitnessNote,
    ) {
        let call = note.settle.call.clone();
        if self.is_draining() || self.closed_calls.contains_key(&call) {
            return;
        }
        let is_ended = note.ended;
        let is_newer = self
            .notes
            .get(&call)
            .is_none_or(|kept| is_ended || !kept.ended);
        if is_newer {
            self.notes.insert(call.clone(), note);
        }
        if is_ended {
            turn.send(from, PeerMessage::WitnessReply { call });
        }
    }

    /// A bill is durable. At the call's entry router another router says so; at a holder or witness
    /// the entry router confirms that nobody will bill the call again.
    pub(super) fn on_durable(
        &mut self,
        turn: &mut DeskTurn<'_>,
        from: &RouterIncarnation,
        calls: Vec<CallId>,
    ) {
        for call in calls {
            if call.router == self.me {
                self.entry_durable(turn, from, &call);
                continue;
            }
            // A copy of the call may still be on its way to here. Kept after this, it would be billed
            // again when the entry router dies.
            self.closed_calls.insert(call.clone(), turn.now);
            self.notes.remove(&call);
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
            turn.send(from, PeerMessage::WitnessReply { call });
        }
    }

    /// What the copies of a router's calls are good for once it is gone.
    pub(super) fn bill_notes(&mut self, turn: &mut DeskTurn<'_>, gone: &RouterIncarnation) {
        let calls: Vec<CallId> = self
            .notes
            .keys()
            .filter(|call| call.router == *gone)
            .cloned()
            .collect();
        for call in calls {
            let Some(note) = self.notes.remove(&call) else {
                continue;
            };
            let holder = journal_router(&note.journal);
            let has_holder = holder.is_some_and(|holder| !self.scans.contains_key(&holder));
            if !has_holder {
                self.bill_note(turn, note);
            } else if note.ended {
                // The holder may have heard of the usage or not. It is told, and says what it did.
                self.forwards.insert(call, note);
            }
            // A holder bills a call that runs as an orphan by itself.
        }
    }

    fn bill_note(&mut self, turn: &mut DeskTurn<'_>, note: WitnessNote) {
        if note.settle.ran {
            let bill = bill_of(&note.settle, !note.ended);
            self.add_late(turn, note.journal, bill);
        }
    }

    /// Tells holders the usage of ended calls whose entry routers are gone, until they confirm.
    pub(super) fn tick_forwards(&mut self, turn: &mut DeskTurn<'_>) {
        if turn.now.since(self.forwarded_at) < self.options.resend_ms {
            return;
        }
        self.forwarded_at = turn.now;
        for (call, note) in self.forwards.clone() {
            let holder = journal_router(&note.journal);
            match holder.filter(|holder| !self.scans.contains_key(holder)) {
                Some(holder) if holder == self.me => {
                    self.forwards.remove(&call);
                    self.hold_settle(turn, &holder, note.settle);
                }
                Some(holder) => turn.send(&holder, PeerMessage::SettleRequest(note.settle)),
                None => {
                    self.forwards.remove(&call);
                    self.bill_note(turn, note);
                }
            }
        }
    }
}
