//! The `ledger_edit` module provides how a declared budget is carried out in the ledger.

use std::collections::BTreeMap;
use std::fmt;

use beechsaddle_core::accounting::{BudgetAccount, BudgetLedger};
use beechsaddle_core::catalogue::BudgetDeclaration;
use beechsaddle_core::prelude::*;

/// Stands between the id of a top-up and the number of a withdrawal from it; no id of a top-up has
/// it.
const WITHDRAWAL_MARK: char = '~';

/// Why a budget cannot be changed as declared.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerRefusal {
    /// A withdrawal takes more than is free.
    NotFree {
        /// The budget.
        budget: BudgetName,
        /// Who answers for it.
        owner: OwnerName,
        /// What would be taken out, in tokens.
        wanted: u64,
        /// What is neither granted nor spent, in tokens.
        free: u64,
    },
    /// A top-up was raised.
    Raised {
        /// The budget.
        budget: BudgetName,
        /// The top-up.
        top_up: TopUpId,
        /// What it was, in tokens.
        was: u64,
        /// What it is declared to be, in tokens.
        wanted: u64,
    },
    /// The budget belongs to another workspace.
    Foreign {
        /// The budget.
        budget: BudgetName,
        /// The workspace that has it.
        workspace: WorkspaceName,
    },
}

impl fmt::Display for LedgerRefusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LedgerRefusal::NotFree {
                budget,
                owner,
                wanted,
                free,
            } => write!(
                formatter,
                "budget {budget} (owner {owner}): {wanted} tokens cannot be withdrawn; {free} are \
                 free, the rest is granted or spent"
            ),
            LedgerRefusal::Raised {
                budget,
                top_up,
                was,
                wanted,
            } => write!(
                formatter,
                "budget {budget}: top-up {top_up} holds {was} tokens and cannot be raised to \
                 {wanted}; a further top-up with an id of its own would be right"
            ),
            LedgerRefusal::Foreign { budget, workspace } => write!(
                formatter,
                "budget {budget} belongs to the workspace {workspace} and cannot be moved; a new \
                 budget would be right"
            ),
        }
    }
}

/// What an account amounts to as a declaration: top-ups since the last removal, less what was
/// withdrawn from each.
pub fn declaration_of(name: &BudgetName, account: &BudgetAccount) -> BudgetDeclaration {
    let mut top_ups = account.top_ups.clone();
    for (id, tokens) in &account.withdrawals {
        let origin = id.as_str().split(WITHDRAWAL_MARK).next();
        if let Some(left) = origin.and_then(|origin| top_ups.get_mut(origin)) {
            *left = left.saturating_sub(*tokens);
        }
    }
    top_ups.retain(|id, tokens| *tokens > 0 && !account.retired.contains(id));
    BudgetDeclaration {
        name: name.clone(),
        owner: account.owner.clone(),
        workspace: account.workspace.clone(),
        top_ups,
    }
}

/// Brings an account to what is declared, `None` for nothing. Doing it twice has the effect of
/// once, so that a write whose answer was lost can be done again. Tells whether anything changed.
pub fn edit_ledger(
    ledger: &mut BudgetLedger,
    name: &BudgetName,
    declared: Option<&BudgetDeclaration>,
) -> Result<bool, LedgerRefusal> {
    let before = ledger.budgets.get(name).cloned();
    let mut account = match (before.clone(), declared) {
        (Some(account), _) => account,
        (None, None) => return Ok(false),
        (None, Some(declared)) => {
            BudgetAccount::new(declared.workspace.clone(), declared.owner.clone())
        }
    };
    if let Some(declared) = declared {
        check_workspace(&account, declared)?;
        account.owner = declared.owner.clone();
        account.is_removed = false;
    }
    match declared {
        Some(declared) => {
            top_up(&mut account, name, &declared.top_ups)?;
            withdraw(&mut account, name, &declared.top_ups)?;
        }
        None => retire(&mut account, name)?,
    }
    let changed = before.as_ref() != Some(&account);
    ledger.budgets.insert(name.clone(), account);
    Ok(changed)
}

fn check_workspace(
    account: &BudgetAccount,
    declared: &BudgetDeclaration,
) -> Result<(), LedgerRefusal> {
    if account.workspace == declared.workspace {
        return Ok(());
    }
    Err(LedgerRefusal::Foreign {
        budget: declared.name.clone(),
        workspace: account.workspace.clone(),
    })
}

fn top_up(
    account: &mut BudgetAccount,
    name: &BudgetName,
    wanted: &BTreeMap<TopUpId, u64>,
) -> Result<(), LedgerRefusal> {
    let current = declaration_of(name, account);
    for (id, tokens) in wanted {
        let was = current.top_ups.get(id).copied().unwrap_or(0);
        // An id stands for one payment. Were a second amount booked under it, a repeat of the
        // first edit could not be told from a new payment.
        if account.top_ups.contains_key(id) && *tokens > was {
            return Err(LedgerRefusal::Raised {
                budget: name.clone(),
                top_up: id.clone(),
                was,
                wanted: *tokens,
            });
        }
        account.top_ups.entry(id.clone()).or_insert(*tokens);
    }
    Ok(())
}

fn withdraw(
    account: &mut BudgetAccount,
    name: &BudgetName,
    wanted: &BTreeMap<TopUpId, u64>,
) -> Result<(), LedgerRefusal> {
    let current = declaration_of(name, account);
    let free = account.free();
    let mut total = 0_u64;
    for (id, tokens) in &current.top_ups {
        let left = wanted.get(id).copied().unwrap_or(0);
        let surplus = tokens.saturating_sub(left);
        if surplus > 0 {
            total = total.saturating_add(surplus);
            account
                .withdrawals
                .insert(withdrawal_id(account, id), surplus);
        }
    }
    // Tokens that a router holds may be spent at any moment without asking the ledger. Taking them
    // out would let the budget be overspent.
    if total > free {
        return Err(LedgerRefusal::NotFree {
            budget: name.clone(),
            owner: account.owner.clone(),
            wanted: total,
            free,
        });
    }
    Ok(())
}

/// Takes out all that is free. What was spent stays in the account as the record of it, and what is
/// granted may still be spent: then the budget is in use.
fn retire(account: &mut BudgetAccount, name: &BudgetName) -> Result<(), LedgerRefusal> {
    let granted = account.granted();
    let mut left = account.free();
    if granted > 0 {
        return Err(LedgerRefusal::NotFree {
            budget: name.clone(),
            owner: account.owner.clone(),
            wanted: left.saturating_add(granted),
            free: left,
        });
    }
    for (id, tokens) in declaration_of(name, account).top_ups.iter().rev() {
        let taken = left.min(*tokens);
        if taken > 0 {
            left -= taken;
            account
                .withdrawals
                .insert(withdrawal_id(account, id), taken);
        }
    }
    // Were a budget of the same name declared later, a withdrawal of these from its new top-ups
    // would take what was just paid.
    account.retired.extend(account.top_ups.keys().cloned());
    account.is_removed = true;
    Ok(())
}

fn withdrawal_id(account: &BudgetAccount, id: &TopUpId) -> TopUpId {
    let prefix = format!("{id}{WITHDRAWAL_MARK}");
    let count = account
        .withdrawals
        .keys()
        .filter(|withdrawal| withdrawal.as_str().starts_with(&prefix))
        .count();
    TopUpId::new(format!("{prefix}{}", count + 1))
}
