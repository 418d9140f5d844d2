//! The `budget_ledger` module provides the durable record of what routers took from budgets.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::names::WorkspaceName;

/// How many writers the ledger remembers, the latest first. A router asks after its own write within
/// seconds; this many writes of others take longer than that.
const WRITERS_MAX: usize = 256;

/// Tokens that routers took from each workspace's prepaid total, less what they gave back.
///
/// A router spends only what it took here by a conditional write, so the sum of all spending stays
/// within the prepaid total whatever routers are cut off, paused or killed, and without any clock.
/// What a killed router held is lost to the workspace; it holds seconds of demand, no more.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetLedger {
    /// Tokens taken, by workspace.
    pub taken: BTreeMap<WorkspaceName, u64>,
    /// The last change of each router, the latest first.
    pub writers: Vec<WriterMark>,
}

/// The last change that a router made.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriterMark {
    /// The incarnation of the router.
    pub router: String,
    /// The number of its change.
    pub number: u64,
}

/// A change of the ledger by one router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerChange {
    /// Counts the changes of this incarnation.
    pub number: u64,
    /// Tokens to take, by workspace.
    pub takes: BTreeMap<WorkspaceName, u64>,
    /// Tokens to give back, by workspace.
    pub returns: BTreeMap<WorkspaceName, u64>,
}

impl BudgetLedger {
    /// Tokens taken from a workspace's total.
    pub fn taken_of(&self, workspace: &WorkspaceName) -> u64 {
        self.taken.get(workspace).copied().unwrap_or(0)
    }

    /// The ledger after a change of `router`.
    pub fn with_change(&self, router: &str, change: &LedgerChange) -> Self {
        let mut ledger = self.clone();
        for (workspace, tokens) in &change.takes {
            let taken = ledger.taken.entry(workspace.clone()).or_default();
            *taken = taken.saturating_add(*tokens);
        }
        for (workspace, tokens) in &change.returns {
            let taken = ledger.taken.entry(workspace.clone()).or_default();
            *taken = taken.saturating_sub(*tokens);
        }
        ledger.writers.retain(|mark| mark.router != router);
        ledger.writers.insert(
            0,
            WriterMark {
                router: router.to_owned(),
                number: change.number,
            },
        );
        ledger.writers.truncate(WRITERS_MAX);
        ledger
    }

    /// Whether a change of `router` is in this ledger.
    ///
    /// A write without an answer may have been done. Its mark is the only proof of that, and lives in
    /// the same object as the sums.
    pub fn has_change(&self, router: &str, number: u64) -> bool {
        self.writers
            .iter()
            .any(|mark| mark.router == router && mark.number >= number)
    }
}
