//! Tests of the check of a load run against the run reports of the targets.

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

// Guards against double runs at different targets. Two callers confirm one payout through routers
// of two domains; each target sees the key once, and only the sum shows that it ran twice.
#[test]
fn doubled_at_two_targets() {
    let mut totals = RunTotals::default();
    totals.add(report(&[("a@1#1.0", 1)], &[("k", 1), ("other", 1)]));
    totals.add(report(&[("b@1#1.0", 1)], &[("k", 1)]));
    let mut tally = LoadTally::try_new().unwrap();
    tally.non_repeatable_keys = vec!["k".to_owned(), "other".to_owned()];
    assert_eq!(totals.doubled(&tally), 1);
}

// A repeatable chat that ran again after a router died while relaying its response is no fault:
// its idempotency key permits the retry.
#[test]
fn doubled_chat_run_again() {
    let mut totals = RunTotals::default();
    totals.add(report(&[("a@1#1.0", 1), ("b@1#1.0", 1)], &[("chat", 2)]));
    let mut tally = LoadTally::try_new().unwrap();
    tally.non_repeatable_keys = vec!["k".to_owned()];
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
