//! The `desk_holder` module provides what a router does for the budgets that it holds.

use super::budget_holding::{BudgetHolding, WaitingAdmit};
use super::desk_turn::DeskTurn;
use super::holder_call::HolderCall;
use super::lookup_book::{LookupOrder, foreign};
use super::money_desk::MoneyDesk;
use crate::peer::{AdmitRequest, PeerMessage};
use crate::prelude::*;

/// When a caller should ask again for a budget that ran out, in milliseconds. A top-up is spendable
/// once the ledger is read again.
const EXHAUSTED_RETRY_MS: u64 = 1_000;

/// When a caller should ask again while the platform is away, in milliseconds.
const UNREACHABLE_RETRY_MS: u64 = 2_000;

impl MoneyDesk {
    /// Reserves for a call, now or when the grant allows it, or refuses it.
    pub(super) fn hold_call(&mut self, turn: &mut DeskTurn<'_>, request: AdmitRequest) {
        let call = request.call.clone();
        if call.router != self.me && turn.is_gone(&call.router) {
            // Its entry router died after it asked. Nobody would use the reservation or end it.
            return;
        }
        if let Some(open) = self.open.get(&call) {
            let journal = open.journal.clone();
            return self.answer_admit(turn, &call, Ok(journal));
        }
        if self.is_waiting(&request) || self.billed.contains_key(&call) {
            return;
        }
        if self.is_draining() {
            let refusal = CallRefusal::not_run(RefusalReason::Draining, Some(0));
            return self.answer_admit(turn, &call, Err(refusal));
        }
        let max_reruns = self.options.max_reruns;
        let started = self
            .keys
            .try_start(turn.now, &request.key, &call, max_reruns, |router| {
                turn.is_silent(router)
            });
        if let Err(refusal) = started {
            return self.answer_admit(turn, &call, Err(refusal));
        }
        let order = match self.check_budget(turn.now, &request) {
            Ok(order) => order,
            Err(refusal) => return self.refuse(turn, &request, refusal),
        };
        let holding = self.holdings.entry(request.budget.clone()).or_default();
        holding.asked_at = turn.now;
        holding.demand.note_bound(turn.now, request.bound);
        holding.is_unproved |= order == Some(LookupOrder::LookUpFirst);
        if holding.can_reserve(request.bound) && order.is_none() {
            return self.reserve(turn, request);
        }
        if let Some(refusal) = self.refusal_at_once(turn.now, &request) {
            return self.refuse(turn, &request, refusal);
        }
        if let Some(holding) = self.holdings.get_mut(&request.budget) {
            holding.checked_at = None;
            holding.waiting.push_back(WaitingAdmit {
                request,
                since: turn.now,
            });
        }
    }

    /// Whether the workspace may use the budget, as far as the ledger was read; in which order it
    /// is looked up when it was not. Nothing is kept of a budget that is refused here.
    fn check_budget(
        &mut self,
        now: ClockTime,
        request: &AdmitRequest,
    ) -> Result<Option<LookupOrder>, CallRefusal> {
        let holding = self.holdings.get(&request.budget);
        let workspace = &request.key.workspace;
        match holding.and_then(BudgetHolding::workspace) {
            Some(owner) if owner == workspace => Ok(None),
            // A budget never changes hands.
            Some(_) => Err(foreign()),
            None => {
                self.prune_lookups(now);
                let recheck_ms = self.options.recheck_ms;
                let budget = &request.budget;
                let order = self.lookups.try_open(now, workspace, budget, recheck_ms)?;
                Ok(Some(order))
            }
        }
    }

    /// Refuses what waits for a budget that the ledger does not have for its workspace.
    pub(super) fn refuse_foreign(&mut self, turn: &mut DeskTurn<'_>, budget: &BudgetName) {
        let Some(holding) = self.holdings.get_mut(budget) else {
            return;
        };
        let owner = holding.workspace().cloned();
        let is_own = |admit: &WaitingAdmit| owner.as_ref() == Some(&admit.request.key.workspace);
        let waiting = std::mem::take(&mut holding.waiting);
        let (own, foreign): (Vec<_>, Vec<_>) = waiting.into_iter().partition(is_own);
        holding.waiting = own.into();
        for admit in foreign {
            self.refuse_one_foreign(turn, &admit.request);
        }
    }

    fn refuse_one_foreign(&mut self, turn: &mut DeskTurn<'_>, request: &AdmitRequest) {
        let workspace = &request.key.workspace;
        self.lookups.note_miss(turn.now, workspace, &request.budget);
        self.refuse(turn, request, foreign());
    }

    /// While the platform is away nothing is looked up, and names that were given up would make
    /// room for others without end: then those that are open stay.
    fn prune_lookups(&mut self, now: ClockTime) {
        let recheck_ms = self.options.recheck_ms;
        let keeps_open = self.is_away(now);
        self.lookups.prune(now, recheck_ms, keeps_open);
    }

    fn is_away(&self, now: ClockTime) -> bool {
        self.away_since
            .is_some_and(|since| now.since(since) >= self.options.grant_timeout_ms)
    }

    /// Answers everything that waits for a budget and can be answered now.
    pub(super) fn serve_waiting(&mut self, turn: &mut DeskTurn<'_>, budget: &BudgetName) {
        let Some(holding) = self.holdings.get_mut(budget) else {
            return;
        };
        let waiting = std::mem::take(&mut holding.waiting);
        for admit in waiting {
            self.serve_one(turn, budget, admit);
        }
    }

    fn serve_one(&mut self, turn: &mut DeskTurn<'_>, budget: &BudgetName, admit: WaitingAdmit) {
        let Some(holding) = self.holdings.get_mut(budget) else {
            return;
        };
        let bound = admit.request.bound;
        let account = holding.account.as_ref();
        let is_read = account.is_some_and(|account| account.read_at >= admit.since);
        let workspace = &admit.request.key.workspace;
        let is_foreign = holding.workspace() != Some(workspace);
        if is_read && is_foreign {
            return self.refuse_one_foreign(turn, &admit.request);
        }
        if !is_foreign {
            self.lookups.close(workspace, budget);
        }
        if holding.can_reserve(bound) && !is_foreign {
            return self.reserve(turn, admit.request);
        }
        if is_read && !holding.could_have(bound) {
            return self.refuse(turn, &admit.request, exhausted());
        }
        if turn.now.since(admit.since) >= self.options.grant_timeout_ms {
            return self.refuse(turn, &admit.request, unreachable());
        }
        holding.waiting.push_back(admit);
    }

    /// A refusal that needs no look at the ledger: the platform is away, or the ledger was read a
    /// moment ago and had too little.
    fn refusal_at_once(&self, now: ClockTime, request: &AdmitRequest) -> Option<CallRefusal> {
        let holding = self.holdings.get(&request.budget)?;
        if self.is_away(now) || holding.waiting.len() >= self.options.max_waiting {
            return Some(unreachable());
        }
        let account = holding.account.as_ref()?;
        if now.since(account.read_at) >= self.options.recheck_ms {
            return None;
        }
        let is_known = account.workspace.is_some();
        (is_known && !holding.could_have(request.bound)).then(exhausted)
    }

    fn reserve(&mut self, turn: &mut DeskTurn<'_>, request: AdmitRequest) {
        let call = request.call.clone();
        let journal = self.writer.journal().clone();
        if let Some(holding) = self.holdings.get_mut(&request.budget) {
            holding.reserved += request.bound;
        }
        let open = HolderCall {
            request,
            journal: journal.clone(),
            tokens: 0,
            heard: turn.now,
            is_orphaned: false,
            provisional: None,
        };
        self.open.insert(call.clone(), open);
        self.answer_admit(turn, &call, Ok(journal));
    }

    pub(super) fn refuse(
        &mut self,
        turn: &mut DeskTurn<'_>,
        request: &AdmitRequest,
        refusal: CallRefusal,
    ) {
        self.keys
            .finish(turn.now, &request.key, &request.call, false);
        self.answer_admit(turn, &request.call, Err(refusal));
    }

    fn answer_admit(
        &mut self,
        turn: &mut DeskTurn<'_>,
        call: &CallId,
        outcome: Result<KeyText, CallRefusal>,
    ) {
        if call.router == self.me {
            let me = self.me.clone();
            return self.on_admit_reply(turn, &me, call, outcome);
        }
        let message = PeerMessage::AdmitReply {
            call: call.clone(),
            outcome,
        };
        turn.send(&call.router, message);
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

    /// Forgets the requests of a router that is gone. Served later, they would reserve tokens that
    /// nobody uses and nobody gives back.
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

    pub(super) fn note_progress(&mut self, now: ClockTime, call: &CallId, tokens: u64) {
        if let Some(open) = self.open.get_mut(call) {
            open.tokens = open.tokens.max(tokens);
            open.heard = now;
        }
        if let Some(note) = self.notes.get_mut(call) {
            note.settle.tokens = note.settle.tokens.max(tokens);
        }
    }

    pub(super) fn tick_holder(&mut self, turn: &mut DeskTurn<'_>) {
        let budgets: Vec<BudgetName> = self.holdings.keys().cloned().collect();
        for budget in &budgets {
            if let Some(holding) = self.holdings.get_mut(budget) {
                holding.demand.roll(turn.now);
            }
            self.serve_waiting(turn, budget);
        }
        self.ask_silent(turn);
        self.forget_left(turn.now);
        self.prune_lookups(turn.now);
        let window_ms = self.options.dedup_window_ms;
        self.keys.prune(turn.now, window_ms);
        let now = turn.now;
        self.billed
            .retain(|_, billed| !billed.is_durable || now.since(billed.billed_at) <= window_ms);
        self.closed_calls
            .retain(|_, told| now.since(*told) <= window_ms);
    }

    /// Asks about calls whose entry routers gave no sign for long: they may have given up before
    /// the admit reply came, and nothing else would end the reservation.
    fn ask_silent(&mut self, turn: &mut DeskTurn<'_>) {
        let mut silent = Vec::new();
        for (call, open) in &mut self.open {
            let is_silent = turn.now.since(open.heard) >= self.options.silence_ms;
            if is_silent && !open.is_orphaned && call.router != self.me {
                open.heard = turn.now;
                silent.push((call.clone(), open.journal.clone()));
            }
        }
        for (call, journal) in silent {
            self.answer_admit(turn, &call, Ok(journal));
        }
    }
}

fn exhausted() -> CallRefusal {
    CallRefusal::not_run(RefusalReason::BudgetExhausted, Some(EXHAUSTED_RETRY_MS))
}

fn unreachable() -> CallRefusal {
    CallRefusal::not_run(RefusalReason::BudgetUnreachable, Some(UNREACHABLE_RETRY_MS))
}
