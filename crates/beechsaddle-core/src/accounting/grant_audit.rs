//! The `grant_audit` module provides the search for grants whose routers no live router knows.

use std::collections::BTreeMap;

use super::budget_ledger::BudgetLedger;
use super::event_context::EventContext;
use super::journal_name::journal_router;
use crate::clock::ClockTime;
use crate::names::{KeyText, RouterIncarnation};

/// Reads, in turn, the shards that this router is picked for, including those that no call needs.
///
/// A dead router's journal is folded by a router that knew it, or by the next process on its host.
/// If all of them die too and the host never returns, the last bills would stay out of the ledger
/// and the grant would be missing from the budget for good.
#[derive(Debug, Default)]
pub(super) struct GrantAudit {
    audited_at: Option<ClockTime>,
    /// The shard that is due.
    due: Option<u32>,
    /// The shard that was read last.
    last: u32,
    /// Journals of unknown routers on unlisted hosts, with the time since when they were found so
    /// on every read.
    unlisted: BTreeMap<KeyText, ClockTime>,
}

impl GrantAudit {
    /// Returns the shard that is due. None is due before hosts are known, since no router could be
    /// judged; the first read waits for one period, since a router that has just started knows few
    /// others.
    pub(super) fn next_due(
        &mut self,
        context: &EventContext<'_>,
        shard_count: u32,
        period_ms: u64,
    ) -> Option<u32> {
        if !context.members.knows_hosts() {
            return None;
        }
        let audited_at = *self.audited_at.get_or_insert(context.now);
        if self.due.is_none() && context.now.since(audited_at) >= period_ms {
            self.audited_at = Some(context.now);
            self.due = next_picked(context, self.last, shard_count);
        }
        self.due
    }

    /// Marks a shard as read.
    pub(super) fn finish(&mut self, shard: u32) {
        if self.due == Some(shard) {
            self.due = None;
            self.last = shard;
        }
    }

    /// Whether a journal's router has ended without a report: it is unknown here, and its host was
    /// in no list of the platform for `list_lag_ms`, since a new host may be missing from the lists
    /// for less than that.
    ///
    /// A router that still runs is fenced, which costs it tokens and no call: what it may have
    /// spent counts as spent, and it goes on with its next journal.
    pub(super) fn is_abandoned(
        &mut self,
        context: &EventContext<'_>,
        journal: &KeyText,
        owner: &RouterIncarnation,
        list_lag_ms: u64,
    ) -> bool {
        let is_known = *owner == *context.members.me() || context.members.get(owner).is_some();
        if is_known || !context.members.is_unlisted(&owner.host) {
            self.unlisted.remove(journal);
            return false;
        }
        let since = *self.unlisted.entry(journal.clone()).or_insert(context.now);
        context.now.since(since) >= list_lag_ms
    }

    /// Stops tracking journals of routers on unlisted hosts once a ledger shard records them as
    /// closed.
    pub(super) fn prune_closed(&mut self, ledger: &BudgetLedger) {
        let accounts = ledger.budgets.values();
        let closed = accounts.flat_map(|account| account.closed.keys());
        for journal in closed {
            self.unlisted.remove(journal);
        }
    }
}

/// Returns the next shard in turn that this router is picked for.
fn next_picked(context: &EventContext<'_>, last: u32, shard_count: u32) -> Option<u32> {
    let me = context.members.me();
    let mut shards = (1..=shard_count).map(|step| last.wrapping_add(step) % shard_count);
    shards.find(|shard| {
        let key = BudgetLedger::object_key(*shard);
        context.members.picked_for(key.as_str()) == *me
    })
}

/// Returns the journals with open grants in a shard and their routers, where the name can be
/// parsed.
pub(super) fn granted_journals(ledger: &BudgetLedger) -> BTreeMap<KeyText, RouterIncarnation> {
    let accounts = ledger.budgets.values();
    let journals = accounts.flat_map(|account| account.grants.keys());
    let owned = journals.filter_map(|journal| Some((journal.clone(), journal_router(journal)?)));
    owned.collect()
}
