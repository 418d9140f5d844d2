//! The `budget_account` module provides one budget of the ledger and the arithmetic on it.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::journal_segment::BillRecord;
use crate::clock::ClockTime;
use crate::names::{KeyText, OwnerName, RequestKey, TopUpId, WorkspaceName};

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
    /// What may have been spent by routers that died, and runs that another bill stands for.
    pub written_off: u64,
    /// Open grants by the journal that marks them.
    pub grants: BTreeMap<KeyText, OpenGrant>,
    /// Grants of closed journals whose late bills can still be taken against the write-off.
    pub closed: BTreeMap<KeyText, ClosedGrant>,
    /// Keys billed within the dedup window that may come again, by digest.
    pub keys: BTreeMap<String, BilledKey>,
    /// Whether operators removed it: the account is only the record of what was spent.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_removed: bool,
    /// Top-ups from before a removal. What is left of them was spent; a budget that is declared
    /// again under the name neither has them nor pays for them.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub retired: BTreeSet<TopUpId>,
}

/// What a router may spend of a budget, in tokens, counted over the journal's whole life.
///
/// Counting over the whole life makes every write state a result instead of a difference, so that
/// a write repeated after a lost answer changes nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenGrant {
    /// Granted in all.
    pub amount: u64,
    /// Of it, already counted into the account's `settled` or `written_off`.
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

/// How many bytes of a key's SHA-256 digest are kept. A caller that could make two of its keys
/// collide would get two runs for one bill, so the digest is a cryptographic one; 96 bits put the
/// cost of a collision at 2^48 requests within one dedup window.
const KEY_DIGEST_BYTES: usize = 12;

/// How many billed keys one account remembers at most. At 63 bytes each they stay under a quarter of
/// the platform's largest object; beyond it a shard could not be written any more.
const MAX_KEYS: usize = 4_000;

impl BudgetAccount {
    /// An account without tokens.
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

    /// Tokens paid in and not withdrawn.
    pub fn paid(&self) -> u64 {
        let top_ups: u64 = self.top_ups.values().sum();
        top_ups.saturating_sub(self.withdrawals.values().sum())
    }

    /// Tokens that open grants may still spend.
    pub fn granted(&self) -> u64 {
        self.grants
            .values()
            .map(|grant| grant.amount.saturating_sub(grant.folded))
            .sum()
    }

    /// Tokens that are billed, written off or granted.
    pub fn promised(&self) -> u64 {
        self.settled
            .saturating_add(self.written_off)
            .saturating_add(self.granted())
    }

    /// Tokens that are neither billed, written off nor granted.
    pub fn free(&self) -> u64 {
        self.paid().saturating_sub(self.promised())
    }

    /// Pays tokens in; tells whether the id was new.
    pub fn top_up(&mut self, id: &TopUpId, tokens: u64) -> bool {
        if self.top_ups.contains_key(id) {
            return false;
        }
        self.top_ups.insert(id.clone(), tokens);
        true
    }

    /// Takes free tokens out; tells whether it did.
    pub fn withdraw(&mut self, id: &TopUpId, tokens: u64) -> bool {
        if self.withdrawals.contains_key(id) || tokens > self.free() {
            return false;
        }
        self.withdrawals.insert(id.clone(), tokens);
        true
    }

    /// Counts those bills of an open grant that are not counted yet, up to segment `end`
    /// exclusively. Returns how many stood for a key that was billed before.
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

    /// Removes the grant of a closed journal: what lies between its bills and its last durable
    /// mark is written off, what lies above the mark is free again.
    pub fn close_grant(&mut self, journal: &KeyText, mark: u64, handed_over: bool, now: ClockTime) {
        if self.closed.contains_key(journal) {
            return;
        }
        let mut remaining = 0;
        if let Some(grant) = self.grants.remove(journal) {
            remaining = mark.min(grant.amount).saturating_sub(grant.folded);
            self.written_off += remaining;
        }
        // A frozen holder whose journal was closed may come back, read the account and ask for a
        // new grant on the strength of an announcement in the closed journal. It would spend what
        // nobody folds. The record tells it that it was fenced. A holder that closed its own
        // journal asks for nothing any more.
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

    /// Returns what is left of a closed journal's write-off: its owner states that no call of it is
    /// open any more and that all its bills have come.
    pub fn finish_closed(&mut self, journal: &KeyText) {
        if let Some(closed) = self.closed.get_mut(journal) {
            self.written_off = self.written_off.saturating_sub(closed.remaining);
            closed.remaining = 0;
        }
    }

    /// Removes a grant of which everything is counted; tells whether it did.
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

    /// Forgets keys and closed grants that are older than their retention.
    pub fn prune(&mut self, now: ClockTime, dedup_window_ms: u64, closed_retention_ms: u64) {
        self.keys
            .retain(|_, key| now.since(key.folded_at) <= dedup_window_ms);
        self.closed
            .retain(|_, closed| now.since(closed.closed_at) <= closed_retention_ms);
        let excess = self.keys.len().saturating_sub(MAX_KEYS);
        if excess > 0 {
            let mut times: Vec<ClockTime> = self.keys.values().map(|key| key.folded_at).collect();
            times.sort_unstable();
            let oldest_kept = times[excess];
            self.keys.retain(|_, key| key.folded_at >= oldest_kept);
        }
    }

    fn fold_own(&mut self, journal: &KeyText, bill: &BillRecord, now: ClockTime) -> bool {
        let consumed = bill.tokens.saturating_sub(bill.replaces.unwrap_or(0));
        if let Some(grant) = self.grants.get_mut(journal) {
            grant.folded += consumed;
        }
        self.book(bill, consumed, bill.replaces.is_none(), now)
    }

    /// Takes a bill against the write-off of a closed journal. The same call may come from its
    /// holder, which returned, and from a successor: it is counted once.
    fn fold_late(&mut self, journal: &KeyText, bill: &BillRecord, now: ClockTime) -> bool {
        let free = self.free();
        let Some(closed) = self.closed.get_mut(journal) else {
            return true;
        };
        let call = bill.call.to_string();
        let earlier = closed.late.get(&call).copied();
        let counted = earlier.max(bill.replaces);
        let due = bill.tokens.saturating_sub(counted.unwrap_or(0));
        let claimed = due.min(closed.remaining);
        closed.remaining -= claimed;
        closed
            .late
            .insert(call, bill.tokens.max(counted.unwrap_or(0)));
        self.written_off = self.written_off.saturating_sub(claimed);
        // The owner may have stated its final spend while a successor still held this bill. The
        // tokens were given back then, so the bill is paid from what is free.
        let consumed = claimed + (due - claimed).min(free);
        self.book(bill, consumed, counted.is_none(), now)
    }

    /// Counts `consumed` tokens for a bill. One key is billed once, at the largest of its runs; the
    /// tokens of its other runs were consumed all the same and are written off, since giving them
    /// back would let the targets serve more than was paid for.
    fn book(&mut self, bill: &BillRecord, consumed: u64, is_first: bool, now: ClockTime) -> bool {
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
