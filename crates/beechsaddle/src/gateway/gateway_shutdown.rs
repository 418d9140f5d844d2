//! The `gateway_shutdown` module provides the shutdown of a gateway within its grace period.
//!
//! A shutdown has four steps. In the drain the router serves new calls as before, but reports not
//! ready, and each answer closes its connection. Then it accepts no more connections, closes those
//! on which nothing has arrived, and answers what has. Once no connection can bring a call any more,
//! or the grace period is nearly over, it gives its tokens back. Then the process ends.
//!
//! The exit waits for connections, not for calls: a head may be read in parts, and a call that begins
//! after the last look at the open calls would end without an answer.

use std::rc::Rc;
use std::time::Duration;

use beechsaddle_core::report::LogLevel;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until, timeout_at};

use super::gateway_state::{GatewayPhase, GatewayState};

/// How long new connections are accepted after the termination signal, in milliseconds. The balancer probes
/// every second and takes a router out after two failures; another half second covers connections in
/// transit.
const DRAIN_MS: u64 = 2_500;

/// Part of the grace period that is reserved for the end of the process, in milliseconds: the return of
/// tokens, and a margin before the kill.
const EXIT_RESERVE_MS: u64 = 700;

/// Margin before the kill, in milliseconds.
const KILL_MARGIN_MS: u64 = 250;

/// How long the next of the last responses may take at the end of the grace period: they are short and
/// written at once.
const LAST_RESPONSES_TIMEOUT: Duration = Duration::from_millis(50);

/// Minimum time to accept the connections that wait in the listener's queue. Only a pause after a
/// failed accept takes that long.
const LISTENER_TIMEOUT: Duration = Duration::from_millis(100);

/// Timeout of the return of tokens if the store does not answer or the grace period is nearly over.
const TOKEN_RETURN_TIMEOUT: Duration = Duration::from_millis(450);

/// Timeout of the return of tokens while the store answers: several slow writes. What is not returned
/// is lost to the workspace's callers; a longer wait would delay the restart on this host.
const SLOW_RETURN_TIMEOUT: Duration = Duration::from_millis(2_500);

/// When the steps of a shutdown are due, by the grace period that was set at the signal.
#[derive(Clone, Copy, Debug)]
struct ShutdownPlan {
    signalled_at: Instant,
    drained_at: Instant,
    /// When calls that are still open get their final response.
    calls_end_at: Instant,
    /// When the process has to have ended.
    exit_at: Instant,
}

impl ShutdownPlan {
    fn new(signalled_at: Instant, grace_ms: u64) -> Self {
        let after = |span_ms| signalled_at + Duration::from_millis(span_ms);
        ShutdownPlan {
            signalled_at,
            drained_at: after(DRAIN_MS.min(grace_ms / 3)),
            calls_end_at: after(grace_ms.saturating_sub(EXIT_RESERVE_MS)),
            exit_at: after(grace_ms.saturating_sub(KILL_MARGIN_MS)),
        }
    }
}

/// Ends all calls and gives all tokens back within the grace period, which begins now; `listener` is
/// the task that accepts callers' connections.
pub(super) async fn shut_down(state: &Rc<GatewayState>, listener: JoinHandle<()>) {
    let plan = ShutdownPlan::new(Instant::now(), state.settings().grace_ms);
    drain(state, &plan).await;
    close(state, &plan, listener).await;
    end_calls(state).await;
    let fields = [("open_calls", state.open_calls.get().to_string())];
    state.report.log(LogLevel::Info, "closing", fields);
    return_tokens(state, &plan).await;
    await_responses(state, plan.exit_at).await;
    log_exit(state, &plan);
}

/// Serves calls until the balancer sends no more connections. Callers would find refused connections
/// otherwise.
async fn drain(state: &GatewayState, plan: &ShutdownPlan) {
    let now = Instant::now();
    let calls_end_in = plan.calls_end_at.saturating_duration_since(now);
    let calls_end_at = state.now().plus_ms(calls_end_in.as_millis() as u64);
    state.calls_end_at.set(Some(calls_end_at));
    let fields = [("open_calls", state.open_calls.get().to_string())];
    state.report.log(LogLevel::Info, "leaving", fields);
    state.phase.send_replace(GatewayPhase::Leaving);
    sleep_until(plan.drained_at).await;
}

/// Closes connections as soon as nothing more can come of them, and waits for the others.
async fn close(state: &GatewayState, plan: &ShutdownPlan, listener: JoinHandle<()>) {
    // A process that was held up may get here only when calls have to end.
    let now = Instant::now();
    let phase = match now < plan.calls_end_at {
        true => GatewayPhase::Closing,
        false => GatewayPhase::Ending,
    };
    state.phase.send_replace(phase);
    let until = plan.calls_end_at.max(now + LISTENER_TIMEOUT);
    if timeout_at(until, listener).await.is_err() {
        state.report.log(LogLevel::Warning, "listener_stuck", []);
    }
    while !state.is_idle() {
        let ended = state.work_ended.notified();
        if timeout_at(plan.calls_end_at, ended).await.is_err() {
            return;
        }
    }
}

/// Gives open calls their final response. Calls that are read from now on are refused.
async fn end_calls(state: &GatewayState) {
    state.phase.send_replace(GatewayPhase::Ending);
    await_responses(state, Instant::now() + LAST_RESPONSES_TIMEOUT).await;
}

/// Waits for the last responses while they are being sent, until a time at most. Streams that have begun
/// may go on for any time.
async fn await_responses(state: &GatewayState, until: Instant) {
    while !state.is_idle() {
        let ended = state.work_ended.notified();
        let next_by = Instant::now() + LAST_RESPONSES_TIMEOUT;
        if timeout_at(next_by.min(until), ended).await.is_err() {
            return;
        }
    }
}

/// Gives all unused tokens back. This is left to `LedgerSync`, since only it knows which of its writes may
/// still be committed.
async fn return_tokens(state: &GatewayState, plan: &ShutdownPlan) {
    state.escrow.borrow_mut().close();
    let until = return_deadline(state, plan);
    while state.escrow.borrow().has_tokens() {
        let changed = state.escrow_changed.notified();
        state.escrow_wake.notify_one();
        if timeout_at(until, changed).await.is_err() {
            let held = state.escrow.borrow().held_tokens();
            let fields = [("free", held.to_string())];
            state.report.log(LogLevel::Warning, "tokens_kept", fields);
            return;
        }
    }
}

/// Returns until when the return of tokens may take: the rest of the grace period, within limits.
fn return_deadline(state: &GatewayState, plan: &ShutdownPlan) -> Instant {
    let now = Instant::now();
    let shortest = now + TOKEN_RETURN_TIMEOUT;
    if !state.store_health.answers() {
        return shortest;
    }
    plan.exit_at.min(now + SLOW_RETURN_TIMEOUT).max(shortest)
}

/// Logs what the end of the process cuts.
fn log_exit(state: &GatewayState, plan: &ShutdownPlan) {
    let leaving_ms = plan.signalled_at.elapsed().as_millis();
    let fields = [
        ("open_calls", state.open_calls.get().to_string()),
        ("open_connections", state.open_connections.get().to_string()),
        ("tunnels", state.tunnels.carried().to_string()),
        ("leaving_ms", leaving_ms.to_string()),
    ];
    state.report.log(LogLevel::Info, "exiting", fields);
}
