//! The `lookup_book` module provides which budgets workspaces named that are not known to be theirs.

use std::collections::BTreeMap;

use crate::clock::ClockTime;
use crate::names::{BudgetName, WorkspaceName};
use crate::refusal::{CallRefusal, RefusalReason};

/// How many such names one workspace has at a time. It is more than the 26 budgets that a workspace
/// has on average at the largest size planned for, so that all of them can be used at once after a
/// start.
const MAX_WORKSPACE_NAMES: usize = 32;

/// How many such names there are at a time. At 64 bytes a name and as much for its place in the
/// maps that is half a megabyte.
const MAX_NAMES: usize = 4_096;

/// How many budgets of a workspace are announced in the journal before they are looked up.
const MAX_ANNOUNCED: usize = 4;

/// How long a workspace that named a budget it does not have is not trusted, in milliseconds.
const DISTRUST_MS: u64 = 60_000;

/// The budgets that workspaces named and that the ledger was not yet read for, or does not have.
///
/// Callers choose the names. Were each unknown one looked up and kept, a caller with one valid key
/// could fill the holder's memory and spend the platform's reads on names it makes up. So each
/// workspace has few of them at a time; one workspace's bad names cost the others nothing.
#[derive(Debug, Default)]
pub(super) struct LookupBook {
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

/// In which order a budget that is not known yet is looked up and announced in the journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LookupOrder {
    /// Announced at once, which saves a round trip to the platform for the first call.
    AnnounceFirst,
    /// Looked up first: a made-up name never gets into the journal.
    LookUpFirst,
}

impl LookupBook {
    /// Lets a budget be looked up for a workspace, or refuses what was just found to be wrong.
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
                true => Err(foreign()),
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

    /// Notes that the ledger has the budget for the workspace.
    pub(super) fn close(&mut self, workspace: &WorkspaceName, budget: &BudgetName) {
        if let Some(lookups) = self.workspaces.get_mut(workspace) {
            lookups.names.remove(budget);
        }
    }

    /// Notes that the workspace has no such budget.
    pub(super) fn note_miss(
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

    /// Forgets what is older than the time after which a budget is read again; with `keeps_open`
    /// only what was found to be wrong.
    pub(super) fn prune(&mut self, now: ClockTime, recheck_ms: u64, keeps_open: bool) {
        for lookups in self.workspaces.values_mut() {
            lookups.names.retain(|_, lookup| {
                let is_fresh = now.since(lookup.since) < recheck_ms;
                is_fresh || (keeps_open && !lookup.is_missed)
            });
        }
        self.workspaces.retain(|_, lookups| {
            let is_distrusted = lookups
                .missed_at
                .is_some_and(|missed_at| now.since(missed_at) < DISTRUST_MS);
            is_distrusted || !lookups.names.is_empty()
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

/// The refusal of a budget that is another workspace's or nobody's.
pub(super) fn foreign() -> CallRefusal {
    CallRefusal::not_run(RefusalReason::ForeignBudget, None)
}
