//! The `command` module provides the `stand-in` subcommand.

use std::net::SocketAddr;

use clap::{Arg, ArgMatches, Command, value_parser};

use super::platform::{PlatformOptions, PlatformServer};

/// Describes the `stand-in` subcommand.
pub fn command() -> Command {
    Command::new("stand-in")
        .about("Serves in place of the platform, an engine or a plain service")
        .long_about(
            "Serves in place of the platform, an engine or a plain service until the process ends. \
             The first line printed is listening=ADDRESS.",
        )
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(platform_command())
}

/// Runs the `stand-in` subcommand.
pub fn run(matches: &ArgMatches) -> eyre::Result<()> {
    match matches.subcommand() {
        Some(("platform", matches)) => run_platform(matches),
        Some((name, _)) => eyre::bail!("stand-in {name} has no code"),
        None => eyre::bail!("a stand-in is needed, see --help"),
    }
}

fn platform_command() -> Command {
    Command::new("platform")
        .about("Serves the platform's object API from memory")
        .arg(listen_argument())
        .arg(seed_argument())
}

fn run_platform(matches: &ArgMatches) -> eyre::Result<()> {
    let options = PlatformOptions {
        listen: read_listen(matches),
        seed: read_number(matches, "seed", 1),
        ..PlatformOptions::default()
    };
    let server = PlatformServer::try_start(options)?;
    println!("listening={}", server.address());
    server.join();
    Ok(())
}

fn listen_argument() -> Arg {
    Arg::new("listen")
        .long("listen")
        .value_name("ADDRESS:PORT")
        .value_parser(value_parser!(SocketAddr))
        .help("Where to listen; port 0 picks a free one [default: 127.0.0.1:0]")
}

fn seed_argument() -> Arg {
    number_argument("seed", "Seed of all chances [default: 1]")
}

fn number_argument(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .value_parser(value_parser!(u64))
        .help(help)
}

fn read_listen(matches: &ArgMatches) -> SocketAddr {
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    matches.get_one("listen").copied().unwrap_or(loopback)
}

fn read_number(matches: &ArgMatches, name: &str, default: u64) -> u64 {
    matches.get_one(name).copied().unwrap_or(default)
}
