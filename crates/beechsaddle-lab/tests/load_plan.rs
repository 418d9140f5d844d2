//! Tests of the call plan of the load tool.

use std::time::Duration;

use beechsaddle_lab::load::{
    ArrivalPlan, CallKind, CallMix, PlanOptions, ShareTable, contains_mark,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn plan_options(seed: u64) -> PlanOptions {
    PlanOptions {
        seed,
        rate: 100.0,
        span: Duration::from_secs(100),
        mix: CallMix::default(),
        workspaces: 10,
        skew: 1.1,
        max_tokens: 64,
        progress: false,
    }
}

#[test]
fn plan_same_seed() {
    let first: Vec<_> = ArrivalPlan::new(plan_options(7)).collect();
    let second: Vec<_> = ArrivalPlan::new(plan_options(7)).collect();
    assert_eq!(first, second);
}

#[test]
fn plan_other_seed() {
    let first: Vec<_> = ArrivalPlan::new(plan_options(7)).collect();
    let second: Vec<_> = ArrivalPlan::new(plan_options(8)).collect();
    assert_ne!(first, second);
}

#[test]
fn plan_poisson_gaps() {
    let calls: Vec<_> = ArrivalPlan::new(plan_options(3)).collect();
    let gaps: Vec<f64> = calls
        .windows(2)
        .map(|pair| (pair[1].offset - pair[0].offset).as_secs_f64())
        .collect();
    let mean = gaps.iter().sum::<f64>() / gaps.len() as f64;
    let square = gaps.iter().map(|gap| gap * gap).sum::<f64>() / gaps.len() as f64;
    // Exponential gaps have a mean of 1 / rate, and a mean square of twice the mean's square.
    assert!((mean - 0.01).abs() < 0.0005, "mean gap {mean}");
    let ratio = square / (mean * mean);
    assert!(
        (ratio - 2.0).abs() < 0.2,
        "mean square over squared mean {ratio}"
    );
}

#[test]
fn plan_max_tokens_between_half_and_all() {
    let mut calls = ArrivalPlan::new(plan_options(3));
    assert!(calls.all(|call| (32..=64).contains(&call.max_tokens)));
}

#[test]
fn share_table_zipf() {
    let table = ShareTable::new(4, 1.0);
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut counts = [0_u32; 4];
    for _ in 0..25_000 {
        counts[table.pick(&mut random)] += 1;
    }
    // 1 + 1/2 + 1/3 + 1/4 = 25/12, so the shares are 12, 6, 4 and 3 of 25.
    for (count, share) in counts.into_iter().zip([12_000, 6_000, 4_000, 3_000]) {
        assert!(count.abs_diff(share) < 400, "{count} instead of {share}");
    }
}

#[test]
fn mix_only_one_kind() {
    let mix: CallMix = "0:0:0:3".parse().unwrap();
    let mut random = ChaCha8Rng::seed_from_u64(1);
    assert_eq!(mix.pick(&mut random), CallKind::NotRepeatable);
}

#[test]
fn mix_invalid_text() {
    for text in ["", "1:2:3", "1:2:3:x", "0:0:0:0", "1:2:3:4:5"] {
        assert!(text.parse::<CallMix>().is_err(), "{text:?} was accepted");
    }
}

#[test]
fn contains_mark_longer_mark() {
    assert!(contains_mark("for load-1-2.", "load-1-2"));
    assert!(!contains_mark("for load-1-23", "load-1-2"));
    assert!(contains_mark("for load-1-23 and load-1-2", "load-1-2"));
}
