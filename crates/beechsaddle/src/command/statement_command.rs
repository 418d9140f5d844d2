//! The `statement_command` module provides `beechsaddle statement`.

use beechsaddle_core::names::WorkspaceName;
use clap::ArgMatches;

use super::ExitStatus;
use super::command_runtime::{platform_client, report, run_async};
use crate::operator::WorkspaceStatement;

/// Prints the account statement of a workspace.
pub(super) fn run(matches: &ArgMatches) -> ExitStatus {
    match run_async(show(matches)) {
        Ok(status) => status,
        Err(error) => report(&error),
    }
}

async fn show(matches: &ArgMatches) -> eyre::Result<ExitStatus> {
    let Some(name) = matches.get_one::<String>("workspace") else {
        return Ok(ExitStatus::Usage);
    };
    let client = platform_client(matches)?;
    let workspace = WorkspaceName::new(name);
    let bills = matches.get_flag("bills");
    let statement = WorkspaceStatement::read(&client, &workspace, bills).await?;
    if statement.budgets.is_empty() {
        eprintln!("the workspace {workspace} has no budget");
        return Ok(ExitStatus::Failed);
    }
    match matches.get_flag("json") {
        true => println!("{}", serde_json::to_string_pretty(&statement)?),
        false => println!("{statement}"),
    }
    Ok(ExitStatus::Done)
}
