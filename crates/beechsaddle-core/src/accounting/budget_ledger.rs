//! The `budget_ledger` module provides one shard of the durable budget ledger.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::accounting_error::{AccountingError, Result};
use super::budget_account::BudgetAccount;
use crate::hash::shard_of;
use crate::names::{BudgetName, ObjectKey, OwnerName, TopUpId, WorkspaceName};

/// One shard of the ledger, stored at `ledger/<shard>`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetLedger {
    /// The id of the last write, by which a writer whose reply was lost recognises its own write.
    pub write_id: String,
    pub budgets: BTreeMap<BudgetName, BudgetAccount>,
}

impl BudgetLedger {
    /// Returns the shard of a budget.
    pub fn shard_for(budget: &BudgetName, shard_count: u32) -> u32 {
        shard_of(budget, shard_count)
    }

    /// Returns the platform key of a shard.
    pub fn object_key(shard: u32) -> ObjectKey {
        ObjectKey::new(format!("ledger/{shard}"))
    }

    /// Adds a budget without tokens, unless the workspace already has it, and sets its owner.
    pub fn create_account(
        &mut self,
        budget: &BudgetName,
        workspace: &WorkspaceName,
        owner: &OwnerName,
    ) -> Result<()> {
        let account = self
            .budgets
            .entry(budget.clone())
            .or_insert_with(|| BudgetAccount::new(workspace.clone(), owner.clone()));
        if account.workspace != *workspace {
            return Err(AccountingError::ForeignBudget {
                budget: budget.clone(),
                workspace: account.workspace.clone(),
            });
        }
        account.owner = owner.clone();
        Ok(())
    }

    /// Adds tokens; returns whether the id was new. An id that was applied before changes nothing.
    pub fn top_up(&mut self, budget: &BudgetName, id: &TopUpId, tokens: u64) -> Result<bool> {
        let account = self.account_mut(budget)?;
        Ok(account.top_up(id, tokens))
    }

    /// Withdraws tokens that are neither granted nor billed; returns whether the id was new. An id
    /// that was applied before changes nothing.
    pub fn withdraw(&mut self, budget: &BudgetName, id: &TopUpId, tokens: u64) -> Result<bool> {
        let account = self.account_mut(budget)?;
        if account.withdraw(id, tokens) {
            return Ok(true);
        }
        if account.withdrawals.contains_key(id) {
            return Ok(false);
        }
        Err(AccountingError::InsufficientTokens {
            budget: budget.clone(),
            free: account.free(),
        })
    }

    /// Checks that no account has allocated more than was paid in. Every writer calls this before a
    /// write.
    ///
    /// Spending then stays within what was paid: a router reserves tokens for a call only within
    /// its grant and its durable mark, and bills the call at most that reservation. A grant counts
    /// as allocated from the write that makes it; if its router is lost, the part up to the mark
    /// stays allocated as written off.
    pub fn check_invariant(&self) -> Result<()> {
        for (budget, account) in &self.budgets {
            if account.allocated() > account.paid() {
                return Err(AccountingError::Overcommitted {
                    budget: budget.clone(),
                    allocated: account.allocated(),
                    paid: account.paid(),
                });
            }
        }
        Ok(())
    }

    fn account_mut(&mut self, budget: &BudgetName) -> Result<&mut BudgetAccount> {
        self.budgets
            .get_mut(budget)
            .ok_or_else(|| AccountingError::UnknownBudget(budget.clone()))
    }
}
