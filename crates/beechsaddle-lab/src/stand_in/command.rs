//! The `command` module provides the `stand-in` subcommand.

use std::net::SocketAddr;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use beechsaddle_core::names::ModelName;

use super::engine::{EngineOptions, EngineServer};
use super::plain::{PlainOptions, PlainServer};
use super::platform::{PlatformOptions, PlatformServer};
use crate::fleet::{end_with_parent, with_parent_argument};

/// Returns the arguments of the `stand-in` subcommand.
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
        .subcommand(engine_command())
        .subcommand(plain_command())
}

/// Runs the `stand-in` subcommand until the process ends.
pub fn run(matches: &ArgMatches) -> eyre::Result<()> {
    if let Some((_, matches)) = matches.subcommand() {
        end_with_parent(matches);
    }
    match matches.subcommand() {
        Some(("platform", matches)) => run_platform(matches),
        Some(("engine", matches)) => run_engine(matches),
        Some(("plain", matches)) => run_plain(matches),
        Some((name, _)) => eyre::bail!("stand-in {name} is not implemented"),
        None => eyre::bail!("no stand-in given; see --help"),
    }
}

fn platform_command() -> Command {
    Command::new("platform")
        .about("Serves the platform's object API from memory")
        .arg(listen_argument())
        .arg(with_parent_argument())
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

fn engine_command() -> Command {
    Command::new("engine")
        .about("Serves in place of a model engine")
        .arg(listen_argument())
        .arg(with_parent_argument())
        .arg(seed_argument())
        .arg(
            Arg::new("model")
                .long("model")
                .value_name("NAME")
                .help("The model that is loaded [default: small]"),
        )
        .arg(number_argument("version", "Its version [default: 1]"))
        .arg(number_argument(
            "first-token-ms",
            "Time to the first token [default: 5]",
        ))
        .arg(number_argument(
            "between-tokens-ms",
            "Time between tokens of a single request [default: 1]",
        ))
        .arg(number_argument(
            "slowdown-permille",
            "How much longer that is for each further request, in thousandths [default: 50]",
        ))
        .arg(number_argument(
            "answer-tokens",
            "Mean length of an answer; a word tokens=N in the prompt goes before it [default: 16]",
        ))
        .arg(number_argument(
            "batch-max",
            "How many requests run at a time [default: 256]",
        ))
        .arg(number_argument(
            "load-ms",
            "How long an order takes to come into force [default: 50]",
        ))
        .arg(
            Arg::new("ignores-fence")
                .long("ignores-fence")
                .action(ArgAction::SetTrue)
                .help("Take orders with an old fencing number, too"),
        )
}

fn run_engine(matches: &ArgMatches) -> eyre::Result<()> {
    let mut options = EngineOptions {
        listen: read_listen(matches),
        ..EngineOptions::default()
    };
    if let Some(model) = matches.get_one::<String>("model") {
        options.state.model = ModelName::new(model);
    }
    options.seed = read_number(matches, "seed", options.seed);
    options.state.version = read_number(matches, "version", options.state.version);
    options.first_token_ms = read_number(matches, "first-token-ms", options.first_token_ms);
    options.between_tokens_ms =
        read_number(matches, "between-tokens-ms", options.between_tokens_ms);
    options.slowdown_permille =
        read_number(matches, "slowdown-permille", options.slowdown_permille);
    options.answer_tokens = read_number(matches, "answer-tokens", options.answer_tokens);
    options.batch_max = read_number(matches, "batch-max", options.batch_max as u64) as usize;
    options.load_ms = read_number(matches, "load-ms", options.load_ms);
    options.checks_fence = !matches.get_flag("ignores-fence");
    let server = EngineServer::try_start(options)?;
    println!("listening={}", server.address());
    server.join();
    Ok(())
}

fn plain_command() -> Command {
    Command::new("plain")
        .about("Serves in place of a plain service: answers each call with what it saw of it")
        .arg(listen_argument())
        .arg(with_parent_argument())
        .arg(seed_argument())
        .arg(number_argument(
            "answer-ms",
            "How long a call takes [default: 0]",
        ))
}

fn run_plain(matches: &ArgMatches) -> eyre::Result<()> {
    let options = PlainOptions {
        listen: read_listen(matches),
        seed: read_number(matches, "seed", 1),
        answer_ms: read_number(matches, "answer-ms", 0),
    };
    let server = PlainServer::try_start(options)?;
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
