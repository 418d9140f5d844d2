//! The `manager_ledger` module provides the content and timing of writes to the ledger's shards.
//!
//! Refilling and folding are a single conditional write, which counts durable bills, sets the grant
//! and folds closed journals for all budgets of a shard.

use std::collections::BTreeSet;

use super::accounting_manager::{AccountingManager, ReplyRoute};
use super::accounting_options::AccountingOptions;
use super::budget_account::{BudgetAccount, OpenGrant};
use super::budget_holding::{BudgetHolding, IntentState};
use super::budget_ledger::BudgetLedger;
use super::event_context::EventContext;
use super::fold_scan::FoldScan;
use super::grant_audit::granted_journals;
use super::shard_writer::{ShardStep, ShardWriter};
use crate::platform::PlatformReply;
use crate::prelude::*;
use crate::report::{CounterName, LogLevel};

/// Minimum time between two reads of a shard to adjust a grant without waiting requests, in
/// milliseconds.
const ADJUST_PERIOD_MS: u64 = 500;

/// Minimum time between two reads of a shard for a request that the previous read did not help, in
/// milliseconds.
const RECHECK_MS: u64 = 100;

impl AccountingManager {
    pub(super) fn dispatch_shards(&mut self, context: &mut EventContext<'_>) {
        let mut wanted: BTreeSet<u32> = BTreeSet::new();
        for (budget, holding) in &self.holdings {
            // A failed write leaves the holding with the amount that was requested. Without another
            // read the two would differ until the next request, and tokens to be returned would be
            // missing elsewhere.
            let is_open = holding.is_change_pending || holding.is_removal_pending;
            if is_open || self.wants_ledger(context.now, holding) {
                wanted.insert(BudgetLedger::shard_for(budget, self.options.shard_count));
            }
        }
        wanted.extend(self.jobs.values().flat_map(|job| job.shards()));
        let unresolved = self
            .shards
            .iter()
            .filter(|(_, writer)| writer.is_unresolved());
        wanted.extend(unresolved.map(|(shard, _)| *shard));
        if !self.is_draining() {
            let AccountingOptions {
                shard_count,
                audit_period_ms,
                ..
            } = self.options;
            wanted.extend(self.audit.next_due(context, shard_count, audit_period_ms));
        }
        for shard in wanted {
            let writer = self
                .shards
                .entry(shard)
                .or_insert_with(|| ShardWriter::new(shard));
            if let Some(call) = writer.next_call(context.now) {
                self.issue(context, ReplyRoute::Shard(shard), call);
            }
        }
    }

    /// Whether the ledger must be read, and most likely written, for a budget.
    fn wants_ledger(&self, now: ClockTime, holding: &BudgetHolding) -> bool {
        if self.is_closing() || holding.is_removal_pending {
            return false;
        }
        let is_announced = holding.intent == IntentState::Durable;
        // A request may wait for an earlier one that takes the last tokens. Reading again at once
        // would return the same state and flood the platform with reads.
        let is_checked = holding
            .checked_at
            .is_some_and(|checked| now.since(checked) < RECHECK_MS);
        if holding.waits_for_lookup() && !is_checked {
            return true;
        }
        let waits_for_grant = holding.waits_for_grant() && !is_checked;
        if is_announced && (waits_for_grant || (holding.has_late && !holding.has_grant)) {
            return true;
        }
        let is_full = holding.unfolded.len() * 2 > self.options.max_segment_bills;
        let is_fold_due = holding
            .unfolded_since
            .is_some_and(|since| is_full || now.since(since) >= self.options.fold_period_ms);
        if (is_fold_due && holding.has_grant) || holding.can_remove(self.checkpoint) {
            return true;
        }
        let Some(account) = &holding.account else {
            return false;
        };
        let view = holding.view(now, &self.options);
        let target = view.grant_target(&self.options);
        holding.has_grant
            && is_announced
            && now.since(account.read_at) >= ADJUST_PERIOD_MS
            && view.is_grant_due(target)
    }

    pub(super) fn on_shard_reply(
        &mut self,
        context: &mut EventContext<'_>,
        shard: u32,
        reply: PlatformReply,
    ) {
        let Some(writer) = self.shards.get_mut(&shard) else {
            return;
        };
        match writer.on_reply(context.now, reply) {
            ShardStep::Pending => {}
            ShardStep::Written(ledger) => self.apply_shard(context, shard, &ledger, false),
            ShardStep::Read {
                version,
                ledger,
                is_unresolved,
            } => self.update_shard(context, shard, version, ledger, is_unresolved),
        }
    }

    fn update_shard(
        &mut self,
        context: &mut EventContext<'_>,
        shard: u32,
        version: u64,
        ledger: BudgetLedger,
        is_unresolved: bool,
    ) {
        if self.is_fenced_in(shard, &ledger) {
            self.start_new_journal(context);
        }
        self.audit.finish(shard);
        self.fence_abandoned(context, &ledger);
        self.apply_accounts(context.now, shard, &ledger, is_unresolved);
        // Refuse first: otherwise a grant would be taken for requests that may not use it.
        for budget in self.budgets_of(shard) {
            self.refuse_foreign(context, &budget);
        }
        let mut amended = ledger.clone();
        let is_changed = self.amend_shard(context, shard, &mut amended);
        if !is_changed && !is_unresolved {
            for budget in self.budgets_of(shard) {
                if let Some(holding) = self.holdings.get_mut(&budget)
                    && holding.intent == IntentState::Durable
                {
                    holding.checked_at = Some(context.now);
                }
            }
            return self.apply_shard(context, shard, &ledger, false);
        }
        // An account that allocates more than was paid in would let two holders spend the same
        // tokens, so such a state is never written, whatever caused it.
        if let Err(error) = amended.check_invariant() {
            let fields = vec![("shard", shard.to_string()), ("error", error.to_string())];
            return context.log(LogLevel::Error, "ledger_write_refused", fields);
        }
        self.write_count += 1;
        amended.write_id = format!("{}/{}", self.me, self.write_count);
        if let Some(writer) = self.shards.get_mut(&shard) {
            let call = writer.write(version, amended);
            self.issue(context, ReplyRoute::Shard(shard), call);
        }
    }

    /// Applies a shard's certain state and answers the requests that wait for it.
    fn apply_shard(
        &mut self,
        context: &mut EventContext<'_>,
        shard: u32,
        ledger: &BudgetLedger,
        is_unresolved: bool,
    ) {
        self.apply_accounts(context.now, shard, ledger, is_unresolved);
        for job in self.jobs.values_mut() {
            job.finish_if_folded(shard, ledger);
        }
        for budget in self.budgets_of(shard) {
            self.serve_waiting(context, &budget);
        }
    }

    fn apply_accounts(
        &mut self,
        now: ClockTime,
        shard: u32,
        ledger: &BudgetLedger,
        is_unresolved: bool,
    ) {
        let journal = self.writer.journal().clone();
        for budget in self.budgets_of(shard) {
            let Some(holding) = self.holdings.get_mut(&budget) else {
                continue;
            };
            let account = ledger.budgets.get(&budget);
            holding.apply_account(now, &journal, account, is_unresolved);
        }
        self.drop_unused(now);
    }

    /// Drops budgets of which nothing is held and that no recent request named.
    pub(super) fn drop_unused(&mut self, now: ClockTime) {
        let idle_ms = self.options.idle_return_ms;
        self.holdings.retain(|_, holding| {
            let is_unused = holding.is_dormant()
                && !holding.has_grant
                && !holding.is_removal_pending
                && holding.intent == IntentState::Missing;
            // Names that the ledger does not have are not retained, since callers can make up any
            // number of them.
            let is_unknown = holding.account.is_some() && holding.workspace().is_none();
            !is_unused || (!is_unknown && now.since(holding.requested_at) < idle_ms)
        });
    }

    /// Whether the ledger lists this router's journal as closed.
    fn is_fenced_in(&self, shard: u32, ledger: &BudgetLedger) -> bool {
        if self.is_closing() {
            return false;
        }
        let journal = self.writer.journal();
        self.budgets_of(shard).iter().any(|budget| {
            let account = ledger.budgets.get(budget);
            account.is_some_and(|account| account.closed.contains_key(journal))
        })
    }

    /// Fences journals whose routers no member reports as gone: those of earlier processes on hosts
    /// that run a later one, as after all routers of a domain died together, and those that the
    /// audit finds abandoned. Otherwise their grants would stay open for ever.
    fn fence_abandoned(&mut self, context: &EventContext<'_>, ledger: &BudgetLedger) {
        self.audit.prune_closed(ledger);
        let list_lag_ms = self.options.list_lag_ms;
        for (journal, owner) in granted_journals(ledger) {
            let is_ended = context.is_replaced(&owner)
                || self
                    .audit
                    .is_abandoned(context, &journal, &owner, list_lag_ms);
            if !is_ended {
                continue;
            }
            self.scans
                .entry(owner.clone())
                .or_insert_with(|| FoldScan::new(&owner));
            self.ensure_job(context.now, &journal);
        }
    }

    fn budgets_of(&self, shard: u32) -> Vec<BudgetName> {
        let count = self.options.shard_count;
        self.holdings
            .keys()
            .filter(|budget| BudgetLedger::shard_for(budget, count) == shard)
            .cloned()
            .collect()
    }

    /// Applies all pending changes of this router to a shard; returns whether anything changed.
    fn amend_shard(
        &mut self,
        context: &mut EventContext<'_>,
        shard: u32,
        ledger: &mut BudgetLedger,
    ) -> bool {
        let mut is_changed = false;
        let mut duplicates = 0;
        for job in self.jobs.values() {
            if job.wants_shard(shard) {
                let (is_amended, count) = job.amend(shard, ledger, context.now);
                is_changed |= is_amended;
                duplicates += count;
            }
        }
        if !self.is_closing() {
            for budget in self.budgets_of(shard) {
                let Some(account) = ledger.budgets.get_mut(&budget) else {
                    continue;
                };
                let (is_amended, count) = self.amend_account(context, &budget, account);
                is_changed |= is_amended;
                duplicates += count;
            }
        }
        context.add(CounterName::DuplicateBills, duplicates);
        is_changed
    }

    fn amend_account(
        &mut self,
        context: &mut EventContext<'_>,
        budget: &BudgetName,
        account: &mut BudgetAccount,
    ) -> (bool, u64) {
        let journal = self.writer.journal().clone();
        let next = self.writer.next_number();
        let checkpoint = self.checkpoint;
        let Some(holding) = self.holdings.get_mut(budget) else {
            return (false, 0);
        };
        let mut is_changed = false;
        if !account.grants.contains_key(&journal) {
            let is_wanted = !holding.waiting.is_empty() || holding.has_late;
            if holding.intent != IntentState::Durable || !is_wanted || holding.has_grant {
                return (false, 0);
            }
            let grant = OpenGrant {
                amount: holding.spent,
                folded: holding.spent,
                cursor: holding.named_in,
            };
            holding.is_change_pending = true;
            account.grants.insert(journal.clone(), grant);
            context.count(CounterName::GrantsTaken);
            is_changed = true;
        }
        let mut duplicates = 0;
        if !holding.unfolded.is_empty() || !holding.finals.is_empty() {
            duplicates = account.fold_bills(&journal, &holding.unfolded, next, context.now);
            for (_, closed) in &holding.finals {
                account.finish_closed(closed);
            }
            account.prune(
                context.now,
                self.options.dedup_window_ms,
                self.options.closed_retention_ms,
            );
            is_changed = true;
        }
        if holding.can_remove(checkpoint) && account.try_remove(&journal) {
            holding.is_removal_pending = true;
            context.count(CounterName::GrantsReturned);
            return (true, duplicates);
        }
        let mut view = holding.view_of(context.now, &self.options, &journal, account);
        let Some(grant) = account.grants.get_mut(&journal) else {
            return (is_changed, duplicates);
        };
        view.amount = grant.amount;
        let target = view.grant_target(&self.options);
        if target != grant.amount && (is_changed || view.is_grant_due(target)) {
            grant.amount = target;
            // The write may take effect although its reply is lost, so from now on spending is
            // limited to the smaller of the two amounts.
            holding.amount = holding.amount.min(target);
            holding.is_change_pending = true;
            is_changed = true;
        }
        (is_changed, duplicates)
    }
}
