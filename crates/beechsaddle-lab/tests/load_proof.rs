//! Tests of the check of a run against what the targets say that ran.

use std::collections::BTreeMap;

use beechsaddle_lab::load::{LoadTally, RunTotals};
use beechsaddle_lab::stand_in::RunReport;

fn report(attempts: &[(&str, u64)], keys: &[(&str, u64)]) -> RunReport {
    let owned = |pairs: &[(&str, u64)]| -> BTreeMap<String, u64> {
        pairs
            .iter()
            .map(|(name, runs)| ((*name).to_owned(), *runs))
            .collect()
    };
    RunReport {
        attempts: owned(attempts),
        keys: owned(keys),
        ..RunReport::default()
    }
}

// Two callers confirm one payout through routers of two domains. Each target sees the key once and
// finds nothing wrong with it; only both together show that it ran twice.
#[test]
fn doubled_at_two_targets() {
    let mut totals = RunTotals::default();
    totals.add(report(&[("a@1#1.0", 1)], &[("k", 1), ("other", 1)]));
    totals.add(report(&[("b@1#1.0", 1)], &[("k", 1)]));
    let mut tally = LoadTally::try_new().unwrap();
    tally.once_keys = vec!["k".to_owned(), "other".to_owned()];
    assert_eq!(totals.doubled(&tally), 1);
}

// A router died with a chat's answer on its way, and the caller sent the chat again. That is what
// the key is for, and no fault.
#[test]
fn doubled_chat_run_again() {
    let mut totals = RunTotals::default();
    totals.add(report(&[("a@1#1.0", 1), ("b@1#1.0", 1)], &[("chat", 2)]));
    let mut tally = LoadTally::try_new().unwrap();
    tally.once_keys = vec!["k".to_owned()];
    assert_eq!(totals.doubled(&tally), 0);
}

#[test]
fn false_not_run_any_attempt() {
    let mut totals = RunTotals::default();
    totals.add(report(&[("a@1#7.1", 1)], &[]));
    let mut tally = LoadTally::try_new().unwrap();
    tally.not_run = vec!["a@1#7".to_owned(), "a@1#70".to_owned()];
    assert_eq!(totals.false_not_run(&tally), 1);
}
