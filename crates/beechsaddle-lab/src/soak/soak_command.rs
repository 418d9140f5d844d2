//! The `soak_command` module provides the `beechsaddle-lab soak` subcommand.

use std::path::PathBuf;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use eyre::{WrapErr, bail};
use futures::stream::{self, StreamExt};
use tokio::runtime::Builder;

use super::soak_run::{SoakOptions, SoakOutcome, run_seed};

/// Describes the subcommand.
pub fn command() -> Command {
    Command::new("soak")
        .about("Soaks small fleets of gateways in random faults and checks their promises")
        .arg(number("seed", "1", "The first seed"))
        .arg(number("seeds", "50", "How many seeds"))
        .arg(number(
            "seconds",
            "8",
            "How long there are faults, for each seed",
        ))
        .arg(number("routers", "3", "Routers of a fleet"))
        .arg(number("callers", "12", "Callers of a fleet"))
        .arg(number("jobs", "4", "Fleets at the same time"))
        .arg(
            Arg::new("target-faults")
                .long("target-faults")
                .action(ArgAction::SetTrue)
                .help("Has targets crash and name limits, and some calls crash their targets"),
        )
        .arg(
            Arg::new("versions")
                .long("versions")
                .action(ArgAction::SetTrue)
                .help("Has engines of two software versions, and callers that resume streams"),
        )
        .arg(
            Arg::new("announcements")
                .long("announcements")
                .action(ArgAction::SetTrue)
                .help("Changes callers' idle time, and has targets fall silent, leave and ask for rest"),
        )
        .arg(
            Arg::new("discovery-faults")
                .long("discovery-faults")
                .action(ArgAction::SetTrue)
                .help("Has another writer leave odd entries in the store, and the store cut watches off"),
        )
        .arg(
            Arg::new("shutdowns")
                .long("shutdowns")
                .action(ArgAction::SetTrue)
                .help("Shuts routers down in series, with callers that send their calls in parts"),
        )
        .arg(
            Arg::new("logs")
                .long("logs")
                .value_name("DIR")
                .default_value("target/soak")
                .value_parser(value_parser!(PathBuf))
                .help("Where settings and logs go; those of seeds that broke nothing are removed"),
        )
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("NUMBER")
        .default_value(default)
        .value_parser(value_parser!(u64).range(1..))
        .help(help)
}

/// Runs the seeds and prints a result line for each.
///
/// # Errors
///
/// Returns an error if a fleet cannot be run, or if an invariant was violated.
pub fn run(matches: &ArgMatches) -> eyre::Result<()> {
    let read = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or(1);
    let options = SoakOptions {
        program: std::env::current_exe().wrap_err("cannot find the lab's own program")?,
        folder: matches
            .get_one::<PathBuf>("logs")
            .cloned()
            .unwrap_or_else(|| PathBuf::from("target/soak")),
        span: Duration::from_secs(read("seconds")),
        routers: read("routers") as usize,
        callers: read("callers"),
        has_target_faults: matches.get_flag("target-faults"),
        has_versions: matches.get_flag("versions"),
        has_announcements: matches.get_flag("announcements"),
        has_discovery_faults: matches.get_flag("discovery-faults"),
        has_shutdowns: matches.get_flag("shutdowns"),
    };
    let seeds = read("seed")..read("seed") + read("seeds");
    let runtime = Builder::new_multi_thread().enable_all().build()?;
    let failed_seeds = runtime.block_on(async {
        let runs = stream::iter(seeds).map(|seed| run_seed(&options, seed));
        let mut runs = runs.buffer_unordered(read("jobs") as usize);
        let mut failed_seeds = Vec::new();
        while let Some(outcome) = runs.next().await {
            let outcome = outcome?;
            print_outcome(&outcome);
            if !outcome.violations.is_empty() {
                failed_seeds.push(outcome.seed);
            }
        }
        eyre::Ok(failed_seeds)
    })?;
    match failed_seeds.is_empty() {
        true => Ok(()),
        false => bail!("invariants were violated with the seeds {failed_seeds:?}"),
    }
}

fn print_outcome(outcome: &SoakOutcome) {
    println!(
        "seed={} faults={} calls={} answered={} resumed={} continued={} broken={}",
        outcome.seed,
        outcome.faults,
        outcome.calls,
        outcome.answered,
        outcome.resumed,
        outcome.continued,
        outcome.violations.len()
    );
    for violation in &outcome.violations {
        println!("  {violation}");
    }
}
