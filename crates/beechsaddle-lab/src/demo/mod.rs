//! The `demo` module provides a demonstration of a complete small fleet on one machine.
//!
//! It starts a platform, two engines, a plain service and four routers in two failure domains, all
//! as separate processes on loopback, sends a few calls, and compares the responses, the runs at
//! the targets and the statement with each other.

mod demo_calls;
pub mod demo_fleet;
mod demo_hints;
mod demo_outcome;
mod demo_statement;

use clap::{Arg, ArgAction, ArgMatches, Command};
use eyre::WrapErr;

use crate::fleet::LabFleet;
use demo_calls::DemoCalls;
use demo_outcome::DemoOutcome;
use demo_statement::DemoStatement;

/// Returns the `demo` subcommand.
pub fn command() -> Command {
    Command::new("demo")
        .about("Starts a small fleet, sends a few calls and checks the bills")
        .arg(
            Arg::new("stay")
                .long("stay")
                .action(ArgAction::SetTrue)
                .help("Keep the fleet up and print what to try, until interrupted"),
        )
}

/// Runs the `demo` subcommand.
///
/// # Errors
///
/// Returns an error if the fleet does not start, or if a check fails.
pub fn run(matches: &ArgMatches) -> eyre::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("cannot create a runtime")?;
    runtime.block_on(run_demo(matches.get_flag("stay")))
}

async fn run_demo(stay: bool) -> eyre::Result<()> {
    let program = std::env::current_exe().wrap_err("cannot find the lab's own program")?;
    let fleet = LabFleet::try_start(demo_fleet::plan(program)).await?;
    let calls = DemoCalls::new(&fleet).send_all().await?;
    let statement = DemoStatement::wait(&fleet, calls.bills).await?;
    println!("{statement}");
    let outcome = DemoOutcome::evaluate(&fleet, &calls, &statement).await?;
    if stay {
        demo_hints::print_hints(&fleet);
        tokio::signal::ctrl_c().await?;
    }
    for finding in &outcome.findings {
        eprintln!("finding={finding:?}");
    }
    println!("{outcome}");
    eyre::ensure!(outcome.findings.is_empty(), "the demonstration failed");
    Ok(())
}
