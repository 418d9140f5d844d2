//! The `experiment` module provides the description of one experiment.

/// An experiment, which runs in under two minutes and prints one line for each measured point.
#[derive(Clone, Copy, Debug)]
pub struct MeasureExperiment {
    /// The name on the command line.
    pub name: &'static str,
    /// What the results show, in one line.
    pub shows: &'static str,
    /// Runs the experiment with a seed and returns lines of key=value pairs.
    pub run: fn(u64) -> Vec<String>,
}
