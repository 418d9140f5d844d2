//! A short soak of gateways as processes, with faults from outside; `beechsaddle-lab soak` runs more.

use std::path::PathBuf;
use std::time::Duration;

use beechsaddle_lab::soak::{SoakOptions, run_seed};

async fn check_seed(seed: u64, span_s: u64) {
    check_faults(seed, span_s, false).await;
}

async fn check_faults(seed: u64, span_s: u64, has_target_faults: bool) {
    let options = SoakOptions {
        program: PathBuf::from(env!("CARGO_BIN_EXE_beechsaddle-lab")),
        folder: PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("soak"),
        span: Duration::from_secs(span_s),
        routers: 3,
        callers: 8,
        has_target_faults,
    };
    let outcome = run_seed(&options, seed).await.expect("a run");
    assert!(outcome.broken.is_empty(), "{outcome:#?}");
    assert!(outcome.answered * 2 > outcome.calls, "{outcome:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn soak_short_seed_keeps_the_promises() {
    check_seed(1, 6).await;
}

/// A router is told to end, and is killed and started again before it has ended. The soak waited for
/// the end of the process that took its place, for ever.
#[tokio::test(flavor = "multi_thread")]
async fn soak_router_killed_while_it_ends_is_not_waited_for() {
    check_seed(135, 8).await;
}

/// The store falls silent for less than a second, between two probes, and forgets the watches of all
/// routers. With watches of fifteen seconds the routers missed a version and a leaving target for as long.
#[tokio::test(flavor = "multi_thread")]
async fn soak_watches_forgotten_between_probes_are_noticed() {
    check_seed(1_796_252_320, 8).await;
}

/// Guards against targets that crash, requests that crash them and limits, all beside the faults of a fleet.
#[tokio::test(flavor = "multi_thread")]
async fn soak_crashes_and_limits_keep_the_promises() {
    check_faults(2, 6, true).await;
}
