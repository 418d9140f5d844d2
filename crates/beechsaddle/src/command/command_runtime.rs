//! The `command_runtime` module provides helpers for commands that call the platform.

use std::future::Future;
use std::net::SocketAddr;

use clap::ArgMatches;
use eyre::WrapErr;

use super::ExitStatus;
use crate::operator::OperatorError;
use crate::platform::{PlatformClient, PlatformOptions};

/// Runs a future to completion on the current thread.
pub(super) fn run_async<T>(future: impl Future<Output = eyre::Result<T>>) -> eyre::Result<T> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("cannot start a runtime")?
        .block_on(future)
}

/// Returns a client of the platform that `--platform` names.
pub(super) fn platform_client(matches: &ArgMatches) -> eyre::Result<PlatformClient> {
    let address = matches
        .get_one::<SocketAddr>("platform")
        .ok_or_else(|| eyre::eyre!("no platform address is given"))?;
    PlatformClient::try_new(&PlatformOptions::new(*address), None)
}

/// Prints an error and returns the exit status for it.
pub(super) fn report(error: &eyre::Report) -> ExitStatus {
    eprintln!("{error:#}");
    match error.downcast_ref::<OperatorError>() {
        Some(error) => ExitStatus::from(error),
        None => ExitStatus::Failed,
    }
}
