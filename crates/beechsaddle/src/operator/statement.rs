//! The `statement` module provides what a workspace paid, used and has left.

use std::collections::BTreeMap;
use std::fmt;

use beechsaddle_core::accounting::{BillRecord, BudgetAccount, JournalSegment, read_segment_key};
use beechsaddle_core::objects::PlatformObject;
use beechsaddle_core::prelude::*;
use serde::Serialize;

use super::ledger_book::read_book;
use super::{ObjectStore, Result, StoreCaller};

/// What a workspace paid, used and has left, in tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct WorkspaceStatement {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// Its budgets.
    pub budgets: Vec<BudgetLine>,
    /// Its bills that are still in journals, if they were asked for.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub bills: Option<Vec<BillLine>>,
}

/// One budget of a statement, in tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct BudgetLine {
    /// The budget.
    pub budget: BudgetName,
    /// Who answers for it.
    pub owner: OwnerName,
    /// Paid in and not withdrawn.
    pub topped_up: u64,
    /// Billed and counted.
    pub settled: u64,
    /// Held by routers; what they have billed of it is counted a little later.
    pub open: u64,
    /// Possibly spent by routers that died.
    pub written_off: u64,
    /// Neither spent nor held.
    pub free: u64,
    /// How many bills are counted.
    pub bills: u64,
}

/// One bill of a statement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct BillLine {
    /// The budget.
    pub budget: BudgetName,
    /// The idempotency key.
    pub key: KeyText,
    /// The call.
    pub call: String,
    /// What is billed, in tokens.
    pub tokens: u64,
    /// Whether it is billed provisionally.
    pub provisional: bool,
    /// The journal that holds it.
    pub journal: KeyText,
}

impl WorkspaceStatement {
    /// Reads the statement of a workspace.
    pub async fn read<S: ObjectStore>(
        store: &S,
        workspace: &WorkspaceName,
        with_bills: bool,
    ) -> Result<Self> {
        let caller = StoreCaller::new(store);
        let book = read_book(&caller).await?;
        let accounts = book
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

/// The bills in the segments that are still there, one for each key. A bill that a checkpoint carries
/// on stands in its first segment too; a provisional one gives way to the one that replaces it; and of
/// two for one key the ledger counts the first.
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
        // Segments that every reader is past are deleted meanwhile.
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
