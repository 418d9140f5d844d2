//! Tests of the tools that experiments share.

use std::collections::BTreeSet;

use beechsaddle_lab::measure::{EXPERIMENTS, ProcessCost, SlopeFit, read_thread_cpu};

#[test]
fn experiments_have_unique_names() {
    let names: BTreeSet<&str> = EXPERIMENTS
        .iter()
        .map(|experiment| experiment.name)
        .collect();
    assert_eq!(names.len(), EXPERIMENTS.len());
}

#[test]
fn slope_fit_points_on_line() {
    let fit = SlopeFit::of(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]).unwrap();
    assert!((fit.slope - 2.0).abs() < 1e-9, "{fit:?}");
    assert!((fit.intercept - 3.0).abs() < 1e-9, "{fit:?}");
    assert!((fit.r_squared - 1.0).abs() < 1e-9, "{fit:?}");
}

#[test]
fn slope_fit_one_x() {
    assert_eq!(SlopeFit::of(&[(1.0, 5.0), (1.0, 7.0)]), None);
}

#[test]
fn process_cost_own_process() {
    let before = ProcessCost::read_own().unwrap();
    let mut sum = 0_u64;
    for number in 0..50_000_000_u64 {
        sum = sum.wrapping_mul(31).wrapping_add(number);
    }
    assert_ne!(std::hint::black_box(sum), 1);
    let after = ProcessCost::read_own().unwrap();
    assert!(after.cpu_since(before) > 0.0, "{before:?} {after:?}");
    assert!(after.rss_kib > 1_000, "{after:?}");
}

#[test]
fn process_cost_no_process() {
    assert_eq!(ProcessCost::read(u32::MAX), None);
}

#[test]
fn thread_cpu_own_threads() {
    assert!(!read_thread_cpu(std::process::id()).is_empty());
}
