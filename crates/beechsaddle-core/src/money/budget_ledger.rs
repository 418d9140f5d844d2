//! The `budget_ledger` module provides the durable state of budgets.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::clock::ClockTime;
use crate::names::{BudgetName, KeyText, OwnerName, TopUpId, WorkspaceName};

/// One shard of the ledger: some budgets, at `ledger/<shard>`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetLedger {
    /// The id of the last write, so that a writer whose answer was lost can recognise its write.
    pub write_id: String,
    /// The budgets of this shard.
    pub budgets: BTreeMap<BudgetName, BudgetAccount>,
}

/// One budget, in tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetAccount {
    /// The workspace that may spend it.
    pub workspace: WorkspaceName,
    /// Who answers for it.
    pub owner: OwnerName,
    /// What was paid in, each once.
    pub top_ups: BTreeMap<TopUpId, u64>,
    /// What was taken out again, each once.
    pub withdrawals: BTreeMap<TopUpId, u64>,
    /// What was billed.
    pub settled: u64,
    /// How many bills that are.
    pub bills: u64,
    /// What may have been spent by routers that died.
    pub written_off: u64,
    /// Open grants by the journal that marks them.
    pub grants: BTreeMap<KeyText, OpenGrant>,
    /// Grants of closed journals whose late bills can still be taken against the write-off.
    pub closed: BTreeMap<KeyText, ClosedGrant>,
    /// Caller-made keys billed within the dedup window, by digest.
    pub keys: BTreeMap<String, BilledKey>,
}

/// What a router may spend of a budget, in tokens, counted over the journal's whole life.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenGrant {
    /// Granted in all.
    pub amount: u64,
    /// Of it, already counted into the account's `settled`.
    pub folded: u64,
    /// Bills in segments before this number are counted.
    pub cursor: u64,
}

/// What is left of a closed journal's grant, in tokens.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClosedGrant {
    /// Written off and not yet claimed by a late bill.
    pub remaining: u64,
    /// Late bills by call.
    pub late: BTreeMap<String, u64>,
    /// When it was closed, by the folder's clock.
    pub closed_at: ClockTime,
}

/// The bill of a caller-made key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BilledKey {
    /// What is billed for it.
    pub tokens: u64,
    /// When it was last folded, by the folder's clock.
    pub folded_at: ClockTime,
}
