//! The `measure` module provides the experiments behind the figures in the documentation.
//!
//! A new experiment needs a `mod` line and an entry in [`EXPERIMENTS`].

mod catalogue_cost;
mod domain_bytes;
mod experiment;
mod fleet_cost;
pub mod grants;
mod idle_streams;
pub mod leave;
mod object_bytes;
mod overhead;
mod peer_bytes;
mod peer_fleet;
mod peer_heartbeats;
mod peer_memory;
mod peer_round_trip;
pub mod peer_samples;
mod peers;
mod process_cost;
pub mod retries;
pub mod routing;
mod run_async;
pub mod sample_objects;
mod slope_fit;
mod slopes;
mod small_fleet;
mod spread;
mod thread_cost;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

pub use experiment::MeasureExperiment;
pub use process_cost::ProcessCost;
pub use slope_fit::SlopeFit;
pub use thread_cost::read_thread_cpu;

/// All experiments, in the order of `measure --list`.
pub const EXPERIMENTS: &[MeasureExperiment] = &[
    MeasureExperiment {
        name: "object-bytes",
        shows: "bytes of each kind of platform object against what it holds",
        run: object_bytes::run,
    },
    MeasureExperiment {
        name: "catalogue-cost",
        shows: "memory of a whole catalogue and time of an edit against its entries",
        run: catalogue_cost::run,
    },
    MeasureExperiment {
        name: "overhead",
        shows: "latency and processor time that a router adds to the same engine asked straight",
        run: overhead::run,
    },
    MeasureExperiment {
        name: "slope-routers",
        shows: "idle fleet: cost of a router, platform calls, against routers of one domain",
        run: slopes::routers,
    },
    MeasureExperiment {
        name: "slope-domains",
        shows: "idle fleet: cost of a router, platform calls, against domains of two routers",
        run: slopes::domains,
    },
    MeasureExperiment {
        name: "slope-targets",
        shows: "idle fleet: cost of a router against targets of its domain",
        run: slopes::targets,
    },
    MeasureExperiment {
        name: "slope-budgets",
        shows: "idle fleet: cost of a router, platform calls, against budgets held",
        run: slopes::budgets,
    },
    MeasureExperiment {
        name: "slope-bills",
        shows: "busy fleet: cost of a router, platform calls, against bills a second",
        run: slopes::bills,
    },
    MeasureExperiment {
        name: "slope-streams",
        shows: "memory and processor time of a router against idle open streams",
        run: slopes::streams,
    },
    MeasureExperiment {
        name: "spread",
        shows: "time until an edit and a leave are in force at all routers, against routers",
        run: spread::run,
    },
    MeasureExperiment {
        name: "peers",
        shows: "bytes, processor time, memory and latency of messages between routers",
        run: peers::run,
    },
    MeasureExperiment {
        name: "domain-bytes",
        shows: "heartbeat and catalogue bytes between routers against the routers of a domain",
        run: domain_bytes::run,
    },
    MeasureExperiment {
        name: "routing",
        shows: "times to first token and prefix hits of each way to choose a target",
        run: routing::run,
    },
    MeasureExperiment {
        name: "grants",
        shows: "false refusals and write-off of grants, and what they cost the platform",
        run: grants::run,
    },
    MeasureExperiment {
        name: "retries",
        shows: "attempts for each call when targets fail, with the retry budget and without",
        run: retries::run,
    },
    MeasureExperiment {
        name: "leave",
        shows: "time until a leaving target gets no work, probes and news against routers",
        run: leave::run,
    },
];

/// The seed if none is given.
const DEFAULT_SEED: u64 = 1;

/// Returns the arguments of the `measure` subcommand.
pub fn command() -> Command {
    Command::new("measure")
        .about("Runs one experiment and prints a key=value line for each measured point")
        .arg(
            Arg::new("name")
                .value_name("NAME")
                .required_unless_present("list")
                .help("Which experiment to run"),
        )
        .arg(
            Arg::new("list")
                .long("list")
                .action(ArgAction::SetTrue)
                .help("Print the name of each experiment and what it shows"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("N")
                .value_parser(value_parser!(u64))
                .help("Seed of all random choices [default: 1]"),
        )
}

/// Runs the `measure` subcommand and prints the results.
pub fn run(matches: &ArgMatches) -> eyre::Result<()> {
    if matches.get_flag("list") {
        print_list();
        return Ok(());
    }
    let name = matches.get_one::<String>("name").map(String::as_str);
    let name = name.unwrap_or_default();
    let seed = matches.get_one("seed").copied().unwrap_or(DEFAULT_SEED);
    let Some(experiment) = find(name) else {
        eyre::bail!("no experiment is named {name:?}; see measure --list");
    };
    for line in (experiment.run)(seed) {
        println!("experiment={} seed={seed} {line}", experiment.name);
    }
    Ok(())
}

/// Returns the experiment with a name.
pub fn find(name: &str) -> Option<&'static MeasureExperiment> {
    EXPERIMENTS
        .iter()
        .find(|experiment| experiment.name == name)
}

fn print_list() {
    for experiment in EXPERIMENTS {
        println!("{:<16} {}", experiment.name, experiment.shows);
    }
}
