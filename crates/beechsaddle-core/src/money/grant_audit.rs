//! The `grant_audit` module provides the search for grants of routers that nobody is left to call gone.

use std::collections::BTreeMap;

use super::budget_ledger::BudgetLedger;
use super::desk_turn::DeskTurn;
use super::journal_name::journal_router;
use crate::clock::ClockTime;
use crate::names::{KeyText, RouterIncarnation};

/// Reads the shards that this router is picked for in turn, also those that no call needs.
///
/// A dead router's journal is folded by whoever saw it alive, or by the next process on its host. Where all
/// of them die too and the host never returns, its last bills would stay out of the ledger and its grant
/// would be missing from the budget for good.
#[derive(Debug, Default)]
pub(super) struct GrantAudit {
    audited_at: Option<ClockTime>,
    /// The shard that is read now.
    due: Option<u32>,
    /// The shard that was read last.
    last: u32,
    /// Journals of unknown routers, and since when these were found unlisted each time.
    suspects: BTreeMap<KeyText, ClockTime>,
}

impl GrantAudit {
    /// The shard that is to be read now; none before hosts are known, as nothing can be told then. The first
    /// read waits for a period: a router that has just started knows few others.
    pub(super) fn next_due(
        &mut self,
        turn: &DeskTurn<'_>,
        shard_count: u32,
        period_ms: u64,
    ) -> Option<u32> {
        if !turn.members.knows_hosts() {
            return None;
        }
        let audited_at = *self.audited_at.get_or_insert(turn.now);
        if self.due.is_none() && turn.now.since(audited_at) >= period_ms {
            self.audited_at = Some(turn.now);
            self.due = next_picked(turn, self.last, shard_count);
        }
        self.due
    }

    /// A shard was read.
    pub(super) fn finish(&mut self, shard: u32) {
        if self.due == Some(shard) {
            self.due = None;
            self.last = shard;
        }
    }

    /// Whether a journal's router has ended although nobody tells: unknown here, and its host in no list of the
    /// platform for `list_lag_ms`, as a new host's may be shorter.
    ///
    /// A router that runs all the same is fenced, which costs it tokens and no call: what it may have spent
    /// counts as spent, and it goes on with the next journal.
    pub(super) fn is_abandoned(
        &mut self,
        turn: &DeskTurn<'_>,
        journal: &KeyText,
        owner: &RouterIncarnation,
        list_lag_ms: u64,
    ) -> bool {
        let is_known = *owner == *turn.members.me() || turn.members.get(owner).is_some();
        if is_known || !turn.members.is_unlisted(&owner.host) {
            self.suspects.remove(journal);
            return false;
        }
        let since = *self.suspects.entry(journal.clone()).or_insert(turn.now);
        turn.now.since(since) >= list_lag_ms
    }

    /// Forgets suspects of a shard whose grants are gone.
    pub(super) fn forget_closed(&mut self, ledger: &BudgetLedger) {
        let accounts = ledger.budgets.values();
        let closed = accounts.flat_map(|account| account.closed.keys());
        for journal in closed {
            self.suspects.remove(journal);
        }
    }
}

/// The next shard in turn that this router is picked for.
fn next_picked(turn: &DeskTurn<'_>, last: u32, shard_count: u32) -> Option<u32> {
    let me = turn.members.me();
    let mut shards = (1..=shard_count).map(|step| last.wrapping_add(step) % shard_count);
    shards.find(|shard| {
        let key = BudgetLedger::object_key(*shard);
        turn.members.picked_for(key.as_str()) == *me
    })
}

/// The open grants of a shard whose routers can be told, by journal.
pub(super) fn granted_journals(ledger: &BudgetLedger) -> BTreeMap<KeyText, RouterIncarnation> {
    let accounts = ledger.budgets.values();
    let journals = accounts.flat_map(|account| account.grants.keys());
    let owned = journals.filter_map(|journal| Some((journal.clone(), journal_router(journal)?)));
    owned.collect()
}
