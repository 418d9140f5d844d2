//! The command line of the lab.

#![forbid(unsafe_code)]

use beechsaddle_lab::{demo, fleet, load, measure, soak, stand_in};
use clap::Command;

fn main() -> eyre::Result<()> {
    let matches = lab_command().get_matches();
    match matches.subcommand() {
        Some(("demo", matches)) => demo::run(matches),
        Some(("stand-in", matches)) => stand_in::run(matches),
        Some(("load", matches)) => load::run(matches),
        Some(("measure", matches)) => measure::run(matches),
        Some(("soak", matches)) => soak::run(matches),
        Some(("router", matches)) => fleet::run_router(matches),
        Some((name, _)) => eyre::bail!("subcommand {name} is not implemented"),
        None => eyre::bail!("a subcommand is needed, see --help"),
    }
}

fn lab_command() -> Command {
    Command::new("beechsaddle-lab")
        .about("Stand-ins, load tool and experiments for beechsaddle")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(demo::command())
        .subcommand(stand_in::command())
        .subcommand(load::command())
        .subcommand(measure::command())
        .subcommand(soak::command())
        .subcommand(fleet::router_command())
}
