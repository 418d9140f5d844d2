//! The `demo_statement` module provides the workspace's statement after the calls.

use std::fmt;
use std::time::{Duration, Instant};

use beechsaddle::operator::WorkspaceStatement;
use beechsaddle_core::names::WorkspaceName;

use super::demo_fleet::WORKSPACE;
use crate::fleet::LabFleet;

/// How long bills may take to reach the ledger.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);

/// The time between two reads of the ledger.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The statement of the workspace, as `beechsaddle statement` prints it.
#[derive(Clone, Debug)]
pub struct DemoStatement {
    statement: WorkspaceStatement,
}

impl DemoStatement {
    /// Waits until the ledger has `bills` bills, or until the timeout, and returns the statement.
    pub async fn wait(fleet: &LabFleet, bills: u64) -> eyre::Result<Self> {
        let client = fleet.platform_client()?;
        let workspace = WorkspaceName::new(WORKSPACE);
        let started = Instant::now();
        loop {
            let statement = WorkspaceStatement::read(&client, &workspace, false).await?;
            let statement = DemoStatement { statement };
            if statement.bills() >= bills || started.elapsed() > SETTLE_TIMEOUT {
                return Ok(statement);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the number of bills.
    pub fn bills(&self) -> u64 {
        self.statement.budgets.iter().map(|line| line.bills).sum()
    }

    /// Returns the billed tokens.
    pub fn settled(&self) -> u64 {
        self.statement.budgets.iter().map(|line| line.settled).sum()
    }

    /// Returns the tokens that were written off.
    pub fn written_off(&self) -> u64 {
        let lines = self.statement.budgets.iter();
        lines.map(|line| line.written_off).sum()
    }

    /// Returns the tokens that were spent or granted beyond the balance, summed over the budgets.
    pub fn overspend(&self) -> u64 {
        let lines = self.statement.budgets.iter();
        lines
            .map(|line| {
                let used = line.settled + line.written_off + line.open;
                used.saturating_sub(line.topped_up)
            })
            .sum()
    }
}

impl fmt::Display for DemoStatement {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.statement.fmt(formatter)
    }
}
