//! The `demo` module provides the demonstration of a whole small fleet on one machine.

use clap::{ArgMatches, Command};

/// Describes the `demo` subcommand.
pub fn command() -> Command {
    Command::new("demo").about("Starts a small fleet, sends a few calls and checks the bills")
}

/// Runs the `demo` subcommand.
pub fn run(_matches: &ArgMatches) -> eyre::Result<()> {
    eyre::bail!("the demo is not written yet")
}
