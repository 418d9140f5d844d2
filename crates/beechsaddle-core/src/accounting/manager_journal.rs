//! The `manager_journal` module provides the content and timing of writes to a router's own
//! journal.

use std::collections::BTreeMap;

use super::accounting_manager::{AccountingManager, DrainState, ReplyRoute};
use super::budget_holding::{BudgetHolding, IntentState};
use super::event_context::EventContext;
use super::journal_name::journal_name;
use super::journal_segment::{BillRecord, FinalSpend, JournalSegment};
use super::journal_writer::{JournalWriter, WriterOutcome};
use super::late_bill::FencedJournal;
use crate::platform::PlatformReply;
use crate::prelude::*;
use crate::report::{CounterName, LogLevel};

/// Minimum time between two segments written only for bills without a copy at another router, in
/// milliseconds, so that callers of a router without live peers cannot use up the platform's writes.
const UNCOPIED_PERIOD_MS: u64 = 50;

impl AccountingManager {
    pub(super) fn dispatch_journal(&mut self, context: &mut EventContext<'_>) {
        if self.writer.is_idle() && self.is_journal_due(context.now) {
            let segment = self.build_segment(context.now);
            self.written_at = context.now;
            self.writer.begin(segment);
        }
        if let Some(call) = self.writer.next_call(context.now) {
            let journal = self.writer.journal().clone();
            self.issue(context, ReplyRoute::Journal(journal), call);
        }
    }

    pub(super) fn on_journal_reply(
        &mut self,
        context: &mut EventContext<'_>,
        journal: &KeyText,
        reply: PlatformReply,
    ) {
        if *journal != *self.writer.journal() {
            return;
        }
        match self.writer.on_reply(context.now, reply) {
            WriterOutcome::Pending => {}
            WriterOutcome::Durable {
                number,
                version,
                segment,
            } => {
                self.sweeper.record(number, version);
                self.on_segment(context, number, &segment);
            }
            WriterOutcome::Fenced => self.start_new_journal(context),
        }
    }

    /// Whether the next segment is due: at once if a request waits for it, otherwise once per
    /// period.
    fn is_journal_due(&self, now: ClockTime) -> bool {
        if self.is_closing() {
            return self.drain == DrainState::Closing;
        }
        let is_period_over = now.since(self.written_at) >= self.options.journal_period_ms;
        let is_uncopied_due = self.has_uncopied && now.since(self.written_at) >= UNCOPIED_PERIOD_MS;
        let are_bills_due = is_period_over || is_uncopied_due;
        if are_bills_due && !self.unwritten_bills.is_empty() && self.bill_room() > 0 {
            return true;
        }
        self.holdings.values().any(|holding| {
            let is_urgent = holding.wants_intent() || holding.waits_for_mark();
            let view = holding.view(now, &self.options);
            let target = view.mark_target(&self.options);
            let is_mark_due = holding.intent == IntentState::Durable && view.is_mark_due(target);
            let is_marked = target != holding.mark && is_mark_due;
            is_urgent
                || (is_period_over && is_marked)
                || (is_period_over && !self.ready_finals().is_empty())
        })
    }

    /// Returns how many bills the next segment may hold. Bills wait while the ledger lags: a
    /// checkpoint that carried them all would exceed the platform's largest object and could never
    /// be written.
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
            self.unwritten_bills.len()
        } else {
            self.bill_room()
        };
        let remainder = self
            .unwritten_bills
            .split_off(count.min(self.unwritten_bills.len()));
        self.sent_bills = std::mem::replace(&mut self.unwritten_bills, remainder);
        self.has_uncopied &= !self.unwritten_bills.is_empty();
        let mut marks = BTreeMap::new();
        for (budget, holding) in &mut self.holdings {
            let is_billed = self.sent_bills.iter().any(|bill| bill.budget == *budget);
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
            let is_final_mark = closed && holding.has_grant;
            if is_final_mark || holding.is_named(target, is_checkpoint) {
                holding.named_in = number;
                holding.intent = holding.intent.max(IntentState::Sent);
                holding.mark_sent = Some(target);
                marks.insert(budget.clone(), target);
            } else if is_checkpoint {
                // A reader that starts at this checkpoint will not find the budget, so its next
                // grant must be announced again.
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
            bills: self.sent_bills.clone(),
            carried,
            finals,
            handed_over: closed && self.open.is_empty(),
        }
    }

    /// Returns the bills that a reader needs and that are only in segments before this checkpoint:
    /// those not counted by the ledger, and those that another router may still hand to a
    /// successor.
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

    /// Limits the unconfirmed bills to the size of one object by dropping the oldest.
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
        let oldest_retained = numbers[excess];
        self.unconfirmed
            .retain(|_, (number, _)| *number >= oldest_retained);
    }

    fn on_segment(
        &mut self,
        context: &mut EventContext<'_>,
        number: u64,
        segment: &JournalSegment,
    ) {
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
        self.sent_bills.clear();
        for bill in &segment.bills {
            self.on_bill_durable(context, number, bill);
        }
        for stated in &segment.finals {
            let holding = self.holdings.entry(stated.budget.clone()).or_default();
            holding
                .finals
                .retain(|(_, journal)| *journal != stated.journal);
            holding.finals.push((number, stated.journal.clone()));
            holding.unfolded_since = holding.unfolded_since.or(Some(context.now));
        }
        if segment.closed {
            self.drain = DrainState::Folding;
            let journal = self.writer.journal().clone();
            self.ensure_job(context.now, &journal);
        }
        for budget in served {
            self.serve_waiting(context, &budget);
        }
    }

    fn on_bill_durable(&mut self, context: &mut EventContext<'_>, number: u64, bill: &BillRecord) {
        let holding = self.holdings.entry(bill.budget.clone()).or_default();
        holding.unfolded.push((number, bill.clone()));
        holding.unfolded_since = holding.unfolded_since.or(Some(context.now));
        self.unconfirmed
            .insert(bill.call.clone(), (number, bill.clone()));
        if let Some(billed) = self.billed.get_mut(&bill.call) {
            billed.is_durable = true;
            if !bill.provisional {
                let call = bill.call.clone();
                self.notify_durable(context, &call);
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

    /// Starts a new journal after another router closed the current one. Existing reservations run
    /// on below a mark that counts as spent; the closed journal takes no new ones, and its bills
    /// are taken late.
    pub(super) fn start_new_journal(&mut self, context: &mut EventContext<'_>) {
        let closed = self.writer.journal().clone();
        context.count(CounterName::OwnJournalFenced);
        let fields = vec![("journal", closed.to_string())];
        context.log(LogLevel::Warning, "own_journal_fenced", fields);
        self.journal_number += 1;
        self.writer = JournalWriter::new(journal_name(&self.me, self.journal_number));
        self.checkpoint = 0;
        self.sweeper.reset();
        self.unconfirmed.clear();
        let old = std::mem::take(&mut self.holdings);
        let mut fenced = FencedJournal::default();
        for (budget, holding) in old {
            if holding.has_grant {
                fenced.budgets.insert(budget.clone());
            }
            let renewed = BudgetHolding::renewed_from(holding);
            self.holdings.insert(budget, renewed);
        }
        self.fenced_journals.insert(closed.clone(), fenced);
        self.ensure_job(context.now, &closed);
        let mut unsaved = std::mem::take(&mut self.sent_bills);
        unsaved.append(&mut self.unwritten_bills);
        for bill in unsaved {
            self.billed.remove(&bill.call);
            let journal = bill.against.clone().unwrap_or_else(|| closed.clone());
            self.add_late(context, journal, bill);
        }
        if self.is_closing() {
            self.drain = DrainState::Ending;
        }
    }

    /// Advances a graceful shutdown: calls end, bills become durable, then the journal is closed
    /// with marks equal to the tokens spent, so that nothing is written off.
    pub(super) fn advance_drain(&mut self) {
        if self.drain == DrainState::Ending {
            let is_open = self.open.values().any(|open| !open.is_orphaned);
            let is_late = !self.late.is_empty() || !self.ready_finals().is_empty();
            if is_open || is_late || self.has_unbilled_calls() || !self.writer.is_idle() {
                return;
            }
            let has_written = self.writer.next_number() > 0 || !self.unwritten_bills.is_empty();
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
                .any(|route| matches!(route, ReplyRoute::Shard(_)));
            if is_done && !is_sent {
                self.drain = DrainState::Drained;
                self.holdings.clear();
            }
        }
    }
}
