//! Tests of the table of experiments.

use std::collections::BTreeSet;

use beechsaddle_lab::measure::EXPERIMENTS;

#[test]
fn experiments_have_unique_names() {
    let names: BTreeSet<&str> = EXPERIMENTS
        .iter()
        .map(|experiment| experiment.name)
        .collect();
    assert_eq!(names.len(), EXPERIMENTS.len());
}
