//! The `fold_job` module provides fencing and folding of another router's journal.

use std::collections::{BTreeMap, BTreeSet};

use super::accounting_options::AccountingOptions;
use super::budget_ledger::BudgetLedger;
use super::journal_name::{journal_prefix, last_checkpoint, read_segment_key, segment_key};
use super::journal_segment::{BillRecord, FinalSpend, JournalSegment};
use super::journal_writer::RETRY_MS;
use crate::clock::ClockTime;
use crate::names::{BudgetName, CallId, KeyText, ObjectKey};
use crate::objects::PlatformObject;
use crate::platform::{PlatformCall, PlatformReply, WriteGuard};

/// Delay before a job that may not close a journal looks again, in milliseconds.
const OPEN_RECHECK_MS: u64 = 2_000;

/// Maximum number of keys that the platform returns for one list call.
const LIST_PAGE: usize = 1_000;

/// Closes a journal, reads it, and selects the ledger shards that it affects.
#[derive(Debug)]
pub(super) struct FoldJob {
    journal: KeyText,
    may_close: bool,
    write_id: String,
    step: FoldStep,
    is_sent: bool,
    retry_at: ClockTime,
    has_closed: bool,
    is_handed_over: bool,
    seen: BTreeSet<(u64, CallId, u64, bool)>,
    marks: BTreeMap<BudgetName, u64>,
    bills: BTreeMap<BudgetName, Vec<(u64, BillRecord)>>,
    finals: BTreeSet<FinalSpend>,
    calls: BTreeMap<CallId, (u64, bool)>,
    shards: BTreeSet<u32>,
    shard_count: u32,
    checkpoint_every: u64,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum FoldStep {
    List {
        after: Option<ObjectKey>,
        last: Option<u64>,
    },
    ReadLast {
        number: u64,
    },
    Close {
        number: u64,
    },
    ReadRange {
        number: u64,
        closed: u64,
    },
    Fold,
}

impl FoldJob {
    pub(super) fn new(
        journal: KeyText,
        may_close: bool,
        write_id: String,
        options: &AccountingOptions,
    ) -> Self {
        FoldJob {
            journal,
            may_close,
            write_id,
            step: FoldStep::List {
                after: None,
                last: None,
            },
            is_sent: false,
            retry_at: ClockTime::ZERO,
            has_closed: false,
            is_handed_over: false,
            seen: BTreeSet::new(),
            marks: BTreeMap::new(),
            bills: BTreeMap::new(),
            finals: BTreeSet::new(),
            calls: BTreeMap::new(),
            shards: BTreeSet::new(),
            shard_count: options.shard_count,
            checkpoint_every: options.checkpoint_every,
        }
    }

    /// Allows the job to close the journal; its router is known to be gone.
    pub(super) fn allow_close(&mut self) {
        if !self.may_close {
            self.may_close = true;
            self.retry_at = ClockTime::ZERO;
        }
    }

    /// Whether this job wrote the closing segment.
    pub(super) fn has_closed(&self) -> bool {
        self.has_closed
    }

    /// Whether the journal is closed and read.
    pub(super) fn is_read(&self) -> bool {
        self.step == FoldStep::Fold
    }

    /// Whether the journal is folded into every affected shard.
    pub(super) fn is_done(&self) -> bool {
        self.is_read() && self.shards.is_empty()
    }

    /// Whether the journal still has to be folded into a shard.
    pub(super) fn wants_shard(&self, shard: u32) -> bool {
        self.is_read() && self.shards.contains(&shard)
    }

    /// Returns the shards into which the journal still has to be folded.
    pub(super) fn shards(&self) -> impl Iterator<Item = u32> {
        let is_read = self.is_read();
        self.shards.iter().copied().filter(move |_| is_read)
    }

    /// Returns the tokens that the journal bills for a call, and whether that bill is provisional.
    pub(super) fn billed(&self, call: &CallId) -> Option<(u64, bool)> {
        self.calls.get(call).copied()
    }

    /// Returns the platform call that is due, if any.
    pub(super) fn next_call(&mut self, now: ClockTime) -> Option<PlatformCall> {
        if self.is_sent || now < self.retry_at {
            return None;
        }
        let call = match &self.step {
            FoldStep::List { after, .. } => PlatformCall::List {
                prefix: journal_prefix(&self.journal),
                after: after.clone(),
            },
            FoldStep::ReadLast { number } | FoldStep::ReadRange { number, .. } => {
                PlatformCall::Read {
                    key: segment_key(&self.journal, *number),
                }
            }
            FoldStep::Close { number } => PlatformCall::Write {
                key: segment_key(&self.journal, *number),
                object: Box::new(PlatformObject::Segment(JournalSegment {
                    write_id: self.write_id.clone(),
                    closed: true,
                    ..JournalSegment::default()
                })),
                guard: WriteGuard::Absent,
            },
            FoldStep::Fold => return None,
        };
        self.is_sent = true;
        Some(call)
    }

    /// Handles the reply to the call that was sent.
    pub(super) fn on_reply(&mut self, now: ClockTime, reply: PlatformReply) {
        self.is_sent = false;
        match (self.step.clone(), reply) {
            (FoldStep::List { last, .. }, PlatformReply::Listed { objects, .. }) => {
                let newest = objects.last().map(|object| object.key.clone());
                let number = newest.as_ref().and_then(read_segment_key);
                let last = number.map(|(_, number)| number).or(last);
                if objects.len() >= LIST_PAGE {
                    self.step = FoldStep::List {
                        after: newest,
                        last,
                    };
                } else {
                    self.on_last(now, last);
                }
            }
            (FoldStep::ReadLast { number }, PlatformReply::Found(found)) => {
                let Some(PlatformObject::Segment(segment)) = found.object.as_deref() else {
                    return self.relist(now, OPEN_RECHECK_MS);
                };
                if segment.closed {
                    self.read_range(number);
                } else if self.may_close {
                    self.step = FoldStep::Close { number: number + 1 };
                } else {
                    self.relist(now, OPEN_RECHECK_MS);
                }
            }
            (FoldStep::Close { number }, PlatformReply::Written { .. }) => {
                self.has_closed = true;
                self.read_range(number);
            }
            // Another segment took the number: the owner's, which is alive after all, or another
            // router's fence. Listing again shows which.
            (FoldStep::Close { .. }, PlatformReply::Conflict) => self.relist(now, 0),
            (FoldStep::ReadRange { number, closed }, PlatformReply::Found(found)) => {
                let Some(PlatformObject::Segment(segment)) = found.object.as_deref() else {
                    self.retry_at = now.plus_ms(OPEN_RECHECK_MS);
                    return;
                };
                self.absorb(number, segment);
                if number == closed {
                    self.finish_reading();
                } else {
                    let number = number + 1;
                    self.step = FoldStep::ReadRange { number, closed };
                }
            }
            (_, PlatformReply::Throttled { retry_after_ms }) => {
                self.retry_at = now.plus_ms(retry_after_ms);
            }
            // A close whose reply was lost is found by listing again, as is any other fence.
            (FoldStep::Close { .. } | FoldStep::ReadLast { .. }, _) => self.relist(now, RETRY_MS),
            (_, _) => self.retry_at = now.plus_ms(RETRY_MS),
        }
    }

    /// Folds the journal into a shard. Returns whether the shard must be written, and the number of
    /// duplicate bills.
    pub(super) fn amend(
        &self,
        shard: u32,
        ledger: &mut BudgetLedger,
        now: ClockTime,
    ) -> (bool, u64) {
        let mut is_changed = false;
        let mut duplicates = 0;
        for (budget, account) in &mut ledger.budgets {
            if !self.concerns(budget, shard) {
                continue;
            }
            let before = (account.grants.len(), account.closed.len());
            let mark = self.marks.get(budget).copied().unwrap_or(0);
            let bills = self.bills.get(budget).map_or(&[][..], Vec::as_slice);
            let is_open = account.grants.contains_key(&self.journal);
            duplicates += account.fold_bills(&self.journal, bills, u64::MAX, now);
            if is_open {
                for entry in self.finals.iter().filter(|entry| entry.budget == *budget) {
                    account.finish_closed(&entry.journal);
                }
            }
            account.close_grant(&self.journal, mark, self.is_handed_over, now);
            is_changed |= before != (account.grants.len(), account.closed.len());
        }
        (is_changed, duplicates)
    }

    /// Marks a shard as done once its ledger shows that the journal is folded.
    pub(super) fn finish_if_folded(&mut self, shard: u32, ledger: &BudgetLedger) {
        if !self.wants_shard(shard) {
            return;
        }
        let is_open = ledger.budgets.iter().any(|(budget, account)| {
            let is_granted = account.grants.contains_key(&self.journal);
            let is_known = self.is_handed_over || account.closed.contains_key(&self.journal);
            self.concerns(budget, shard) && (is_granted || !is_known)
        });
        if !is_open {
            self.shards.remove(&shard);
        }
    }

    fn concerns(&self, budget: &BudgetName, shard: u32) -> bool {
        let is_named = self.marks.contains_key(budget) || self.bills.contains_key(budget);
        is_named && BudgetLedger::shard_for(budget, self.shard_count) == shard
    }

    fn on_last(&mut self, now: ClockTime, last: Option<u64>) {
        match last {
            Some(number) => self.step = FoldStep::ReadLast { number },
            None if self.may_close => self.step = FoldStep::Close { number: 0 },
            None => self.relist(now, OPEN_RECHECK_MS),
        }
    }

    fn relist(&mut self, now: ClockTime, pause_ms: u64) {
        self.retry_at = now.plus_ms(pause_ms);
        self.step = FoldStep::List {
            after: None,
            last: None,
        };
    }

    fn read_range(&mut self, closed: u64) {
        let number = last_checkpoint(closed, self.checkpoint_every);
        self.step = FoldStep::ReadRange { number, closed };
    }

    fn absorb(&mut self, number: u64, segment: &JournalSegment) {
        // A checkpoint names every budget that still has a grant. Budgets missing from it were
        // returned to the ledger before.
        if number.is_multiple_of(self.checkpoint_every) && !segment.closed {
            self.marks.clear();
        }
        for (budget, mark) in &segment.marks {
            self.marks.insert(budget.clone(), *mark);
        }
        let carried = segment.carried.iter().cloned();
        let own = segment.bills.iter().map(|bill| (number, bill.clone()));
        for (number, bill) in carried.chain(own) {
            // A closing segment carries bills too, some of which were already read from their own
            // segments or from the checkpoint.
            let name = (number, bill.call.clone(), bill.tokens, bill.provisional);
            if !self.seen.insert(name) {
                continue;
            }
            let call = bill.call.clone();
            self.calls.insert(call, (bill.tokens, bill.provisional));
            self.bills
                .entry(bill.budget.clone())
                .or_default()
                .push((number, bill));
        }
        self.finals.extend(segment.finals.iter().cloned());
        self.is_handed_over |= segment.handed_over;
    }

    fn finish_reading(&mut self) {
        let budgets = self.marks.keys().chain(self.bills.keys());
        self.shards = budgets
            .map(|budget| BudgetLedger::shard_for(budget, self.shard_count))
            .collect();
        self.step = FoldStep::Fold;
    }
}
