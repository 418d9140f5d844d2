//! The `run_async` module provides the execution of asynchronous experiments.

use std::future::Future;

use crate::key_values::KeyValues;

/// Runs an experiment and returns its lines, or a single line with the error if it fails.
pub fn run_async(experiment: impl Future<Output = eyre::Result<Vec<KeyValues>>>) -> Vec<String> {
    let outcome = tokio::runtime::Runtime::new()
        .map_err(eyre::Report::from)
        .and_then(|runtime| runtime.block_on(experiment));
    match outcome {
        Ok(lines) => lines.iter().map(ToString::to_string).collect(),
        Err(error) => vec![format!("error={:?}", format!("{error:#}"))],
    }
}
