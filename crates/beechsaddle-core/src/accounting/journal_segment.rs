//! The `journal_segment` module provides the durable parts of a router's spend journal.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::names::{BudgetName, CallId, KeyOrigin, KeyText, RequestKey};

/// An immutable part of a journal, stored at `journal/<journal>/<number>` with create-if-absent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalSegment {
    /// The id of this write, by which a writer whose reply was lost recognises its own write.
    pub write_id: String,
    /// Whether this segment closes the journal, which fences its owner.
    pub closed: bool,
    /// Changed high-water marks, in tokens counted from the start of the journal.
    pub marks: BTreeMap<BudgetName, u64>,
    pub bills: Vec<BillRecord>,
    /// In a checkpoint: bills of earlier segments that a reader may still need, each with the
    /// number of the segment that first held it.
    pub carried: Vec<(u64, BillRecord)>,
    /// Closed journals whose last bill on a budget is in this or an earlier segment.
    pub finals: Vec<FinalSpend>,
    /// Whether the owner itself closed the journal after its last call had ended.
    pub handed_over: bool,
}

/// A statement that no more of a closed journal's write-off will be claimed for a budget.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct FinalSpend {
    pub journal: KeyText,
    pub budget: BudgetName,
}

/// The bill of one call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BillRecord {
    pub call: CallId,
    /// The call's idempotency key.
    pub key: RequestKey,
    pub budget: BudgetName,
    /// Billed amount in tokens.
    pub tokens: u64,
    /// Amount of an earlier provisional bill of the same call, which this bill replaces.
    pub replaces: Option<u64>,
    /// Whether the entry router died before it reported the final usage.
    pub provisional: bool,
    /// Whether another router may bill the same call: one that was asked to reserve for it and did
    /// not answer in time.
    pub contested: bool,
    /// The closed journal whose write-off this bill is taken against, if it is not taken against
    /// this journal's grant.
    pub against: Option<KeyText>,
}

impl BillRecord {
    /// Whether the ledger must look for another bill of the same key. Callers may reuse their keys,
    /// and a call that moved to another holder may be billed by both; other keys cannot occur
    /// twice.
    pub fn may_repeat(&self) -> bool {
        self.key.origin == KeyOrigin::Caller
            || self.contested
            || self.provisional
            || self.replaces.is_some()
            || self.against.is_some()
    }
}
