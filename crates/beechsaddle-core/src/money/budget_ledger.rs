//! The `budget_ledger` module provides one shard of the durable state of budgets.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::budget_account::BudgetAccount;
use super::money_error::{MoneyError, Result};
use crate::hash::shard_of;
use crate::names::{BudgetName, ObjectKey, OwnerName, TopUpId, WorkspaceName};

/// One shard of the ledger: some budgets, at `ledger/<shard>`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetLedger {
    /// The id of the last write, so that a writer whose answer was lost can recognise its write.
    pub write_id: String,
    /// The budgets of this shard.
    pub budgets: BTreeMap<BudgetName, BudgetAccount>,
}

impl BudgetLedger {
    /// The shard that a budget is in.
    pub fn shard_for(budget: &BudgetName, shard_count: u32) -> u32 {
        shard_of(budget, shard_count)
    }

    /// The key of a shard at the platform.
    pub fn object_key(shard: u32) -> ObjectKey {
        ObjectKey::new(format!("ledger/{shard}"))
    }

    /// Adds a budget without tokens, unless the workspace has it already.
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
            return Err(MoneyError::ForeignBudget {
                budget: budget.clone(),
                workspace: account.workspace.clone(),
            });
        }
        account.owner = owner.clone();
        Ok(())
    }

    /// Pays tokens in. An id that was applied before changes nothing; tells whether it was new.
    pub fn top_up(&mut self, budget: &BudgetName, id: &TopUpId, tokens: u64) -> Result<bool> {
        let account = self.account_mut(budget)?;
        Ok(account.top_up(id, tokens))
    }

    /// Takes tokens out that are neither granted nor billed. An id that was applied before changes
    /// nothing; tells whether it was new.
    pub fn withdraw(&mut self, budget: &BudgetName, id: &TopUpId, tokens: u64) -> Result<bool> {
        let account = self.account_mut(budget)?;
        if account.withdraw(id, tokens) {
            return Ok(true);
        }
        if account.withdrawals.contains_key(id) {
            return Ok(false);
        }
        Err(MoneyError::NotFree {
            budget: budget.clone(),
            free: account.free(),
        })
    }

    /// Checks that no account promises more than was paid in. Every writer calls it first.
    pub fn check_invariant(&self) -> Result<()> {
        for (budget, account) in &self.budgets {
            if account.promised() > account.paid() {
                return Err(MoneyError::Overspent {
                    budget: budget.clone(),
                    promised: account.promised(),
                    paid: account.paid(),
                });
            }
        }
        Ok(())
    }

    fn account_mut(&mut self, budget: &BudgetName) -> Result<&mut BudgetAccount> {
        self.budgets
            .get_mut(budget)
            .ok_or_else(|| MoneyError::UnknownBudget(budget.clone()))
    }
}
