//! The `demo_statement` module provides the workspace's statement after the calls.

use std::fmt;
use std::time::{Duration, Instant};

use beechsaddle::operator::WorkspaceStatement;
use beechsaddle_core::names::WorkspaceName;

use super::demo_fleet::WORKSPACE;
use crate::fleet::LabFleet;

/// How long bills may take into the ledger.
const PATIENCE: Duration = Duration::from_secs(20);

/// How often the ledger is read meanwhile.
const PAUSE: Duration = Duration::from_millis(100);

/// What `beechsaddle statement` says of the workspace.
#[derive(Clone, Debug)]
pub struct DemoStatement {
    statement: WorkspaceStatement,
}

impl DemoStatement {
    /// Waits until the ledger has as many bills as are due, or says what it has after a while.
    pub async fn wait(fleet: &LabFleet, bills: u64) -> eyre::Result<Self> {
        let client = fleet.platform_client()?;
        let workspace = WorkspaceName::new(WORKSPACE);
        let started = Instant::now();
        loop {
            let statement = WorkspaceStatement::read(&client, &workspace, false).await?;
            let statement = DemoStatement { statement };
            if statement.bills() >= bills || started.elapsed() > PATIENCE {
                return Ok(statement);
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// How many bills there are.
    pub fn bills(&self) -> u64 {
        self.statement.budgets.iter().map(|line| line.bills).sum()
    }

    /// What was billed, in tokens.
    pub fn settled(&self) -> u64 {
        self.statement.budgets.iter().map(|line| line.settled).sum()
    }

    /// What was written off, in tokens.
    pub fn written_off(&self) -> u64 {
        let lines = self.statement.budgets.iter();
        lines.map(|line| line.written_off).sum()
    }

    /// By how much any budget was spent or granted above what was paid in.
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
