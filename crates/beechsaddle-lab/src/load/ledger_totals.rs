//! The `ledger_totals` module provides what the ledger says of all budgets together.

use beechsaddle_core::accounting::BudgetAccount;
use beechsaddle_core::objects::PlatformObject;

use super::PlatformReader;
use crate::key_values::KeyValues;

/// Sums over budgets, in tokens unless said otherwise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LedgerTotals {
    /// Budgets.
    pub budgets: u64,
    /// Paid in and not taken out again.
    pub topped_up: u64,
    /// Billed.
    pub settled: u64,
    /// How many bills that are.
    pub bills: u64,
    /// What routers that died may have spent.
    pub written_off: u64,
    /// Granted and not yet settled.
    pub open: u64,
    /// By how much any budget was spent above what was paid in; must be zero.
    pub overspend: u64,
}

impl LedgerTotals {
    /// Reads all shards of the ledger.
    ///
    /// # Errors
    ///
    /// When the platform does not answer, or a shard cannot be decoded.
    pub async fn read(platform: &PlatformReader) -> eyre::Result<Self> {
        let mut totals = LedgerTotals::default();
        for (key, object) in platform.read_all("ledger/").await? {
            let PlatformObject::Ledger(ledger) = object else {
                eyre::bail!("{key} is no ledger");
            };
            for account in ledger.budgets.values() {
                totals.add(account);
            }
        }
        Ok(totals)
    }

    /// Adds a budget.
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

    /// The totals as pairs.
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
