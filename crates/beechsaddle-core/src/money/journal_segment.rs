//! The `journal_segment` module provides the durable parts of a router's spend journal.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::names::{BudgetName, CallId, KeyOrigin, KeyText, RequestKey};

/// An immutable part of a journal, at `journal/<journal>/<number>`, created if absent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalSegment {
    /// The id of this write, so that a writer whose answer was lost can recognise it.
    pub write_id: String,
    /// Whether this segment closes the journal: the fence.
    pub closed: bool,
    /// High-water marks that changed, in tokens counted over the journal's whole life.
    pub marks: BTreeMap<BudgetName, u64>,
    /// Bills.
    pub bills: Vec<BillRecord>,
    /// In a checkpoint: bills of earlier segments that a reader may still need, each with the
    /// number of the segment that first held it.
    pub carried: Vec<(u64, BillRecord)>,
    /// Closed journals whose last bill on a budget is in this or an earlier segment.
    pub finals: Vec<FinalSpend>,
    /// Whether the owner itself closed the journal after its last call had ended.
    pub handed_over: bool,
}

/// States that nothing more of a closed journal's write-off will be claimed for a budget.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct FinalSpend {
    /// The closed journal.
    pub journal: KeyText,
    /// The budget.
    pub budget: BudgetName,
}

/// One bill.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BillRecord {
    /// The call.
    pub call: CallId,
    /// Its idempotency key.
    pub key: RequestKey,
    /// The budget.
    pub budget: BudgetName,
    /// What is billed, in tokens.
    pub tokens: u64,
    /// What an earlier, provisional bill of the same call said, which this one takes the place of.
    pub replaces: Option<u64>,
    /// Whether the entry router died before it told the usage.
    pub provisional: bool,
    /// Whether another router may bill the same call too: one that was asked to reserve for it and
    /// did not answer in time.
    pub contested: bool,
    /// The closed journal whose write-off this bill is taken against, if not this journal's grant.
    pub against: Option<KeyText>,
}

impl BillRecord {
    /// Whether the ledger has to look for another bill of the same key. A caller may send its keys
    /// again, and a call that changed hands may be billed by both; other keys cannot come twice.
    pub fn may_repeat(&self) -> bool {
        self.key.origin == KeyOrigin::Caller
            || self.contested
            || self.provisional
            || self.replaces.is_some()
            || self.against.is_some()
    }
}
