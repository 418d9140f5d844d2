//! The `manager_holder` module provides admission to the budgets that this router holds.

use super::accounting_manager::AccountingManager;
use super::budget_holding::{BudgetHolding, WaitingAdmit};
use super::event_context::EventContext;
use super::holder_call::HolderCall;
use super::lookup_table::{LookupOrder, foreign_budget};
use crate::peer::{AdmitRequest, PeerMessage};
use crate::prelude::*;

/// Retry delay for an exhausted budget, in milliseconds. A top-up can be spent once the ledger is
/// read again.
const EXHAUSTED_RETRY_MS: u64 = 1_000;

/// Retry delay while the platform is unreachable, in milliseconds.
const UNREACHABLE_RETRY_MS: u64 = 2_000;

impl AccountingManager {
    /// Reserves for a call, now or once the grant allows it, or refuses it.
    pub(super) fn admit_as_holder(
        &mut self,
        context: &mut EventContext<'_>,
        request: AdmitRequest,
    ) {
        let call = request.call.clone();
        if call.router != self.me && context.is_gone(&call.router) {
            // The entry router died after it sent the request; no router would use or end the
            // reservation.
            return;
        }
        if let Some(open) = self.open.get(&call) {
            let journal = open.journal.clone();
            return self.answer_admit(context, &call, Ok(journal));
        }
        if self.is_waiting(&request) || self.billed.contains_key(&call) {
            return;
        }
        if self.is_draining() {
            let refusal = CallRefusal::not_run(RefusalReason::Draining, Some(0));
            return self.answer_admit(context, &call, Err(refusal));
        }
        let max_reruns = self.options.max_reruns;
        let started = self
            .keys
            .try_start(context.now, &request.key, &call, max_reruns, |router| {
                context.is_silent(router)
            });
        if let Err(refusal) = started {
            return self.answer_admit(context, &call, Err(refusal));
        }
        let order = match self.check_budget(context.now, &request) {
            Ok(order) => order,
            Err(refusal) => return self.refuse(context, &request, refusal),
        };
        let holding = self.holdings.entry(request.budget.clone()).or_default();
        holding.requested_at = context.now;
        holding.demand.record_bound(context.now, request.bound);
        holding.is_unverified |= order == Some(LookupOrder::LookUpFirst);
        if holding.can_reserve(request.bound) && order.is_none() {
            return self.reserve(context, request);
        }
        if let Some(refusal) = self.refusal_at_once(context.now, &request) {
            return self.refuse(context, &request, refusal);
        }
        if let Some(holding) = self.holdings.get_mut(&request.budget) {
            holding.checked_at = None;
            holding.waiting.push_back(WaitingAdmit {
                request,
                since: context.now,
            });
        }
    }

    /// Checks, as far as the ledger was read, that the workspace may use the budget. Returns the
    /// order of lookup and announcement if the budget is not known yet. A budget refused here
    /// leaves no state behind.
    fn check_budget(
        &mut self,
        now: ClockTime,
        request: &AdmitRequest,
    ) -> Result<Option<LookupOrder>, CallRefusal> {
        let holding = self.holdings.get(&request.budget);
        let workspace = &request.key.workspace;
        match holding.and_then(BudgetHolding::workspace) {
            Some(owner) if owner == workspace => Ok(None),
            // A budget never moves to another workspace.
            Some(_) => Err(foreign_budget()),
            None => {
                self.prune_lookups(now);
                let recheck_ms = self.options.recheck_ms;
                let budget = &request.budget;
                let order = self.lookups.try_open(now, workspace, budget, recheck_ms)?;
                Ok(Some(order))
            }
        }
    }

    /// Refuses waiting requests of workspaces to which the ledger does not assign the budget.
    pub(super) fn refuse_foreign(&mut self, context: &mut EventContext<'_>, budget: &BudgetName) {
        let Some(holding) = self.holdings.get_mut(budget) else {
            return;
        };
        let owner = holding.workspace().cloned();
        let is_own = |admit: &WaitingAdmit| owner.as_ref() == Some(&admit.request.key.workspace);
        let waiting = std::mem::take(&mut holding.waiting);
        let (own, foreign): (Vec<_>, Vec<_>) = waiting.into_iter().partition(is_own);
        holding.waiting = own.into();
        for admit in foreign {
            self.refuse_one_foreign(context, &admit.request);
        }
    }

    fn refuse_one_foreign(&mut self, context: &mut EventContext<'_>, request: &AdmitRequest) {
        let workspace = &request.key.workspace;
        self.lookups
            .record_miss(context.now, workspace, &request.budget);
        self.refuse(context, request, foreign_budget());
    }

    /// Drops expired lookups. Open ones are retained while the platform is unreachable: nothing is
    /// looked up then, and dropping them would admit any number of further names.
    fn prune_lookups(&mut self, now: ClockTime) {
        let recheck_ms = self.options.recheck_ms;
        let retains_open = self.is_platform_unreachable(now);
        self.lookups.prune(now, recheck_ms, retains_open);
    }

    pub(super) fn is_platform_unreachable(&self, now: ClockTime) -> bool {
        self.unreachable_since
            .is_some_and(|since| now.since(since) >= self.options.grant_timeout_ms)
    }

    /// Answers all requests waiting for a budget that can be answered now.
    pub(super) fn serve_waiting(&mut self, context: &mut EventContext<'_>, budget: &BudgetName) {
        let Some(holding) = self.holdings.get_mut(budget) else {
            return;
        };
        let waiting = std::mem::take(&mut holding.waiting);
        for admit in waiting {
            self.serve_one(context, budget, admit);
        }
    }

    fn serve_one(
        &mut self,
        context: &mut EventContext<'_>,
        budget: &BudgetName,
        admit: WaitingAdmit,
    ) {
        let Some(holding) = self.holdings.get_mut(budget) else {
            return;
        };
        let bound = admit.request.bound;
        let account = holding.account.as_ref();
        let is_read = account.is_some_and(|account| account.read_at >= admit.since);
        let workspace = &admit.request.key.workspace;
        let is_foreign = holding.workspace() != Some(workspace);
        if is_read && is_foreign {
            return self.refuse_one_foreign(context, &admit.request);
        }
        if !is_foreign {
            self.lookups.close(workspace, budget);
        }
        if holding.can_reserve(bound) && !is_foreign {
            return self.reserve(context, admit.request);
        }
        if is_read && !holding.is_affordable(bound) {
            return self.refuse(context, &admit.request, exhausted());
        }
        if context.now.since(admit.since) >= self.options.grant_timeout_ms {
            return self.refuse(context, &admit.request, unreachable());
        }
        holding.waiting.push_back(admit);
    }

    /// Returns the refusal of a request that needs no ledger read: the platform is unreachable, too
    /// many requests wait, or the ledger was read within the recheck period and had too few tokens.
    fn refusal_at_once(&self, now: ClockTime, request: &AdmitRequest) -> Option<CallRefusal> {
        let holding = self.holdings.get(&request.budget)?;
        if self.is_platform_unreachable(now) || holding.waiting.len() >= self.options.max_waiting {
            return Some(unreachable());
        }
        let account = holding.account.as_ref()?;
        if now.since(account.read_at) >= self.options.recheck_ms {
            return None;
        }
        let is_known = account.workspace.is_some();
        (is_known && !holding.is_affordable(request.bound)).then(exhausted)
    }

    fn reserve(&mut self, context: &mut EventContext<'_>, request: AdmitRequest) {
        let call = request.call.clone();
        let journal = self.writer.journal().clone();
        if let Some(holding) = self.holdings.get_mut(&request.budget) {
            holding.reserved += request.bound;
        }
        let open = HolderCall {
            request,
            journal: journal.clone(),
            tokens: 0,
            last_seen_at: context.now,
            is_orphaned: false,
            provisional: None,
        };
        self.open.insert(call.clone(), open);
        self.answer_admit(context, &call, Ok(journal));
    }

    pub(super) fn refuse(
        &mut self,
        context: &mut EventContext<'_>,
        request: &AdmitRequest,
        refusal: CallRefusal,
    ) {
        self.keys
            .finish(context.now, &request.key, &request.call, false);
        self.answer_admit(context, &request.call, Err(refusal));
    }

    fn answer_admit(
        &mut self,
        context: &mut EventContext<'_>,
        call: &CallId,
        outcome: Result<KeyText, CallRefusal>,
    ) {
        if call.router == self.me {
            let me = self.me.clone();
            return self.on_admit_reply(context, &me, call, outcome);
        }
        let message = PeerMessage::AdmitReply {
            call: call.clone(),
            outcome,
        };
        context.send(&call.router, message);
    }

    fn is_waiting(&self, request: &AdmitRequest) -> bool {
        let holding = self.holdings.get(&request.budget);
        holding.is_some_and(|holding| {
            let mut waiting = holding.waiting.iter();
            waiting.any(|admit| admit.request.call == request.call)
        })
    }

    pub(super) fn cancel_waiting(&mut self, now: ClockTime, call: &CallId) {
        for holding in self.holdings.values_mut() {
            let found = holding
                .waiting
                .iter()
                .position(|admit| admit.request.call == *call);
            if let Some(admit) = found.and_then(|index| holding.waiting.remove(index)) {
                self.keys.finish(now, &admit.request.key, call, false);
            }
        }
    }

    /// Drops waiting requests of a router that is gone. Served later, they would reserve tokens
    /// that no router uses or releases.
    pub(super) fn cancel_gone(&mut self, now: ClockTime, gone: &RouterIncarnation) {
        let waiting = self.holdings.values().flat_map(|holding| &holding.waiting);
        let calls: Vec<CallId> = waiting
            .map(|admit| admit.request.call.clone())
            .filter(|call| call.router == *gone)
            .collect();
        for call in &calls {
            self.cancel_waiting(now, call);
        }
    }

    pub(super) fn record_progress(&mut self, now: ClockTime, call: &CallId, tokens: u64) {
        if let Some(open) = self.open.get_mut(call) {
            open.tokens = open.tokens.max(tokens);
            open.last_seen_at = now;
        }
        if let Some(copy) = self.usage_copies.get_mut(call) {
            copy.settle.tokens = copy.settle.tokens.max(tokens);
        }
    }

    pub(super) fn tick_holder(&mut self, context: &mut EventContext<'_>) {
        let budgets: Vec<BudgetName> = self.holdings.keys().cloned().collect();
        for budget in &budgets {
            if let Some(holding) = self.holdings.get_mut(budget) {
                holding.demand.roll(context.now);
            }
            self.serve_waiting(context, budget);
        }
        self.query_silent_calls(context);
        self.drop_unused(context.now);
        self.prune_lookups(context.now);
        let window_ms = self.options.dedup_window_ms;
        self.keys.prune(context.now, window_ms);
        let now = context.now;
        self.billed
            .retain(|_, billed| !billed.is_durable || now.since(billed.billed_at) <= window_ms);
        self.closed_calls
            .retain(|_, closed_at| now.since(*closed_at) <= window_ms);
    }

    /// Queries calls about which the entry router has long sent nothing. It may have given up
    /// before the admit reply arrived, and nothing else would end the reservation.
    fn query_silent_calls(&mut self, context: &mut EventContext<'_>) {
        let mut silent = Vec::new();
        for (call, open) in &mut self.open {
            let is_silent = context.now.since(open.last_seen_at) >= self.options.silence_ms;
            if is_silent && !open.is_orphaned && call.router != self.me {
                open.last_seen_at = context.now;
                silent.push((call.clone(), open.journal.clone()));
            }
        }
        for (call, journal) in silent {
            self.answer_admit(context, &call, Ok(journal));
        }
    }
}

fn exhausted() -> CallRefusal {
    CallRefusal::not_run(RefusalReason::BudgetExhausted, Some(EXHAUSTED_RETRY_MS))
}

fn unreachable() -> CallRefusal {
    CallRefusal::not_run(RefusalReason::BudgetUnreachable, Some(UNREACHABLE_RETRY_MS))
}
