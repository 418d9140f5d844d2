//! The `command_line` module provides the definition of the command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Arg, ArgAction, Command, value_parser};

/// The default time limit of `--wait`, in seconds.
const WAIT_SECONDS: &str = "30";

/// The default number of ledger shards of a new fleet.
const LEDGER_SHARDS: &str = "8192";

/// The default number of dedup shards of a new fleet, derived in `docs/ONCE.md`.
const DEDUP_SHARDS: &str = "512";

/// Returns the definition of the command line.
pub fn command_line() -> Command {
    Command::new("beechsaddle")
        .version(env!("CARGO_PKG_VERSION"))
        .about("A router fleet for prepaid token budgets")
        .after_help(
            "Exit status: 0 done, 1 failed, 2 wrong command line, 3 wrong files, 4 conflict with \
             another edit, 5 budget cannot be changed in this way, 6 applied but not everywhere, \
             7 outcome unknown: the same command again tells.",
        )
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(router())
        .subcommand(check())
        .subcommand(catalogue())
        .subcommand(status())
        .subcommand(statement())
        .subcommand(explain())
}

fn router() -> Command {
    Command::new("router")
        .about("Runs a router until it is told to stop")
        .long_about(
            "Runs a router until it is told to stop. The settings are checked first, and a router \
             never starts on doubtful ones. SIGTERM or SIGINT shuts it down gracefully: it takes \
             nothing new, ends every open call, hands over its budgets and bills, and exits.",
        )
        .arg(
            Arg::new("config")
                .long("config")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("The router's settings (docs/SETTINGS.md)"),
        )
}

fn check() -> Command {
    Command::new("check")
        .about("Checks settings files and shows all that is wrong with them")
        .long_about(
            "Checks settings files and shows all that is wrong with them, one line each: \
             `file:line: what, and what would be right`.",
        )
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .required(true)
                .num_args(1..)
                .value_parser(value_parser!(PathBuf))
                .help("Settings files of routers"),
        )
}

fn catalogue() -> Command {
    Command::new("catalogue")
        .about("Checks, compares, applies and shows the catalogue")
        .long_about(
            "Checks, compares, applies and shows the catalogue: workspaces, budgets, services and \
             models, kept as TOML files in a directory under version control (docs/CATALOGUE.md).",
        )
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("check")
                .about("Shows all that is wrong with the files; asks no platform")
                .arg(directory()),
        )
        .subcommand(
            Command::new("diff")
                .about("Shows what an apply would change, and what others changed")
                .arg(directory())
                .arg(platform())
                .arg(base()),
        )
        .subcommand(apply())
        .subcommand(
            Command::new("show")
                .about("Shows the catalogue that is committed, in the form of the files")
                .arg(platform()),
        )
}

fn apply() -> Command {
    Command::new("apply")
        .about("Commits what the files declare")
        .long_about(
            "Commits what the files declare, as one change. If others changed other entries since \
             these files were last in step, the change goes on top of theirs; if they changed the \
             same entries, nothing is changed and the conflict is shown. Applying the same files \
             again is harmless and tells whether an earlier apply took effect.",
        )
        .arg(directory())
        .arg(platform())
        .arg(base())
        .arg(
            Arg::new("author")
                .long("author")
                .value_name("NAME")
                .help("Who applies it; the user's login name when not given"),
        )
        .arg(
            Arg::new("wait")
                .long("wait")
                .action(ArgAction::SetTrue)
                .help("Wait until it is in force at every router, and name those it is not at"),
        )
        .arg(
            Arg::new("wait-seconds")
                .long("wait-seconds")
                .value_name("SECONDS")
                .default_value(WAIT_SECONDS)
                .value_parser(value_parser!(u64).range(1..=3_600))
                .help("How long --wait waits at most"),
        )
        .arg(shards(
            "ledger-shards",
            LEDGER_SHARDS,
            "Ledger shards of a fleet that is new",
        ))
        .arg(shards(
            "dedup-shards",
            DEDUP_SHARDS,
            "Dedup shards of a fleet that is new",
        ))
}

fn status() -> Command {
    Command::new("status")
        .about("Shows the status of a running router")
        .arg(
            Arg::new("address")
                .value_name("ADDRESS")
                .required(true)
                .value_parser(value_parser!(SocketAddr))
                .help("The router's admin address, as 10.0.0.7:7103"),
        )
        .arg(json())
}

fn statement() -> Command {
    Command::new("statement")
        .about("Shows what a workspace paid, used and has left")
        .arg(
            Arg::new("workspace")
                .value_name("WORKSPACE")
                .required(true)
                .help("The workspace"),
        )
        .arg(platform())
        .arg(json())
        .arg(
            Arg::new("bills")
                .long("bills")
                .action(ArgAction::SetTrue)
                .help("List the bills that are still in journals"),
        )
}

fn explain() -> Command {
    Command::new("explain")
        .about("Shows from logs what became of a call, or of all that were lost")
        .long_about(
            "Shows from the logs of routers what became of a call, in order, with what was believed \
             of its targets, its workspace and the routers (lines of the call itself have a star). \
             With --losses it sums up the calls that were refused, failed, late or repeated.",
        )
        .override_usage("beechsaddle explain ID LOG...\n       beechsaddle explain --losses [--plot FILE] LOG...")
        .arg(
            Arg::new("words")
                .value_name("ID | LOG")
                .required(true)
                .num_args(1..)
                .help("The id of the call, and files with routers' logs"),
        )
        .arg(
            Arg::new("losses")
                .long("losses")
                .action(ArgAction::SetTrue)
                .help("Sum up all lost calls by cause, workspace, target and second"),
        )
        .arg(
            Arg::new("plot")
                .long("plot")
                .value_name("FILE")
                .requires("losses")
                .value_parser(value_parser!(PathBuf))
                .help("Draw them over time as an SVG file"),
        )
}

fn directory() -> Arg {
    Arg::new("directory")
        .value_name("DIR")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("The directory of the catalogue's TOML files")
}

fn platform() -> Arg {
    Arg::new("platform")
        .long("platform")
        .value_name("ADDRESS")
        .required(true)
        .value_parser(value_parser!(SocketAddr))
        .help("The platform's object API, as 10.0.0.1:7000")
}

fn base() -> Arg {
    Arg::new("base")
        .long("base")
        .value_name("REVISION")
        .value_parser(value_parser!(u64))
        .help("The revision the files are based on, in place of what `.beechsaddle-base` says")
}

fn shards(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("COUNT")
        .default_value(default)
        .value_parser(value_parser!(u32).range(1..=65_536))
        .help(help)
}

fn json() -> Arg {
    Arg::new("json")
        .long("json")
        .action(ArgAction::SetTrue)
        .help("Print JSON")
}
