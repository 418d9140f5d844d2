//! The `known_refusals` module provides refusals for want of tokens: what is known of them, and when their
//! callers should come back.

use beechsaddle_core::gateway::{
    CallUrgency, KnownRefusal, RefusedCaller, ReturnCause, ReturnSchedule, TokenNeed, TokenShortage,
};
use beechsaddle_core::prelude::*;

use super::gateway_metrics::OutcomeLabel;
use super::gateway_state::GatewayState;
use super::refusal::RefusalCause;

/// A call that gets no tokens.
#[derive(Clone, Copy, Debug)]
pub(super) struct TokenRefusal {
    pub(super) cause: RefusalCause,
    /// What is known of the end of the shortage; `None` if the refusal is final.
    pub(super) return_cause: Option<ReturnCause>,
    /// What answered the call at once; `None` if it was looked for tokens.
    pub(super) known: Option<KnownRefusal>,
}

impl TokenRefusal {
    /// Returns the refusal of a call that the total does not cover.
    pub(super) fn exhausted() -> Self {
        TokenRefusal {
            cause: RefusalCause::BudgetExhausted,
            return_cause: None,
            known: None,
        }
    }

    /// Returns the refusal of a call whose tokens are kept for more urgent ones.
    pub(super) fn reserved() -> Self {
        TokenRefusal {
            cause: RefusalCause::BudgetReserved,
            return_cause: None,
            known: None,
        }
    }

    /// Returns the refusal of a call that was looked for tokens. The call must still be registered as
    /// waiting.
    pub(super) fn waited(state: &GatewayState, workspace: &WorkspaceName) -> Self {
        TokenRefusal {
            cause: RefusalCause::BudgetUnreachable,
            return_cause: Some(return_cause(state, workspace, None)),
            known: None,
        }
    }

    /// Returns the refusal of a call that an earlier one answers; `has_waited` is whether it was itself
    /// looked for tokens before. The call must still be registered as waiting.
    pub(super) fn known(
        state: &GatewayState,
        workspace: &WorkspaceName,
        known: KnownRefusal,
        has_waited: bool,
    ) -> Self {
        TokenRefusal {
            cause: RefusalCause::BudgetUnreachable,
            return_cause: Some(return_cause(state, workspace, Some(known))),
            known: (!has_waited).then_some(known),
        }
    }

    /// Returns the name of what the call was refused for, in logs.
    pub(super) fn shortage(&self) -> &'static str {
        match (self.known, self.return_cause) {
            (Some(known), _) => known.shortage.as_str(),
            (None, Some(ReturnCause::StoreAway { .. })) => "store_away",
            (None, Some(ReturnCause::Opening { .. })) => "deferred",
            (None, Some(ReturnCause::Short | ReturnCause::LinkFull)) => "short",
            (None, None) if self.cause == RefusalCause::BudgetReserved => "reserved",
            (None, None) => "total",
        }
    }
}

/// Returns the earlier refusal that answers a call; `None` if none does or callers do not return by cause.
pub(super) fn find_refusal(
    state: &GatewayState,
    workspace: &WorkspaceName,
    need: TokenNeed,
) -> Option<KnownRefusal> {
    let refusals = state.lending.refusals.borrow();
    refusals.find(state.now(), workspace, need)
}

/// Records that all lenders refused a request.
///
/// While tokens are kept for urgent calls, some become usable for them all the time, so that the pause
/// between their requests does not grow.
pub(super) fn record_refused_loans(
    state: &GatewayState,
    workspace: &WorkspaceName,
    need: TokenNeed,
) {
    let now = state.now();
    if !state.settings().policy.returns_by_cause {
        let mut pauses = state.lending.pauses.borrow_mut();
        if need.urgency == CallUrgency::HIGHEST && state.escrow.borrow().follows_urgency() {
            pauses.record_lent(workspace);
        }
        pauses.record_refused(now, workspace);
        state.lending.set_refused_urgency(workspace, need.urgency);
        return;
    }
    let mut refusals = state.lending.refusals.borrow_mut();
    refusals.record_refused(now, workspace, need, TokenShortage::LedgerAway);
}

/// Records that a call has waited in vain, if nothing was heard of the store either. While the store
/// answers, the next call may be luckier.
pub(super) fn record_silent_wait(state: &GatewayState, workspace: &WorkspaceName, need: TokenNeed) {
    if state.settings().policy.returns_by_cause && is_store_silent(state) {
        let mut refusals = state.lending.refusals.borrow_mut();
        refusals.record_refused(state.now(), workspace, need, TokenShortage::LedgerSilent);
    }
}

/// Forgets the refusals of a workspace, of which tokens have arrived.
pub(super) fn forget_refusals(state: &GatewayState, workspace: &WorkspaceName) {
    state.lending.pauses.borrow_mut().record_lent(workspace);
    state.lending.refusals.borrow_mut().forget(workspace);
}

/// Returns when a refused caller should come back, in milliseconds; `None` if callers do not return by
/// cause.
pub(super) fn return_ms(
    state: &GatewayState,
    cause: ReturnCause,
    caller: RefusedCaller,
) -> Option<u64> {
    let settings = state.settings();
    if !settings.policy.returns_by_cause {
        return None;
    }
    let schedule = ReturnSchedule {
        outage_ms: (settings.budgets.hold_s * 1_000.0) as u64,
    };
    Some(schedule.return_ms(cause, caller))
}

/// Counts a refusal by whether it was known when the call came.
pub(super) fn count_refusal(state: &GatewayState, refusal: &TokenRefusal) {
    let what = match refusal.known {
        Some(_) => "known",
        None => "sought",
    };
    let label = OutcomeLabel { what };
    let refusals = &state.metrics.token_refusals;
    refusals.get_or_create(&label).inc();
}

fn return_cause(
    state: &GatewayState,
    workspace: &WorkspaceName,
    known: Option<KnownRefusal>,
) -> ReturnCause {
    let now = state.now();
    let opens_in_ms = match state.is_ledger_unreachable.get() {
        true => state.escrow.borrow().opens_in_ms(now, workspace),
        false => None,
    };
    match opens_in_ms {
        Some(opens_in_ms) => ReturnCause::Opening { opens_in_ms },
        None if is_store_away(state, known) => ReturnCause::StoreAway {
            age_ms: state.store_age_ms(),
        },
        None => ReturnCause::Short,
    }
}

/// Whether the store is away for this router's lenders, and as far as this router knows for others too.
fn is_store_away(state: &GatewayState, known: Option<KnownRefusal>) -> bool {
    let is_told = known.is_some_and(|known| known.shortage == TokenShortage::LedgerAway);
    let is_steady = state.store_health.is_steady(state.now());
    (is_told && !is_steady) || state.is_ledger_unreachable.get() || is_store_silent(state)
}

/// Whether nothing was heard of the store for longer than between two answers, own or relayed.
fn is_store_silent(state: &GatewayState) -> bool {
    let settings = state.settings();
    let interval = settings.probe_interval + settings.max_relay_age;
    state.store_age_ms() > interval.as_millis() as u64
}
