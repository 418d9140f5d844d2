//! The `crash_probe` module provides the check whether a target whose connection broke has crashed.

use std::rc::Rc;
use std::time::Duration;

use beechsaddle_core::gateway::{
    AttemptEnd, CrashFacts, CrashReport, SuspectKey, SuspectKind, TargetRecord,
};
use beechsaddle_core::prelude::*;
use beechsaddle_core::report::LogLevel;
use beechsaddle_link::LinkOptions;
use futures::future::join_all;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::crash_broadcast::{ReportOrigin, distribute_reports};
use super::crash_manager::{apply_reports, record_completion};
use crate::gateway::gateway_state::GatewayState;
use crate::gateway::target_path::{open_link, sample_targets};

/// Timeout of the probe's connection attempt. It is long because connecting is slow over a
/// saturated link.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long a call waits for the probe before it is sent to another target: some round trips.
const CALL_WAIT_LIMIT: Duration = Duration::from_millis(150);

/// Number of other targets that are tried to find out whether many ended at once.
const CONTROL_TARGETS: usize = 3;

/// What a run may be suspected for.
#[derive(Clone, Copy, Debug)]
pub(in crate::gateway) struct RunSuspect {
    key: SuspectKey,
    /// Number of crashes attributed to it when the request was sent, excluding those seen just
    /// before.
    known_before: usize,
}

/// A request that ran on a target whose connection broke.
#[derive(Clone, Debug)]
pub(in crate::gateway) struct SuspectRun {
    pub(in crate::gateway) suspects: Vec<RunSuspect>,
    pub(in crate::gateway) target: TargetRecord,
    /// When the request was sent.
    pub(in crate::gateway) started_at: ClockTime,
}

impl SuspectRun {
    fn keys(&self) -> Vec<SuspectKey> {
        self.suspects.iter().map(|suspect| suspect.key).collect()
    }
}

/// Returns what a run that begins now may be suspected for.
pub(in crate::gateway) fn run_suspects(
    state: &GatewayState,
    keys: &[SuspectKey],
) -> Vec<RunSuspect> {
    let now = state.now();
    let registry = state.crashes.registry.borrow();
    let suspects = keys.iter().map(|key| RunSuspect {
        key: *key,
        known_before: registry.settled_count(now, *key),
    });
    suspects.collect()
}

/// Checks whether a target crashed while it ran a request, and records the crash if so.
///
/// A broken connection alone proves little: targets reset single calls, and links lose connections.
/// A process that has ended refuses new connections. If it is not certain whether the process has
/// ended, as behind a severed link, no crash is attributed to the request.
pub(in crate::gateway) async fn detect_crash(
    state: &Rc<GatewayState>,
    run: SuspectRun,
    end: AttemptEnd,
) {
    if end != AttemptEnd::Broken || !is_expected_up(state, &run.target) {
        return;
    }
    let run_ms = state.now().since(run.started_at);
    let checking = check_run(Rc::clone(state), run, run_ms);
    // The check continues after this timeout: its result still counts for the request's next
    // attempt.
    let _ = timeout(CALL_WAIT_LIMIT, spawn_local(checking)).await;
}

/// Records that a request completed, unless its target has ended: if a body ends with its
/// connection, only that tells a crash between two events from the end.
pub(in crate::gateway) fn confirm_completion(state: &Rc<GatewayState>, run: SuspectRun) {
    let state = Rc::clone(state);
    let run_ms = state.now().since(run.started_at);
    spawn_local(async move {
        let is_expected = is_expected_up(&state, &run.target);
        match probe_target(&state, &run.target).await {
            ProbeResult::Running => record_completion(&state, &run.keys()),
            ProbeResult::Ended if is_expected => record_crash(&state, &run, run_ms).await,
            ProbeResult::Ended | ProbeResult::Unknown => {}
        }
    });
}

/// Returns whether a target is expected to run; one that leaves may exit at any time.
fn is_expected_up(state: &GatewayState, target: &TargetRecord) -> bool {
    let roster = state.roster.borrow();
    roster
        .get(&target.name)
        .is_some_and(|entry| entry.record.started == target.started && !entry.is_leaving())
}

async fn check_run(state: Rc<GatewayState>, run: SuspectRun, run_ms: u64) {
    if probe_target(&state, &run.target).await == ProbeResult::Ended {
        record_crash(&state, &run, run_ms).await;
    }
}

/// What a connection attempt told about a target's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProbeResult {
    Running,
    Ended,
    /// Inconclusive; the next attempt at this target will show.
    Unknown,
}

async fn probe_target(state: &GatewayState, target: &TargetRecord) -> ProbeResult {
    let options = LinkOptions {
        connect_timeout: PROBE_TIMEOUT,
        ..LinkOptions::default()
    };
    // Behind a partition that refuses connections, only another router can tell whether the target
    // refuses them.
    match open_link(state, target, options).await {
        Ok(link) => {
            if link.router.is_none() && state.accepts_requests(target) {
                let (now, address) = (state.now(), target.address);
                state.pool.put(now, address, link.http, None);
            }
            ProbeResult::Running
        }
        Err(failure) if failure.end == AttemptEnd::Refused => ProbeResult::Ended,
        Err(_) => ProbeResult::Unknown,
    }
}

/// Whether targets that did not run the request have ended as well, so that it is not the cause.
async fn have_others_ended(state: &GatewayState, run: &SuspectRun) -> bool {
    let keys = run.keys();
    let is_control = |target: &TargetRecord| {
        target.service == run.target.service
            && target.name != run.target.name
            && !state.crashes.has_crash(&keys, &target.incarnation())
    };
    let controls = sample_targets(state, CONTROL_TARGETS, is_control);
    let probes = controls.iter().map(|target| probe_target(state, target));
    let results = join_all(probes).await;
    let have_ended = results.iter().all(|result| *result == ProbeResult::Ended);
    have_ended && !results.is_empty()
}

async fn record_crash(state: &Rc<GatewayState>, run: &SuspectRun, run_ms: u64) {
    let is_repeat = run.suspects.iter().any(|suspect| suspect.known_before > 0);
    let have_others_ended = is_repeat && have_others_ended(state, run).await;
    state.metrics.crashes_seen.inc();
    let now = state.now();
    let mut reports = Vec::new();
    for suspect in &run.suspects {
        if is_innocent(state, suspect.key) {
            continue;
        }
        let known_before = match have_others_ended {
            true => 0,
            false => suspect.known_before,
        };
        log_crash(state, run, suspect.key, known_before, run_ms);
        reports.push(CrashReport {
            key: suspect.key,
            target: run.target.incarnation(),
            facts: CrashFacts {
                known_before: u32::try_from(known_before).unwrap_or(u32::MAX),
                run_ms: u32::try_from(run_ms).unwrap_or(u32::MAX),
                is_cleared: false,
                seen_at: now,
            },
        });
    }
    let changed = apply_reports(state, reports);
    distribute_reports(state, changed, ReportOrigin::Local);
}

/// Whether the key is that of a part with which requests complete.
fn is_innocent(state: &GatewayState, key: SuspectKey) -> bool {
    let mut completions = state.crashes.completions.borrow_mut();
    key.kind() == SuspectKind::Part && completions.contains(state.now(), key)
}

fn log_crash(
    state: &GatewayState,
    run: &SuspectRun,
    key: SuspectKey,
    known_before: usize,
    run_ms: u64,
) {
    let fields = [
        ("target", run.target.name.to_string()),
        ("fingerprint", key.to_string()),
        ("kind", key.kind().as_str().to_owned()),
        ("known_before", known_before.to_string()),
        ("run_ms", run_ms.to_string()),
    ];
    state
        .report
        .log(LogLevel::Warning, "target_crashed", fields);
}
