//! The `crash_probe` module provides the check whether a target whose connection broke has crashed.

use std::rc::Rc;
use std::time::Duration;

use beechsaddle_core::gateway::{
    AttemptEnd, CrashFacts, CrashReport, SuspectKey, TargetPhase, TargetRecord,
};
use beechsaddle_core::prelude::*;
use beechsaddle_core::report::LogLevel;
use beechsaddle_link::LinkOptions;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::crash_broadcast::{ReportOrigin, distribute_reports};
use super::crash_manager::apply_reports;
use crate::gateway::gateway_state::GatewayState;
use crate::gateway::target_path::open_link;

/// Timeout of the probe's connection attempt. It is long because connecting is slow over a
/// saturated link.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long a call waits for the probe before it is sent to another target: some round trips.
const CALL_WAIT_LIMIT: Duration = Duration::from_millis(150);

/// A request that ran on a target whose connection broke.
#[derive(Clone, Debug)]
pub(in crate::gateway) struct SuspectRun {
    pub(in crate::gateway) fingerprint: SuspectKey,
    pub(in crate::gateway) target: TargetRecord,
    /// Number of crashes attributed to the request when it was sent.
    pub(in crate::gateway) known_before: usize,
    /// When the request was sent.
    pub(in crate::gateway) started_at: ClockTime,
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
    let probe = probe_target(Rc::clone(state), run, run_ms);
    // The probe continues after this timeout: its result still counts for the request's next
    // attempt.
    let _ = timeout(CALL_WAIT_LIMIT, spawn_local(probe)).await;
}

/// Returns whether a target is expected to run; a draining one may exit at any time.
fn is_expected_up(state: &GatewayState, target: &TargetRecord) -> bool {
    let roster = state.roster.borrow();
    roster.get(&target.name).is_some_and(|entry| {
        entry.record.started == target.started && entry.record.phase == TargetPhase::Ready
    })
}

async fn probe_target(state: Rc<GatewayState>, run: SuspectRun, run_ms: u64) {
    let options = LinkOptions {
        connect_timeout: PROBE_TIMEOUT,
        ..LinkOptions::default()
    };
    let address = run.target.address;
    // Behind a partition that refuses connections, only another router can tell whether the target
    // refuses them.
    match open_link(&state, &run.target, options).await {
        Ok(link) if link.router.is_none() => state.pool.put(state.now(), address, link.http, None),
        Ok(_) => {}
        Err(failure) if failure.end == AttemptEnd::Refused => {
            record_crash(&state, &run, run_ms);
        }
        // Inconclusive; the next attempt at this target will show.
        Err(_) => {}
    }
}

fn record_crash(state: &Rc<GatewayState>, run: &SuspectRun, run_ms: u64) {
    let fields = [
        ("target", run.target.name.to_string()),
        ("fingerprint", run.fingerprint.to_string()),
        ("known_before", run.known_before.to_string()),
        ("run_ms", run_ms.to_string()),
    ];
    state
        .report
        .log(LogLevel::Warning, "target_crashed", fields);
    state.metrics.crashes_seen.inc();
    let report = CrashReport {
        fingerprint: run.fingerprint,
        target: run.target.incarnation(),
        facts: CrashFacts {
            known_before: u32::try_from(run.known_before).unwrap_or(u32::MAX),
            run_ms: u32::try_from(run_ms).unwrap_or(u32::MAX),
            is_cleared: false,
            seen_at: state.now(),
        },
    };
    let changed = apply_reports(state, [report]);
    distribute_reports(state, changed, ReportOrigin::Local);
}
