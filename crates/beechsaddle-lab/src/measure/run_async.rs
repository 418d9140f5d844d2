//! The `run_async` module provides running an experiment that needs the network.

use std::future::Future;

use crate::key_values::KeyValues;

/// Runs an experiment; one that fails gives a line that says why in place of its figures.
pub fn run_async(experiment: impl Future<Output = eyre::Result<Vec<KeyValues>>>) -> Vec<String> {
    let outcome = tokio::runtime::Runtime::new()
        .map_err(eyre::Report::from)
        .and_then(|runtime| runtime.block_on(experiment));
    match outcome {
        Ok(lines) => lines.iter().map(ToString::to_string).collect(),
        Err(error) => vec![format!("error={:?}", format!("{error:#}"))],
    }
}
