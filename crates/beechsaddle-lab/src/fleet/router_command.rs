//! The `router_command` module provides the lab's hidden `router` subcommand.

use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use eyre::eyre;

use beechsaddle::gateway::{GatewaySettings, is_gateway_file};
use beechsaddle::settings::RouterSettings;

/// Returns the hidden `router` subcommand.
pub fn router_command() -> Command {
    Command::new("router")
        .about("Runs a router of the fleet, as the shipped binary does")
        .hide(true)
        .arg(
            Arg::new("config")
                .long("config")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("The router's settings"),
        )
        .arg(with_parent_argument())
}

/// Runs a router or gateway until it has shut down gracefully.
pub fn run_router(matches: &ArgMatches) -> eyre::Result<()> {
    end_with_parent(matches);
    let file = matches
        .get_one::<PathBuf>("config")
        .ok_or_else(|| eyre!("--config is missing"))?;
    if is_gateway_file(file) {
        let settings = GatewaySettings::try_load(file).map_err(|findings| eyre!("{findings}"))?;
        return beechsaddle::gateway::run(settings, file);
    }
    let settings = RouterSettings::try_load(file).map_err(|findings| eyre!("{findings}"))?;
    beechsaddle::router::run(&settings)
}

/// Returns the flag that makes a process exit together with its parent.
pub(crate) fn with_parent_argument() -> Arg {
    Arg::new("with-parent")
        .long("with-parent")
        .action(ArgAction::SetTrue)
        .hide(true)
        .help("End when standard input is closed")
}

/// Exits this process when its standard input closes, if `--with-parent` is set.
///
/// A test or demo that is killed cannot stop its child processes. Its end of the pipe closes with
/// it, so that no child is left running.
pub(crate) fn end_with_parent(matches: &ArgMatches) {
    if !matches.get_flag("with-parent") {
        return;
    }
    std::thread::spawn(|| {
        let _ = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
        std::process::exit(1);
    });
}
