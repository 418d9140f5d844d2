//! The `refusal_memory` module provides what a router remembers of calls that got no tokens.

use std::collections::BTreeMap;

use super::CallUrgency;
use crate::clock::ClockTime;
use crate::names::WorkspaceName;

/// How long a first refusal holds, in milliseconds: some exchanges with a lender. Nobody asks
/// meanwhile, so a lender that has received tokens is found that much later.
const HOLD_INITIAL_MS: u64 = 400;

/// The longest time for which a refusal holds, in milliseconds: a fraction of the outages that
/// routers hold tokens for, if the event that ends it is lost.
const HOLD_MAX_MS: u64 = 3_200;

/// What a call needs to be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenNeed {
    /// The most tokens that the call may use.
    pub tokens: u64,
    pub urgency: CallUrgency,
}

impl TokenNeed {
    /// Returns the need of a request that lenders refuse whatever its urgency.
    pub fn of_any_urgency(tokens: u64) -> Self {
        TokenNeed {
            tokens,
            urgency: CallUrgency::HIGHEST,
        }
    }
}

/// Why a call got no tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenShortage {
    /// All lenders have too little, and none of them reaches the ledger.
    LedgerAway,
    /// Nothing arrived while the call waited and the ledger was silent.
    LedgerSilent,
}

impl TokenShortage {
    /// Returns the name of the shortage in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            TokenShortage::LedgerAway => "ledger_away",
            TokenShortage::LedgerSilent => "ledger_silent",
        }
    }
}

/// A refusal that also answers later calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownRefusal {
    pub shortage: TokenShortage,
    /// The smallest call that was refused, in tokens.
    pub tokens: u64,
    /// When a call of this size was last refused after it was looked for tokens.
    pub seen_at: ClockTime,
    /// When the next call looks for tokens again.
    pub until: ClockTime,
    hold_ms: u64,
}

/// The refusals of each workspace that answer later calls.
///
/// A refused call tells that no call of its size or larger, and no more urgent than it, gets tokens
/// until something changes. Looking for tokens again for each of them delays their refusals and
/// loads the lenders that serve other workspaces.
///
/// The owner asks only if the tokens held here do not cover the call, and tells what may end a
/// shortage. If it misses such an event, a refusal ends by its time.
#[derive(Clone, Debug, Default)]
pub struct RefusalMemory {
    refusals: BTreeMap<WorkspaceName, BTreeMap<CallUrgency, KnownRefusal>>,
}

impl RefusalMemory {
    /// Records that a call was refused after it was looked for tokens. The refusal holds for a time
    /// that doubles with each further one.
    pub fn record_refused(
        &mut self,
        now: ClockTime,
        workspace: &WorkspaceName,
        need: TokenNeed,
        shortage: TokenShortage,
    ) {
        let refusals = self.refusals.entry(workspace.clone()).or_default();
        let known = refusals.get(&need.urgency).copied();
        let valid = known.filter(|refusal| now < refusal.until);
        // A refusal in force that answers this call was looked for by an earlier one.
        if valid.is_some_and(|refusal| refusal.tokens <= need.tokens) {
            return;
        }
        let hold_ms = match (known, valid) {
            (_, Some(refusal)) => refusal.hold_ms,
            (Some(refusal), None) => (refusal.hold_ms * 2).min(HOLD_MAX_MS),
            (None, None) => HOLD_INITIAL_MS,
        };
        let refusal = KnownRefusal {
            shortage,
            tokens: need.tokens,
            seen_at: now,
            until: now.plus_ms(hold_ms),
            hold_ms,
        };
        refusals.insert(need.urgency, refusal);
    }

    /// Returns the refusal that answers a call; `None` if the call has to be looked for tokens.
    pub fn find(
        &self,
        now: ClockTime,
        workspace: &WorkspaceName,
        need: TokenNeed,
    ) -> Option<KnownRefusal> {
        let refusals = self.refusals.get(workspace)?.range(..=need.urgency);
        let answering = refusals
            .map(|(_, refusal)| *refusal)
            .filter(|refusal| now < refusal.until && refusal.tokens <= need.tokens);
        answering.max_by_key(|refusal| refusal.until)
    }

    /// Forgets the refusals of a workspace whose tokens or ledger have changed.
    pub fn forget(&mut self, workspace: &WorkspaceName) {
        self.refusals.remove(workspace);
    }

    /// Forgets all refusals that are older than an answer of the store: allocators can get tokens
    /// again.
    pub fn forget_before(&mut self, answered_at: ClockTime) {
        self.refusals.retain(|_, refusals| {
            refusals.retain(|_, refusal| refusal.seen_at >= answered_at);
            !refusals.is_empty()
        });
    }
}
