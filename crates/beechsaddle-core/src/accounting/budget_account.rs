//! The `budget_account` module provides the ledger account of a budget and its arithmetic.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::journal_segment::BillRecord;
use crate::clock::ClockTime;
use crate::names::{KeyText, OwnerName, RequestKey, TopUpId, WorkspaceName};

/// The ledger account of one budget; amounts are in tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetAccount {
    /// Workspace that may spend the budget.
    pub workspace: WorkspaceName,
    /// Owner responsible for the budget.
    pub owner: OwnerName,
    /// Payments by id; each id is applied once.
    pub top_ups: BTreeMap<TopUpId, u64>,
    /// Withdrawals by id; each id is applied once.
    pub withdrawals: BTreeMap<TopUpId, u64>,
    /// Tokens billed.
    pub settled: u64,
    /// Number of bills in `settled`.
    pub bills: u64,
    /// Tokens that routers may have spent before they died, and tokens of runs whose key is billed
    /// for another run.
    pub written_off: u64,
    /// Open grants, by the journal whose marks cover them.
    pub grants: BTreeMap<KeyText, OpenGrant>,
    /// Remainders of closed journals, retained while late bills can be taken against the write-off.
    pub closed: BTreeMap<KeyText, ClosedGrant>,
    /// Repeatable keys billed within the dedup window, by digest.
    pub keys: BTreeMap<String, BilledKey>,
    /// Whether operators removed the budget; the account then only records past spending.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_removed: bool,
    /// Top-ups applied before a removal. Their remainder counts as spent; a budget declared again
    /// under the same name neither receives nor pays for them.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub retired: BTreeSet<TopUpId>,
}

/// Tokens that a router may spend of a budget, counted from the start of its journal.
///
/// Cumulative counts make every write state a result instead of a difference, so repeating a write
/// whose reply was lost changes nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenGrant {
    /// Total granted.
    pub amount: u64,
    /// Part already counted in the account's `settled` or `written_off`.
    pub folded: u64,
    /// Bills in segments before this number are counted.
    pub cursor: u64,
}

/// The remainder of a closed journal's grant, in tokens.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClosedGrant {
    /// Written off and not yet claimed by a late bill.
    pub remaining: u64,
    /// Tokens of late bills, by call.
    pub late: BTreeMap<String, u64>,
    /// Time of closing, on the clock of the router that folded the journal.
    pub closed_at: ClockTime,
}

/// The bill of a repeatable idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BilledKey {
    /// Tokens billed for the key.
    pub tokens: u64,
    /// Time of the latest fold, on the clock of the router that folded.
    pub folded_at: ClockTime,
}

/// Length of a stored key digest, in bytes. A caller with two colliding keys would get two runs for
/// one bill, so the digest is a cryptographic one (SHA-256); at 96 bits a collision costs 2^48
/// requests within one dedup window.
const KEY_DIGEST_BYTES: usize = 12;

/// Maximum number of billed keys per account. At 63 bytes each they stay below a quarter of the
/// platform's largest object; a shard beyond that size could not be written any more.
const MAX_KEYS: usize = 4_000;

impl BudgetAccount {
    /// Returns an account without tokens.
    pub fn new(workspace: WorkspaceName, owner: OwnerName) -> Self {
        BudgetAccount {
            workspace,
            owner,
            top_ups: BTreeMap::new(),
            withdrawals: BTreeMap::new(),
            settled: 0,
            bills: 0,
            written_off: 0,
            grants: BTreeMap::new(),
            closed: BTreeMap::new(),
            keys: BTreeMap::new(),
            is_removed: false,
            retired: BTreeSet::new(),
        }
    }

    /// Returns the tokens paid in and not withdrawn.
    pub fn paid(&self) -> u64 {
        let top_ups: u64 = self.top_ups.values().sum();
        top_ups.saturating_sub(self.withdrawals.values().sum())
    }

    /// Returns the tokens that open grants may still spend.
    pub fn granted(&self) -> u64 {
        self.grants
            .values()
            .map(|grant| grant.amount.saturating_sub(grant.folded))
            .sum()
    }

    /// Returns the tokens that are billed, written off or granted.
    pub fn allocated(&self) -> u64 {
        self.settled
            .saturating_add(self.written_off)
            .saturating_add(self.granted())
    }

    /// Returns the tokens that are neither billed, written off nor granted.
    pub fn free(&self) -> u64 {
        self.paid().saturating_sub(self.allocated())
    }

    /// Adds tokens; returns whether the id was new.
    pub fn top_up(&mut self, id: &TopUpId, tokens: u64) -> bool {
        if self.top_ups.contains_key(id) {
            return false;
        }
        self.top_ups.insert(id.clone(), tokens);
        true
    }

    /// Withdraws free tokens; returns whether it did.
    pub fn withdraw(&mut self, id: &TopUpId, tokens: u64) -> bool {
        if self.withdrawals.contains_key(id) || tokens > self.free() {
            return false;
        }
        self.withdrawals.insert(id.clone(), tokens);
        true
    }

    /// Counts the bills of an open grant from its cursor up to, but not including, segment `end`.
    /// Returns how many were for a key that was already billed.
    pub fn fold_bills(
        &mut self,
        journal: &KeyText,
        bills: &[(u64, BillRecord)],
        end: u64,
        now: ClockTime,
    ) -> u64 {
        let Some(grant) = self.grants.get(journal) else {
            return 0;
        };
        let cursor = grant.cursor;
        let mut duplicates = 0;
        for (number, bill) in bills {
            if *number < cursor || *number >= end {
                continue;
            }
            let is_duplicate = match &bill.against {
                Some(closed) => self.fold_late(closed, bill, now),
                None => self.fold_own(journal, bill, now),
            };
            duplicates += u64::from(is_duplicate);
        }
        if let Some(grant) = self.grants.get_mut(journal) {
            grant.cursor = grant.cursor.max(end);
        }
        duplicates
    }

    /// Removes the grant of a closed journal. Tokens between its bills and its last durable mark
    /// are written off; tokens above the mark become free.
    pub fn close_grant(&mut self, journal: &KeyText, mark: u64, handed_over: bool, now: ClockTime) {
        if self.closed.contains_key(journal) {
            return;
        }
        let mut remaining = 0;
        if let Some(grant) = self.grants.remove(journal) {
            remaining = mark.min(grant.amount).saturating_sub(grant.folded);
            self.written_off += remaining;
        }
        // A suspended holder whose journal was closed may resume, read the account and request a
        // new grant based on an announcement in the closed journal; its spending would never be
        // folded. This record shows the holder that it was fenced. A holder that closed its own
        // journal takes no further grants.
        if handed_over && remaining == 0 {
            return;
        }
        let closed = ClosedGrant {
            remaining,
            late: BTreeMap::new(),
            closed_at: now,
        };
        self.closed.insert(journal.clone(), closed);
    }

    /// Releases the remaining write-off of a closed journal, once its owner has stated that none of
    /// its calls is open and all its bills are written.
    pub fn finish_closed(&mut self, journal: &KeyText) {
        if let Some(closed) = self.closed.get_mut(journal) {
            self.written_off = self.written_off.saturating_sub(closed.remaining);
            closed.remaining = 0;
        }
    }

    /// Removes a grant that is counted in full; returns whether it did.
    pub fn try_remove(&mut self, journal: &KeyText) -> bool {
        let is_over = self
            .grants
            .get(journal)
            .is_some_and(|grant| grant.amount == grant.folded);
        if is_over {
            self.grants.remove(journal);
        }
        is_over
    }

    /// Drops keys and closed grants that are older than their retention period.
    pub fn prune(&mut self, now: ClockTime, dedup_window_ms: u64, closed_retention_ms: u64) {
        self.keys
            .retain(|_, key| now.since(key.folded_at) <= dedup_window_ms);
        self.closed
            .retain(|_, closed| now.since(closed.closed_at) <= closed_retention_ms);
        let excess = self.keys.len().saturating_sub(MAX_KEYS);
        if excess > 0 {
            let mut times: Vec<ClockTime> = self.keys.values().map(|key| key.folded_at).collect();
            times.sort_unstable();
            let oldest_retained = times[excess];
            self.keys.retain(|_, key| key.folded_at >= oldest_retained);
        }
    }

    fn fold_own(&mut self, journal: &KeyText, bill: &BillRecord, now: ClockTime) -> bool {
        let consumed = bill.tokens.saturating_sub(bill.replaces.unwrap_or(0));
        if let Some(grant) = self.grants.get_mut(journal) {
            grant.folded += consumed;
        }
        self.post_bill(bill, consumed, bill.replaces.is_none(), now)
    }

    /// Takes a bill against the write-off of a closed journal. The resumed holder and its successor
    /// may both bill the same call; it is counted once.
    fn fold_late(&mut self, journal: &KeyText, bill: &BillRecord, now: ClockTime) -> bool {
        let free = self.free();
        let Some(closed) = self.closed.get_mut(journal) else {
            return true;
        };
        let call = bill.call.to_string();
        let counted_before = closed.late.get(&call).copied();
        let counted = counted_before.max(bill.replaces);
        let due = bill.tokens.saturating_sub(counted.unwrap_or(0));
        let claimed = due.min(closed.remaining);
        closed.remaining -= claimed;
        closed
            .late
            .insert(call, bill.tokens.max(counted.unwrap_or(0)));
        self.written_off = self.written_off.saturating_sub(claimed);
        // The owner may have stated its final spend while a successor still held this bill. The
        // tokens were released then, so the bill is paid from free tokens.
        let consumed = claimed + (due - claimed).min(free);
        self.post_bill(bill, consumed, counted.is_none(), now)
    }

    /// Counts `consumed` tokens for a bill and returns whether it is a duplicate. A key is billed
    /// once, at the largest of its runs. Tokens of its other runs were consumed too and are written
    /// off, because releasing them would let targets serve more than was paid for.
    fn post_bill(
        &mut self,
        bill: &BillRecord,
        consumed: u64,
        is_first: bool,
        now: ClockTime,
    ) -> bool {
        if !bill.may_repeat() {
            self.settled += consumed;
            self.bills += u64::from(is_first);
            return false;
        }
        let digest = key_digest(&bill.key);
        let Some(billed) = self.keys.get_mut(&digest) else {
            let billed = BilledKey {
                tokens: bill.tokens,
                folded_at: now,
            };
            self.keys.insert(digest, billed);
            self.settled += consumed;
            self.bills += u64::from(is_first);
            return false;
        };
        let gain = bill.tokens.saturating_sub(billed.tokens).min(consumed);
        billed.tokens = billed.tokens.max(bill.tokens);
        billed.folded_at = now;
        self.settled += gain;
        self.written_off += consumed - gain;
        is_first
    }
}

fn key_digest(key: &RequestKey) -> String {
    let mut hasher = Sha256::new();
    hasher.update(key.workspace.as_str());
    hasher.update([0]);
    hasher.update(key.text.as_str());
    hasher.finalize()[..KEY_DIGEST_BYTES]
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}
