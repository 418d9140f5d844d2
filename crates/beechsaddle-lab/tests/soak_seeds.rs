//! Short soak runs of gateway processes with fault injection; `beechsaddle-lab soak` runs more.

use std::path::PathBuf;
use std::time::Duration;

use beechsaddle_lab::soak::{SoakOptions, run_seed};

async fn check_seed(seed: u64, span_s: u64) {
    check_faults(seed, span_s, false, false).await;
}

async fn check_faults(seed: u64, span_s: u64, has_target_faults: bool, has_versions: bool) {
    let options = SoakOptions {
        has_target_faults,
        has_versions,
        ..soak_options(span_s)
    };
    check_run(&options, seed).await;
}

fn soak_options(span_s: u64) -> SoakOptions {
    SoakOptions {
        program: PathBuf::from(env!("CARGO_BIN_EXE_beechsaddle-lab")),
        folder: PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("soak"),
        span: Duration::from_secs(span_s),
        routers: 3,
        callers: 8,
        has_target_faults: false,
        has_versions: false,
        has_announcements: false,
        has_discovery_faults: false,
        has_shutdowns: false,
    }
}

async fn check_run(options: &SoakOptions, seed: u64) {
    let outcome = run_seed(options, seed).await.expect("a run");
    assert!(outcome.violations.is_empty(), "{outcome:#?}");
    assert!(outcome.answered * 2 > outcome.calls, "{outcome:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn soak_short_seed_keeps_all_invariants() {
    check_seed(1, 6).await;
}

/// Guards against a hang of the soak. A router is terminated, then killed and restarted before it
/// has exited; the soak waited forever for the exit of the new process.
#[tokio::test(flavor = "multi_thread")]
async fn soak_router_killed_during_shutdown_does_not_hang() {
    check_seed(135, 8).await;
}

/// Guards against lost watches that are not detected. The store stops responding for less than a
/// second, between two probes, and drops the watches of all routers. With watches of fifteen
/// seconds, the routers missed a version and a draining target for as long.
#[tokio::test(flavor = "multi_thread")]
async fn soak_watches_lost_between_probes_are_detected() {
    check_seed(1_796_252_320, 8).await;
}

/// The fleet's faults are combined with targets that crash, requests that crash them and rate
/// limits of targets.
#[tokio::test(flavor = "multi_thread")]
async fn soak_crashes_and_limits_keep_all_invariants() {
    check_faults(2, 6, true, false).await;
}

/// Streams that are resumed amid the fleet's faults never hold events of two software versions.
#[tokio::test(flavor = "multi_thread")]
async fn soak_resumed_streams_keep_their_version() {
    check_faults(3, 8, false, true).await;
}

/// Routers heed what configurations and targets announce amid the fleet's faults: idle times, silences,
/// leaves and rests.
#[tokio::test(flavor = "multi_thread")]
async fn soak_announcements_are_heeded() {
    let options = SoakOptions {
        has_announcements: true,
        ..soak_options(6)
    };
    check_run(&options, 4).await;
}

/// Shutdowns in series cut no call that reached a target, also one whose head arrives in parts or that
/// is read after the drain.
#[tokio::test(flavor = "multi_thread")]
async fn soak_shutdowns_cut_no_call() {
    let options = SoakOptions {
        has_shutdowns: true,
        ..soak_options(3)
    };
    check_run(&options, 5).await;
}

/// Odd entries of other writers and cut watches break no promise amid the fleet's faults.
#[tokio::test(flavor = "multi_thread")]
async fn soak_odd_entries_and_cut_watches_change_nothing() {
    let options = SoakOptions {
        has_discovery_faults: true,
        ..soak_options(8)
    };
    check_run(&options, 6).await;
}

/// A body that crashes its targets reaches few of them although nearly all engines have ended, and
/// those that start in their place end one after the other.
#[tokio::test(flavor = "multi_thread")]
async fn soak_crashing_body_reaches_few_engines_that_end_in_turn() {
    let options = SoakOptions {
        callers: 12,
        has_target_faults: true,
        has_versions: true,
        has_announcements: true,
        ..soak_options(8)
    };
    check_run(&options, 9530).await;
}

fn crowded_options() -> SoakOptions {
    SoakOptions {
        callers: 12,
        has_target_faults: true,
        has_versions: true,
        ..soak_options(8)
    }
}

/// A prompt part that crashes its targets reaches few of them amid the fleet's faults.
#[tokio::test(flavor = "multi_thread")]
async fn soak_crashing_part_reaches_few_targets_amid_faults() {
    check_run(&crowded_options(), 9702).await;
}

/// No call reaches an evacuated domain amid the fleet's faults.
#[tokio::test(flavor = "multi_thread")]
async fn soak_evacuated_domain_gets_no_calls_amid_faults() {
    check_run(&crowded_options(), 9703).await;
}
