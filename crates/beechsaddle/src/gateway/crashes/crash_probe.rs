//! The `crash_probe` module provides the question whether a target has crashed whose connection broke.

use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;

use beechsaddle_core::gateway::{
    AttemptEnd, CrashFacts, CrashReport, RequestFingerprint, TargetPhase, TargetRecord,
};
use beechsaddle_core::prelude::*;
use beechsaddle_core::report::LogLevel;
use beechsaddle_link::{HttpLink, LinkFailure, LinkOptions};
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::crash_desk::take_sightings;
use super::crash_spread::{NoteOrigin, spread_notes};
use crate::gateway::gateway_state::GatewayState;

/// How long a target is asked whether it takes connections. On a crowded link the answer takes long.
const PROBE_SPAN: Duration = Duration::from_millis(1_000);

/// How long a call waits for that answer before it is sent to another target: some round trips.
const CALL_WAIT: Duration = Duration::from_millis(150);

/// A request on a target.
#[derive(Clone, Debug)]
pub(in crate::gateway) struct SuspectRun {
    /// The request.
    pub(in crate::gateway) fingerprint: RequestFingerprint,
    /// The target.
    pub(in crate::gateway) target: TargetRecord,
    /// Crashes under the request that were known when it was sent.
    pub(in crate::gateway) known_before: usize,
    /// When it was sent.
    pub(in crate::gateway) started_at: ClockTime,
}

/// Finds out whether a target crashed under a run, where its connection broke, and has it noted if so.
///
/// A connection that breaks says little: targets reset single calls, and links lose connections. A process that
/// has ended refuses new ones. Where neither is certain, as behind a cut link, nothing is held against the request.
pub(in crate::gateway) async fn look_for_crash(
    state: &Rc<GatewayState>,
    run: SuspectRun,
    end: AttemptEnd,
) {
    if end != AttemptEnd::Broken || !is_expected_up(state, &run.target) {
        return;
    }
    let run_ms = state.now().since(run.started_at);
    let probe = probe_target(Rc::clone(state), run, run_ms);
    // The probe goes on where the call waits no longer: its answer still counts for the request's next attempt.
    let _ = timeout(CALL_WAIT, spawn_local(probe)).await;
}

/// Whether a target should be running: one that leaves may end at any time.
fn is_expected_up(state: &GatewayState, target: &TargetRecord) -> bool {
    let roster = state.roster.borrow();
    roster.get(&target.name).is_some_and(|entry| {
        entry.record.started == target.started && entry.record.phase == TargetPhase::Ready
    })
}

async fn probe_target(state: Rc<GatewayState>, run: SuspectRun, run_ms: u64) {
    let options = LinkOptions {
        connect_timeout: PROBE_SPAN,
        ..LinkOptions::default()
    };
    let address = run.target.address;
    match HttpLink::try_connect(address, options).await {
        Ok(link) => state.pool.put(state.now(), address, link, None),
        Err(LinkFailure::Connect(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            note_crash(&state, &run, run_ms);
        }
        // Nobody knows; the next attempt there finds out.
        Err(_) => {}
    }
}

fn note_crash(state: &Rc<GatewayState>, run: &SuspectRun, run_ms: u64) {
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
    let sighting = CrashReport {
        fingerprint: run.fingerprint,
        target: run.target.incarnation(),
        facts: CrashFacts {
            known_before: u32::try_from(run.known_before).unwrap_or(u32::MAX),
            run_ms: u32::try_from(run_ms).unwrap_or(u32::MAX),
            is_cleared: false,
            seen_at: state.now(),
        },
    };
    let news = take_sightings(state, [sighting]);
    spread_notes(state, news, NoteOrigin::Own);
}
