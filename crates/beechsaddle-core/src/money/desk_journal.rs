//! The `desk_journal` module provides what a router writes into its own journal and when.

use std::collections::BTreeMap;

use super::budget_holding::{BudgetHolding, IntentState};
use super::desk_turn::DeskTurn;
use super::journal_name::journal_name;
use super::journal_segment::{BillRecord, FinalSpend, JournalSegment};
use super::journal_writer::{JournalWriter, WriterOutcome};
use super::late_bill::ClosedLife;
use super::money_desk::{DrainState, MoneyDesk, MoneyWait};
use crate::platform::PlatformReply;
use crate::prelude::*;
use crate::report::{CounterName, LogLevel};

impl MoneyDesk {
    pub(super) fn pump_journal(&mut self, turn: &mut DeskTurn<'_>) {
        if self.writer.is_idle() && self.is_journal_due(turn.now) {
            let segment = self.build_segment(turn.now);
            self.written_at = turn.now;
            self.writer.begin(segment);
        }
        if let Some(call) = self.writer.next_call(turn.now) {
            let journal = self.writer.journal().clone();
            self.issue(turn, MoneyWait::Journal(journal), call);
        }
    }

    pub(super) fn on_journal_reply(
        &mut self,
        turn: &mut DeskTurn<'_>,
        journal: &KeyText,
        reply: PlatformReply,
    ) {
        if *journal != *self.writer.journal() {
            return;
        }
        match self.writer.on_reply(turn.now, reply) {
            WriterOutcome::Pending => {}
            WriterOutcome::Durable {
                number,
                version,
                segment,
            } => {
                self.sweeper.note(number, version);
                self.on_segment(turn, number, &segment);
            }
            WriterOutcome::Fenced => self.start_new_life(turn),
        }
    }

    /// Whether the next segment should be written now: at once when a request waits for it, else
    /// once in a period.
    fn is_journal_due(&self, now: ClockTime) -> bool {
        if self.is_closing() {
            return self.drain == DrainState::Closing;
        }
        let is_period = now.since(self.written_at) >= self.options.journal_period_ms;
        if is_period && !self.news.is_empty() && self.bill_room() > 0 {
            return true;
        }
        self.holdings.values().any(|holding| {
            let is_urgent = holding.wants_intent() || holding.waits_for_mark();
            let view = holding.view(now, &self.options);
            let target = view.mark_target(&self.options);
            let is_mark_due = holding.intent == IntentState::Durable && view.is_mark_due(target);
            let is_marked = target != holding.mark && is_mark_due;
            is_urgent || (is_period && is_marked) || (is_period && !self.ready_finals().is_empty())
        })
    }

    /// How many bills the next segment may hold. While the ledger lags, bills wait: a checkpoint that
    /// carried them all would outgrow the platform's largest object and could never be written.
    fn bill_room(&self) -> usize {
        let unfolded: usize = self
            .holdings
            .values()
            .map(|holding| holding.unfolded.len())
            .sum();
        self.options.max_segment_bills.saturating_sub(unfolded)
    }

    pub(super) fn is_closing(&self) -> bool {
        matches!(
            self.drain,
            DrainState::Closing | DrainState::Folding | DrainState::Drained
        )
    }

    fn build_segment(&mut self, now: ClockTime) -> JournalSegment {
        let number = self.writer.next_number();
        let closed = self.drain == DrainState::Closing;
        let is_checkpoint = number.is_multiple_of(self.options.checkpoint_every) || closed;
        let count = if closed {
            self.news.len()
        } else {
            self.bill_room()
        };
        let rest = self.news.split_off(count.min(self.news.len()));
        self.news_sent = std::mem::replace(&mut self.news, rest);
        let mut marks = BTreeMap::new();
        for (budget, holding) in &mut self.holdings {
            let is_billed = self.news_sent.iter().any(|bill| bill.budget == *budget);
            if is_billed {
                holding.named_in = number;
            }
            let target = if closed {
                holding.committed()
            } else {
                let view = holding.view(now, &self.options);
                let target = view.mark_target(&self.options);
                let is_due = view.is_mark_due(target) || holding.waits_for_mark();
                if is_due { target } else { holding.mark }
            };
            let is_left = closed && holding.has_entry;
            if is_left || holding.is_named(target, is_checkpoint) {
                holding.named_in = number;
                holding.intent = holding.intent.max(IntentState::Sent);
                holding.mark_sent = Some(target);
                marks.insert(budget.clone(), target);
            } else if is_checkpoint {
                // A reader will not learn of this budget any more, so the next grant on it has to
                // be announced again.
                holding.intent = IntentState::Missing;
            }
        }
        let mut finals = self.take_finals();
        let mut carried = Vec::new();
        if is_checkpoint {
            carried = self.carried_bills();
            finals.extend(self.carried_finals());
        }
        JournalSegment {
            write_id: String::new(),
            closed,
            marks,
            bills: self.news_sent.clone(),
            carried,
            finals,
            handed_over: closed && self.open.is_empty(),
        }
    }

    /// Bills that a reader needs and that are only in segments before this checkpoint: those that
    /// the ledger has not counted, and those that another router may still hand to a successor.
    fn carried_bills(&mut self) -> Vec<(u64, BillRecord)> {
        self.trim_unconfirmed();
        let unconfirmed = self.unconfirmed.values();
        let unfolded = self.holdings.values().flat_map(|holding| &holding.unfolded);
        let mut carried: Vec<(u64, BillRecord)> = unconfirmed.chain(unfolded).cloned().collect();
        carried.sort_by(|left, right| {
            let left = (left.0, &left.1.call, left.1.tokens);
            left.cmp(&(right.0, &right.1.call, right.1.tokens))
        });
        carried.dedup();
        carried
    }

    /// Keeps the list of unconfirmed bills within one object's size; the oldest are dropped.
    fn trim_unconfirmed(&mut self) {
        let excess = self
            .unconfirmed
            .len()
            .saturating_sub(self.options.max_segment_bills);
        if excess == 0 {
            return;
        }
        let mut numbers: Vec<u64> = self
            .unconfirmed
            .values()
            .map(|(number, _)| *number)
            .collect();
        numbers.sort_unstable();
        let oldest_kept = numbers[excess];
        self.unconfirmed
            .retain(|_, (number, _)| *number >= oldest_kept);
    }

    fn on_segment(&mut self, turn: &mut DeskTurn<'_>, number: u64, segment: &JournalSegment) {
        if number.is_multiple_of(self.options.checkpoint_every) && !segment.closed {
            self.checkpoint = number;
            let journal = self.writer.journal().clone();
            self.sweeper.sweep_before(&journal, number);
        }
        let mut served = Vec::new();
        for (budget, mark) in &segment.marks {
            if let Some(holding) = self.holdings.get_mut(budget) {
                holding.mark = *mark;
                holding.mark_sent = None;
                if holding.intent == IntentState::Sent {
                    holding.intent = IntentState::Durable;
                }
                served.push(budget.clone());
            }
        }
        self.news_sent.clear();
        for bill in &segment.bills {
            self.on_bill_durable(turn, number, bill);
        }
        for stated in &segment.finals {
            let holding = self.holdings.entry(stated.budget.clone()).or_default();
            holding
                .finals
                .retain(|(_, journal)| *journal != stated.journal);
            holding.finals.push((number, stated.journal.clone()));
            holding.unfolded_since = holding.unfolded_since.or(Some(turn.now));
        }
        if segment.closed {
            self.drain = DrainState::Folding;
            let journal = self.writer.journal().clone();
            self.want_job(turn.now, &journal);
        }
        for budget in served {
            self.serve_waiting(turn, &budget);
        }
    }

    fn on_bill_durable(&mut self, turn: &mut DeskTurn<'_>, number: u64, bill: &BillRecord) {
        let holding = self.holdings.entry(bill.budget.clone()).or_default();
        holding.unfolded.push((number, bill.clone()));
        holding.unfolded_since = holding.unfolded_since.or(Some(turn.now));
        self.unconfirmed
            .insert(bill.call.clone(), (number, bill.clone()));
        if let Some(billed) = self.billed.get_mut(&bill.call) {
            billed.is_durable = true;
            if !bill.provisional {
                let call = bill.call.clone();
                self.tell_durable(turn, &call);
            }
        }
    }

    fn carried_finals(&self) -> Vec<FinalSpend> {
        let mut finals = Vec::new();
        for (budget, holding) in &self.holdings {
            for (_, journal) in &holding.finals {
                finals.push(FinalSpend {
                    journal: journal.clone(),
                    budget: budget.clone(),
                });
            }
        }
        finals
    }

    /// Leaves a journal that another router closed. What was reserved there runs on below a mark
    /// that is counted as spent; nothing more is reserved there, and its bills are taken late.
    pub(super) fn start_new_life(&mut self, turn: &mut DeskTurn<'_>) {
        let closed = self.writer.journal().clone();
        turn.count(CounterName::OwnJournalFenced);
        let fields = vec![("journal", closed.to_string())];
        turn.log(LogLevel::Warning, "own_journal_fenced", fields);
        self.life += 1;
        self.writer = JournalWriter::new(journal_name(&self.me, self.life));
        self.checkpoint = 0;
        self.sweeper.abandon();
        self.unconfirmed.clear();
        let old = std::mem::take(&mut self.holdings);
        let mut life = ClosedLife::default();
        for (budget, holding) in old {
            if holding.has_entry {
                life.budgets.insert(budget.clone());
            }
            let renewed = BudgetHolding::renewed_from(holding);
            self.holdings.insert(budget, renewed);
        }
        self.closed_lives.insert(closed.clone(), life);
        self.want_job(turn.now, &closed);
        let mut unsaved = std::mem::take(&mut self.news_sent);
        unsaved.append(&mut self.news);
        for bill in unsaved {
            self.billed.remove(&bill.call);
            let journal = bill.against.clone().unwrap_or_else(|| closed.clone());
            self.add_late(turn, journal, bill);
        }
        if self.is_closing() {
            self.drain = DrainState::Ending;
        }
    }

    /// Moves a graceful shutdown on: calls end, bills become durable, then the journal is closed
    /// with marks that equal what was spent, so that nothing is written off.
    pub(super) fn pump_drain(&mut self) {
        if self.drain == DrainState::Ending {
            let is_open = self.open.values().any(|open| !open.is_orphaned);
            let is_late = !self.late.is_empty() || !self.ready_finals().is_empty();
            if is_open || is_late || self.has_unbilled_calls() || !self.writer.is_idle() {
                return;
            }
            let has_written = self.writer.next_number() > 0 || !self.news.is_empty();
            self.drain = if has_written {
                DrainState::Closing
            } else {
                DrainState::Drained
            };
        }
        if self.drain == DrainState::Folding {
            let journal = self.writer.journal();
            let is_done = self.jobs.get(journal).is_some_and(|job| job.is_done());
            let is_sent = self
                .tickets
                .values()
                .any(|wait| matches!(wait, MoneyWait::Shard(_)));
            if is_done && !is_sent {
                self.drain = DrainState::Drained;
                self.holdings.clear();
            }
        }
    }
}
