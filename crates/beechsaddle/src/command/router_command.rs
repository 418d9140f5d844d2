//! The `router_command` module provides `beechsaddle router`.

use std::path::{Path, PathBuf};

use clap::ArgMatches;

use super::ExitStatus;
use crate::gateway::{GatewaySettings, is_gateway_file};
use crate::settings::RouterSettings;

/// Checks the settings and runs a router with them.
pub(super) fn run(matches: &ArgMatches) -> ExitStatus {
    let Some(file) = matches.get_one::<PathBuf>("config") else {
        return ExitStatus::Usage;
    };
    // A `[gateway]` table in the settings selects the platform's protocol, a `[router]` table the
    // product's own.
    if is_gateway_file(file) {
        return run_gateway(file);
    }
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

fn run_gateway(file: &Path) -> ExitStatus {
    let settings = match GatewaySettings::try_load(file) {
        Ok(settings) => settings,
        Err(findings) => {
            eprintln!("{findings}");
            return ExitStatus::Findings;
        }
    };
    match crate::gateway::run(settings, file) {
        Ok(()) => ExitStatus::Done,
        Err(error) => {
            eprintln!("{error:#}");
            ExitStatus::Failed
        }
    }
}
