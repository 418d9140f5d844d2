//! The `experiment` module provides the description of one experiment.

/// An experiment: it runs in under two minutes and prints one line for each measured point.
#[derive(Clone, Copy, Debug)]
pub struct MeasureExperiment {
    /// Its name on the command line.
    pub name: &'static str,
    /// What its figures show, in one line.
    pub shows: &'static str,
    /// Runs it with a seed and gives lines of key=value pairs.
    pub run: fn(u64) -> Vec<String>,
}
