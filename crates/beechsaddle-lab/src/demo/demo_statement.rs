//! The `demo_statement` module provides the workspace's statement after the calls.

use std::fmt;
use std::time::{Duration, Instant};

use beechsaddle_core::money::BudgetAccount;
use beechsaddle_core::names::BudgetName;
use beechsaddle_core::objects::PlatformObject;

use super::demo_fleet::{BUDGET, WORKSPACE};
use crate::fleet::LabFleet;
use crate::load::{LedgerTotals, PlatformReader};

/// How long bills may take into the ledger.
const PATIENCE: Duration = Duration::from_secs(20);

/// How often the ledger is read meanwhile.
const PAUSE: Duration = Duration::from_millis(100);

/// What the ledger says of the workspace's budget.
#[derive(Clone, Debug)]
pub struct DemoStatement {
    account: BudgetAccount,
    /// Sums over it.
    pub totals: LedgerTotals,
}

impl DemoStatement {
    /// Waits until the ledger has as many bills as are due, or says what it has after a while.
    pub async fn wait(fleet: &LabFleet, bills: u64) -> eyre::Result<Self> {
        let platform = PlatformReader::new(fleet.platform().to_string());
        let started = Instant::now();
        loop {
            let account = read_account(&platform).await?;
            if let Some(account) = account
                && (account.bills >= bills || started.elapsed() > PATIENCE)
            {
                let mut totals = LedgerTotals::default();
                totals.add(&account);
                return Ok(DemoStatement { account, totals });
            }
            eyre::ensure!(
                started.elapsed() <= PATIENCE,
                "the ledger has no budget {BUDGET}"
            );
            tokio::time::sleep(PAUSE).await;
        }
    }
}

impl fmt::Display for DemoStatement {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let totals = &self.totals;
        writeln!(formatter, "statement workspace={WORKSPACE} budget={BUDGET}")?;
        for (id, tokens) in &self.account.top_ups {
            writeln!(formatter, "  top_up={id} tokens={tokens}")?;
        }
        writeln!(
            formatter,
            "  settled={} bills={} written_off={} open_grants={} free={}",
            totals.settled,
            totals.bills,
            totals.written_off,
            totals.open,
            totals
                .topped_up
                .saturating_sub(totals.settled + totals.written_off + totals.open)
        )
    }
}

async fn read_account(platform: &PlatformReader) -> eyre::Result<Option<BudgetAccount>> {
    let budget = BudgetName::new(BUDGET);
    for (_, object) in platform.read_all("ledger/").await? {
        if let PlatformObject::Ledger(ledger) = object
            && let Some(account) = ledger.budgets.get(&budget)
        {
            return Ok(Some(account.clone()));
        }
    }
    Ok(None)
}
