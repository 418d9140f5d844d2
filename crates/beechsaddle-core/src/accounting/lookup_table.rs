//! The `lookup_table` module provides the budget names in requests that are not known to belong to
//! the calling workspace.

use std::collections::BTreeMap;

use crate::clock::ClockTime;
use crate::names::{BudgetName, WorkspaceName};
use crate::refusal::{CallRefusal, RefusalReason};

/// Maximum number of names of one workspace in the table. It exceeds the 26 budgets that a
/// workspace has on average at the largest planned size, so that all of them can be used at once
/// after a start.
const MAX_WORKSPACE_NAMES: usize = 32;

/// Maximum number of names of all workspaces in the table. At 64 bytes per name and as much again
/// for its map entries, this is half a megabyte.
const MAX_NAMES: usize = 4_096;

/// Maximum number of budgets of a workspace that are announced in the journal before they are
/// looked up.
const MAX_ANNOUNCED: usize = 4;

/// Time for which a workspace that named a budget it does not have gets lookup before announcement,
/// in milliseconds.
const MISS_PENALTY_MS: u64 = 60_000;

/// The budgets that workspaces named and for which the ledger was not read yet or has no entry.
///
/// Callers choose the names. Without limits a caller with one valid key could fill the holder's
/// memory and use up the platform's reads with invented names. Limits per workspace keep one
/// workspace's invalid names from affecting the others.
#[derive(Debug, Default)]
pub(super) struct LookupTable {
    workspaces: BTreeMap<WorkspaceName, WorkspaceLookups>,
}

#[derive(Debug, Default)]
struct WorkspaceLookups {
    names: BTreeMap<BudgetName, BudgetLookup>,
    /// When the workspace last named a budget that it does not have.
    missed_at: Option<ClockTime>,
}

#[derive(Debug)]
struct BudgetLookup {
    since: ClockTime,
    is_missed: bool,
}

/// The order in which an unknown budget is looked up and announced in the journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LookupOrder {
    /// The journal announces the budget before it is looked up, which saves the first call a round
    /// trip to the platform.
    AnnounceFirst,
    /// Looked up first, so that an invented name never enters the journal.
    LookUpFirst,
}

impl LookupTable {
    /// Registers a lookup of a budget for a workspace, or refuses a budget that was recently found
    /// not to belong to it.
    pub(super) fn try_open(
        &mut self,
        now: ClockTime,
        workspace: &WorkspaceName,
        budget: &BudgetName,
        recheck_ms: u64,
    ) -> Result<LookupOrder, CallRefusal> {
        let count: usize = self.workspaces.values().map(|own| own.names.len()).sum();
        let lookups = self.workspaces.entry(workspace.clone()).or_default();
        let order = lookups.order();
        if let Some(lookup) = lookups.names.get(budget) {
            return match lookup.is_missed {
                true => Err(foreign_budget()),
                false => Ok(order),
            };
        }
        if lookups.names.len() >= MAX_WORKSPACE_NAMES || count >= MAX_NAMES {
            let retry_after_ms = Some(recheck_ms);
            let reason = RefusalReason::BudgetUnreachable;
            return Err(CallRefusal::not_run(reason, retry_after_ms));
        }
        let lookup = BudgetLookup {
            since: now,
            is_missed: false,
        };
        lookups.names.insert(budget.clone(), lookup);
        Ok(order)
    }

    /// Removes the lookup of a budget that the ledger has for the workspace.
    pub(super) fn close(&mut self, workspace: &WorkspaceName, budget: &BudgetName) {
        if let Some(lookups) = self.workspaces.get_mut(workspace) {
            lookups.names.remove(budget);
        }
    }

    /// Records that the workspace has no such budget.
    pub(super) fn record_miss(
        &mut self,
        now: ClockTime,
        workspace: &WorkspaceName,
        budget: &BudgetName,
    ) {
        let Some(lookups) = self.workspaces.get_mut(workspace) else {
            return;
        };
        lookups.missed_at = Some(now);
        if let Some(lookup) = lookups.names.get_mut(budget) {
            lookup.is_missed = true;
            lookup.since = now;
        }
    }

    /// Drops lookups that are older than the recheck period; with `retains_open`, only those that
    /// failed.
    pub(super) fn prune(&mut self, now: ClockTime, recheck_ms: u64, retains_open: bool) {
        for lookups in self.workspaces.values_mut() {
            lookups.names.retain(|_, lookup| {
                let is_fresh = now.since(lookup.since) < recheck_ms;
                is_fresh || (retains_open && !lookup.is_missed)
            });
        }
        self.workspaces.retain(|_, lookups| {
            let is_penalized = lookups
                .missed_at
                .is_some_and(|missed_at| now.since(missed_at) < MISS_PENALTY_MS);
            is_penalized || !lookups.names.is_empty()
        });
    }
}

impl WorkspaceLookups {
    fn order(&self) -> LookupOrder {
        match self.missed_at.is_none() && self.names.len() < MAX_ANNOUNCED {
            true => LookupOrder::AnnounceFirst,
            false => LookupOrder::LookUpFirst,
        }
    }
}

/// Returns the refusal of a budget that belongs to another workspace or does not exist.
pub(super) fn foreign_budget() -> CallRefusal {
    CallRefusal::not_run(RefusalReason::ForeignBudget, None)
}
