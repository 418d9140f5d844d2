//! The `stand_in` module provides small servers that take the place of the platform and of targets.

use clap::{ArgMatches, Command};

/// Describes the `stand-in` subcommand.
pub fn command() -> Command {
    Command::new("stand-in").about("Serves in place of the platform, an engine or a plain service")
}

/// Runs the `stand-in` subcommand.
pub fn run(_matches: &ArgMatches) -> eyre::Result<()> {
    eyre::bail!("the stand-ins are not written yet")
}
