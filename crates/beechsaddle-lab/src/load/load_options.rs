//! The `load_options` module provides the command-line options of a load run.

use std::path::PathBuf;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use super::{CallMix, CallerRetryPolicy, PlanOptions};

/// Timeout of one try in seconds.
const DEFAULT_TRY_TIMEOUT_S: u64 = 60;

/// The options of a run, as given on the command line.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// The file with the addresses of a running fleet.
    pub callers: Option<PathBuf>,
    /// The description file of a deployment to start.
    pub fleet: Option<PathBuf>,
    /// Whether faults of routers and the platform are injected during the run.
    pub soak: bool,
    /// Mean arrival rate in calls per second.
    pub rate: f64,
    /// The time during which calls are sent.
    pub span: Duration,
    /// Seed of all random choices.
    pub seed: u64,
    /// Relative weights of the call kinds.
    pub mix: CallMix,
    /// Zipf exponent of the workspaces' shares.
    pub skew: f64,
    /// Upper bound of a call's `max_tokens`.
    pub max_tokens: u64,
    /// The policy by which callers retry calls.
    pub retry_policy: CallerRetryPolicy,
    /// Output path of the latency chart.
    pub plot: Option<PathBuf>,
}

impl LoadOptions {
    /// Adds the arguments that [`LoadOptions::read`] reads.
    pub fn add_to(command: Command) -> Command {
        command
            .arg(path_arg(
                "callers",
                "TOML file that says where a running fleet is",
            ))
            .arg(path_arg(
                "fleet",
                "TOML file of a deployment to start on this machine, as under examples/",
            ))
            .arg(
                Arg::new("soak")
                    .long("soak")
                    .requires("fleet")
                    .action(ArgAction::SetTrue)
                    .help("Kill and freeze routers and cut the platform off all the while"),
            )
            .arg(number_arg::<f64>(
                "rate",
                "20",
                "Calls a second, on average",
            ))
            .arg(number_arg::<u64>(
                "seconds",
                "20",
                "How long calls are sent",
            ))
            .arg(number_arg::<u64>("seed", "1", "Seed of all random choices"))
            .arg(number_arg::<f64>(
                "skew",
                "1.1",
                "Zipf exponent of the workspaces' shares",
            ))
            .arg(number_arg::<u64>(
                "max-tokens",
                "64",
                "Most tokens that a chat generates",
            ))
            .arg(number_arg::<u32>(
                "retries",
                "0",
                "Further tries with the same idempotency key",
            ))
            .arg(
                Arg::new("mix")
                    .long("mix")
                    .value_name("S:W:P:N")
                    .default_value("60:10:25:5")
                    .value_parser(|text: &str| text.parse::<CallMix>())
                    .help("Weights of streamed chats, whole chats, plain and not-repeatable calls"),
            )
            .arg(path_arg("plot", "SVG file for a chart of the latencies"))
    }

    /// Reads the arguments. Each has a default or is optional.
    pub fn read(matches: &ArgMatches) -> Self {
        let seconds = read_number(matches, "seconds", 20);
        LoadOptions {
            callers: matches.get_one("callers").cloned(),
            fleet: matches.get_one("fleet").cloned(),
            soak: matches.get_flag("soak"),
            rate: read_number(matches, "rate", 20.0),
            span: Duration::from_secs(seconds),
            seed: read_number(matches, "seed", 1),
            mix: read_number(matches, "mix", CallMix::default()),
            skew: read_number(matches, "skew", 1.1),
            max_tokens: read_number(matches, "max-tokens", 64),
            retry_policy: CallerRetryPolicy {
                retries: read_number(matches, "retries", 0),
                try_timeout: Duration::from_secs(DEFAULT_TRY_TIMEOUT_S),
            },
            plot: matches.get_one("plot").cloned(),
        }
    }

    /// Returns the plan options for a fleet with this number of workspaces.
    pub fn plan(&self, workspaces: usize) -> PlanOptions {
        PlanOptions {
            seed: self.seed,
            rate: self.rate,
            span: self.span,
            mix: self.mix,
            workspaces,
            skew: self.skew,
            max_tokens: self.max_tokens,
            progress: true,
        }
    }
}

fn path_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help(help)
}

fn number_arg<T>(name: &'static str, value: &'static str, help: &'static str) -> Arg
where
    T: Clone + Send + Sync + std::str::FromStr + 'static,
    T::Err: std::error::Error + Send + Sync,
{
    Arg::new(name)
        .long(name)
        .value_name("N")
        .default_value(value)
        .value_parser(|text: &str| text.parse::<T>())
        .help(help)
}

fn read_number<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str, absent: T) -> T {
    matches.get_one(name).cloned().unwrap_or(absent)
}
