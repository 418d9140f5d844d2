//! The `statement` module provides account statements of workspaces.

use std::collections::BTreeMap;
use std::fmt;

use beechsaddle_core::accounting::{BillRecord, BudgetAccount, JournalSegment, read_segment_key};
use beechsaddle_core::objects::PlatformObject;
use beechsaddle_core::prelude::*;
use serde::Serialize;

use super::ledger_snapshot::read_ledger;
use super::{ObjectStore, Result, StoreCaller};

/// The account statement of a workspace, in tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct WorkspaceStatement {
    pub workspace: WorkspaceName,
    pub budgets: Vec<BudgetLine>,
    /// Its bills that are still in journals, if requested.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub bills: Option<Vec<BillLine>>,
}

/// A budget of a statement, in tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct BudgetLine {
    pub budget: BudgetName,
    /// The owner of the budget.
    pub owner: OwnerName,
    /// Paid and not withdrawn.
    pub topped_up: u64,
    /// Billed and folded into the ledger.
    pub settled: u64,
    /// Granted to routers. Bills against it are folded into the ledger later.
    pub open: u64,
    /// Held by routers that died, and possibly spent.
    pub written_off: u64,
    /// Neither spent nor granted.
    pub free: u64,
    /// The number of bills folded into the ledger.
    pub bills: u64,
}

/// A bill of a statement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct BillLine {
    pub budget: BudgetName,
    /// The idempotency key of the call.
    pub key: KeyText,
    pub call: String,
    /// The billed tokens.
    pub tokens: u64,
    /// Whether the bill is provisional, and may be replaced by a final one.
    pub provisional: bool,
    /// The journal that contains the bill.
    pub journal: KeyText,
}

impl WorkspaceStatement {
    /// Reads the statement of a workspace, with its bills if `with_bills` is set.
    pub async fn read<S: ObjectStore>(
        store: &S,
        workspace: &WorkspaceName,
        with_bills: bool,
    ) -> Result<Self> {
        let caller = StoreCaller::new(store);
        let ledger = read_ledger(&caller).await?;
        let accounts = ledger
            .accounts()
            .filter(|(_, account)| account.workspace == *workspace);
        let mut budgets: Vec<BudgetLine> = accounts
            .map(|(name, account)| line_of(name, account))
            .collect();
        budgets.sort_by(|left, right| left.budget.cmp(&right.budget));
        let bills = match with_bills {
            true => Some(read_bills(&caller, workspace).await?),
            false => None,
        };
        Ok(WorkspaceStatement {
            workspace: workspace.clone(),
            budgets,
            bills,
        })
    }
}

impl fmt::Display for WorkspaceStatement {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "workspace {}", self.workspace)?;
        for line in &self.budgets {
            write!(
                formatter,
                "\nbudget {} owner={} topped_up={} settled={} open={} written_off={} free={} \
                 bills={}",
                line.budget,
                line.owner,
                line.topped_up,
                line.settled,
                line.open,
                line.written_off,
                line.free,
                line.bills
            )?;
        }
        for bill in self.bills.iter().flatten() {
            write!(
                formatter,
                "\nbill {} key={} call={} tokens={} provisional={} journal={}",
                bill.budget, bill.key, bill.call, bill.tokens, bill.provisional, bill.journal
            )?;
        }
        Ok(())
    }
}

fn line_of(name: &BudgetName, account: &BudgetAccount) -> BudgetLine {
    BudgetLine {
        budget: name.clone(),
        owner: account.owner.clone(),
        topped_up: account.paid(),
        settled: account.settled,
        open: account.granted(),
        written_off: account.written_off,
        free: account.free(),
        bills: account.bills,
    }
}

/// Returns the bills in the remaining journal segments, one for each key. A bill carried over by a
/// checkpoint also appears in its first segment, a provisional bill is replaced by the final one,
/// and of two bills for one key the ledger counts the first.
async fn read_bills<S: ObjectStore>(
    caller: &StoreCaller<'_, S>,
    workspace: &WorkspaceName,
) -> Result<Vec<BillLine>> {
    let mut bills: BTreeMap<KeyText, BillLine> = BTreeMap::new();
    for key in caller.list(ObjectKey::new("journal/")).await? {
        let Some((journal, _)) = read_segment_key(&key) else {
            continue;
        };
        let stored = caller.read(&key).await?;
        // Segments that all readers have processed may be deleted after the listing.
        let Some(PlatformObject::Segment(segment)) = stored.map(|stored| stored.object) else {
            continue;
        };
        for bill in bills_of(&segment).filter(|bill| bill.key.workspace == *workspace) {
            let line = bill_line(&journal, bill);
            let replaced = bills
                .get(&line.key)
                .is_none_or(|known| known.provisional && !line.provisional);
            if replaced {
                bills.insert(line.key.clone(), line);
            }
        }
    }
    Ok(bills.into_values().collect())
}

fn bills_of(segment: &JournalSegment) -> impl Iterator<Item = &BillRecord> {
    let carried = segment.carried.iter().map(|(_, bill)| bill);
    carried.chain(&segment.bills)
}

fn bill_line(journal: &KeyText, bill: &BillRecord) -> BillLine {
    BillLine {
        budget: bill.budget.clone(),
        key: bill.key.text.clone(),
        call: bill.call.to_string(),
        tokens: bill.tokens,
        provisional: bill.provisional,
        journal: journal.clone(),
    }
}
