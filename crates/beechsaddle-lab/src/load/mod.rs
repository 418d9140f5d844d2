//! The `load` module provides an open-loop load tool that checks every answer.

use clap::{ArgMatches, Command};

/// Describes the `load` subcommand.
pub fn command() -> Command {
    Command::new("load").about("Sends calls at random times and checks every answer")
}

/// Runs the `load` subcommand.
pub fn run(_matches: &ArgMatches) -> eyre::Result<()> {
    eyre::bail!("the load tool is not written yet")
}
