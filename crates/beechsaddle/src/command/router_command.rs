//! The `router_command` module provides `beechsaddle router`.

use std::path::PathBuf;

use clap::ArgMatches;

use super::ExitStatus;
use crate::settings::RouterSettings;

/// Runs a router on checked settings.
pub(super) fn run(matches: &ArgMatches) -> ExitStatus {
    let Some(file) = matches.get_one::<PathBuf>("config") else {
        return ExitStatus::Usage;
    };
    let settings = match RouterSettings::try_load(file) {
        Ok(settings) => settings,
        Err(findings) => {
            eprintln!("{findings}");
            return ExitStatus::Findings;
        }
    };
    match crate::router::run(&settings) {
        Ok(()) => ExitStatus::Done,
        Err(error) => {
            eprintln!("{error:#}");
            ExitStatus::Failed
        }
    }
}
