//! The `ledger_totals` module provides the sums of all budgets of the ledger.

use beechsaddle_core::accounting::BudgetAccount;
use beechsaddle_core::objects::PlatformObject;

use super::PlatformReader;
use crate::key_values::KeyValues;

/// Sums over all budgets, in tokens unless stated otherwise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LedgerTotals {
    /// Number of budgets.
    pub budgets: u64,
    /// Top-ups less withdrawals.
    pub topped_up: u64,
    /// Billed tokens.
    pub settled: u64,
    /// Number of bills.
    pub bills: u64,
    /// Tokens that routers may have spent before they died.
    pub written_off: u64,
    /// Granted tokens that are not yet settled.
    pub open: u64,
    /// Tokens spent or granted beyond the balance, summed over the budgets; must be zero.
    pub overspend: u64,
}

impl LedgerTotals {
    /// Reads all shards of the ledger.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not respond, or if a shard cannot be decoded.
    pub async fn read(platform: &PlatformReader) -> eyre::Result<Self> {
        let mut totals = LedgerTotals::default();
        for (key, object) in platform.read_all("ledger/").await? {
            let PlatformObject::Ledger(ledger) = object else {
                eyre::bail!("{key} is not a ledger");
            };
            for account in ledger.budgets.values() {
                totals.add(account);
            }
        }
        Ok(totals)
    }

    /// Adds the account of a budget.
    pub fn add(&mut self, account: &BudgetAccount) {
        let paid_in: u64 = account.top_ups.values().sum();
        let taken_out: u64 = account.withdrawals.values().sum();
        let topped_up = paid_in.saturating_sub(taken_out);
        let open = account
            .grants
            .values()
            .map(|grant| grant.amount.saturating_sub(grant.folded))
            .sum::<u64>();
        let spent = account.settled + account.written_off;
        self.budgets += 1;
        self.topped_up += topped_up;
        self.settled += account.settled;
        self.bills += account.bills;
        self.written_off += account.written_off;
        self.open += open;
        self.overspend += (spent + open).saturating_sub(topped_up);
    }

    /// Returns the totals as key-value pairs.
    pub fn pairs(&self) -> KeyValues {
        KeyValues::new()
            .with("topped_up", self.topped_up)
            .with("settled", self.settled)
            .with("bills", self.bills)
            .with("open_grants", self.open)
            .with("written_off", self.written_off)
            .with("overspend", self.overspend)
    }
}
