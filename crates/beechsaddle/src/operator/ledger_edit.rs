//! The `ledger_edit` module provides the conversion of declared budgets into ledger accounts.

use std::collections::BTreeMap;
use std::fmt;

use beechsaddle_core::accounting::{BudgetAccount, BudgetLedger};
use beechsaddle_core::catalogue::BudgetDeclaration;
use beechsaddle_core::prelude::*;

/// Separates the id of a top-up from the number of a withdrawal. No id of a top-up contains it.
const WITHDRAWAL_MARK: char = '~';

/// The reason why a budget cannot be changed as declared.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerRefusal {
    /// A withdrawal exceeds the free tokens.
    NotFree {
        budget: BudgetName,
        /// The owner of the budget.
        owner: OwnerName,
        /// The tokens to be withdrawn.
        requested: u64,
        /// The tokens that are neither granted nor spent.
        free: u64,
    },
    /// The amount of an existing top-up was raised.
    Raised {
        budget: BudgetName,
        top_up: TopUpId,
        /// Its current amount, in tokens.
        was: u64,
        /// Its declared amount, in tokens.
        requested: u64,
    },
    Foreign {
        budget: BudgetName,
        /// The workspace that owns it.
        workspace: WorkspaceName,
    },
}

impl fmt::Display for LedgerRefusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LedgerRefusal::NotFree {
                budget,
                owner,
                requested,
                free,
            } => write!(
                formatter,
                "budget {budget} (owner {owner}): {requested} tokens cannot be withdrawn; {free} are \
                 free, the rest is granted or spent"
            ),
            LedgerRefusal::Raised {
                budget,
                top_up,
                was,
                requested,
            } => write!(
                formatter,
                "budget {budget}: top-up {top_up} holds {was} tokens and cannot be raised to \
                 {requested}; a further top-up with an id of its own would be right"
            ),
            LedgerRefusal::Foreign { budget, workspace } => write!(
                formatter,
                "budget {budget} belongs to the workspace {workspace} and cannot be moved; a new \
                 budget would be right"
            ),
        }
    }
}

/// Returns the declared form of an account: the top-ups since the last removal, less the
/// withdrawals from each.
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

/// Brings an account to its declared state, `None` for removed, and returns whether anything
/// changed. The edit is idempotent, so that a write whose response was lost can be repeated.
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
    requested: &BTreeMap<TopUpId, u64>,
) -> Result<(), LedgerRefusal> {
    let current = declaration_of(name, account);
    for (id, tokens) in requested {
        let was = current.top_ups.get(id).copied().unwrap_or(0);
        // An id identifies one payment. If a second amount could be recorded under it, a repeat of
        // the first edit would look like a new payment.
        if account.top_ups.contains_key(id) && *tokens > was {
            return Err(LedgerRefusal::Raised {
                budget: name.clone(),
                top_up: id.clone(),
                was,
                requested: *tokens,
            });
        }
        account.top_ups.entry(id.clone()).or_insert(*tokens);
    }
    Ok(())
}

fn withdraw(
    account: &mut BudgetAccount,
    name: &BudgetName,
    requested: &BTreeMap<TopUpId, u64>,
) -> Result<(), LedgerRefusal> {
    let current = declaration_of(name, account);
    let free = account.free();
    let mut total = 0_u64;
    for (id, tokens) in &current.top_ups {
        let left = requested.get(id).copied().unwrap_or(0);
        let surplus = tokens.saturating_sub(left);
        if surplus > 0 {
            total = total.saturating_add(surplus);
            account
                .withdrawals
                .insert(withdrawal_id(account, id), surplus);
        }
    }
    // A router can spend the tokens that it holds at any time without reading the ledger.
    // Withdrawing them would let the budget be overspent.
    if total > free {
        return Err(LedgerRefusal::NotFree {
            budget: name.clone(),
            owner: account.owner.clone(),
            requested: total,
            free,
        });
    }
    Ok(())
}

/// Withdraws all free tokens. Spent tokens stay in the account as the record. While tokens are
/// granted they may still be spent, so the budget is in use and is not removed.
fn retire(account: &mut BudgetAccount, name: &BudgetName) -> Result<(), LedgerRefusal> {
    let granted = account.granted();
    let mut left = account.free();
    if granted > 0 {
        return Err(LedgerRefusal::NotFree {
            budget: name.clone(),
            owner: account.owner.clone(),
            requested: left.saturating_add(granted),
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
    // Top-ups of the removed budget are retired. If a budget of the same name is declared later,
    // withdrawals from them must not reduce its new top-ups.
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
