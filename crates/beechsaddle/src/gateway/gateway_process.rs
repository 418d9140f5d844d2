//! The `gateway_process` module provides the start and the end of a gateway's process.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::thread::JoinHandle;
use std::time::Duration;

use beechsaddle_core::prelude::*;
use beechsaddle_core::report::LogLevel;
use beechsaddle_platform::ObjectKind;
use eyre::{Result, WrapErr};
use tokio::net::{TcpListener, TcpSocket};
use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout_at};

use super::caller_listener::run_listener;
use super::changes::{follow_kind, run_expiry, run_probes, run_registration};
use super::clock_desk::run_clock_reading;
use super::crashes::{run_crash_follow, run_crash_writer};
use super::escrow_keeper::EscrowKeeper;
use super::gateway_settings::GatewaySettings;
use super::gateway_state::{GatewayPhase, GatewayState};
use super::host_listener::run_host_listener;
use super::peer_server::run_peer_listener;
use super::settings_watch::run_settings_watch;
use super::store_tally::run_store_tally;
use crate::report::{ReportEdge, ReportOptions};
use crate::router::ClockSource;

/// Connections that may wait to be accepted.
const ACCEPT_BACKLOG: u32 = 1_024;

/// How long new connections are taken after the signal to end, in milliseconds: the balancer asks
/// each second and needs two misses; half a second more covers connections on their way.
const LEAVE_MS: u64 = 2_500;

/// What is left of the grace for the end of the process, in milliseconds: giving tokens back, and
/// a margin before the kill.
const EXIT_MS: u64 = 700;

/// How long giving tokens back may take.
const GIVE_BACK: Duration = Duration::from_millis(450);

/// How long writing the last log lines may take.
const LOG_SPAN: Duration = Duration::from_millis(150);

/// How often the writer of log lines is looked at in the end.
const LOG_LOOK: Duration = Duration::from_millis(2);

/// Runs a gateway until it has shut down.
///
/// # Errors
///
/// When an address is taken, or a thread or the runtime cannot be made.
pub fn run(settings: GatewaySettings, path: &Path) -> Result<()> {
    let clock = ClockSource::of_process();
    let me = RouterIncarnation::new(settings.host.clone(), clock.now().as_millis());
    let mut options = ReportOptions::new(me.to_string()).with_writer(io::stdout());
    options.level = settings.log.level;
    let (report, report_thread) = ReportEdge::try_start(options).wrap_err("cannot start logs")?;
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("the runtime cannot be made")?;
    let state = Rc::new(GatewayState::new(settings, me, report));
    let served = LocalSet::new().block_on(&runtime, serve(Rc::clone(&state), path));
    // Tasks that hold the state end with the runtime; the log ends with the state.
    drop(runtime);
    state.log_store_tally();
    state.report.log(LogLevel::Info, "stopped", []);
    drop(state);
    finish_log(report_thread);
    served
}

/// Waits until the last lines are written. Whoever reads them may have stopped reading: waiting on
/// would leave the process to the kill, and the host without a restart until then.
fn finish_log(thread: JoinHandle<()>) {
    let until = std::time::Instant::now() + LOG_SPAN;
    while !thread.is_finished() {
        if std::time::Instant::now() >= until {
            return;
        }
        std::thread::sleep(LOG_LOOK);
    }
    // A thread that panicked has nothing more to write.
    let _ = thread.join();
}

async fn serve(state: Rc<GatewayState>, path: &Path) -> Result<()> {
    let settings = state.settings();
    let calls = try_bind(settings.call_address)?;
    let ready = try_bind(settings.ready_address)?;
    spawn_local(run_listener(calls, Rc::clone(&state)));
    spawn_local(run_host_listener(ready, Rc::clone(&state)));
    if let Some(address) = settings.metrics_address {
        spawn_local(run_host_listener(try_bind(address)?, Rc::clone(&state)));
    }
    if let Some(address) = settings.peer_address {
        spawn_local(run_peer_listener(try_bind(address)?, Rc::clone(&state)));
    } else {
        // There is nobody to borrow from.
        state.lending.settle();
    }
    spawn_local(run_probes(Rc::clone(&state)));
    spawn_local(follow_kind(Rc::clone(&state), ObjectKind::Config));
    spawn_local(follow_kind(Rc::clone(&state), ObjectKind::Targets));
    spawn_local(run_registration(Rc::clone(&state)));
    spawn_local(run_expiry(Rc::clone(&state)));
    spawn_local(run_crash_follow(Rc::clone(&state)));
    spawn_local(run_crash_writer(Rc::clone(&state)));
    spawn_local(run_clock_reading(Rc::clone(&state)));
    spawn_local(EscrowKeeper::new(Rc::clone(&state)).run());
    spawn_local(run_store_tally(Rc::clone(&state)));
    spawn_local(run_settings_watch(path.to_owned(), Rc::clone(&state)));
    let fields = [
        ("version", env!("CARGO_PKG_VERSION").to_owned()),
        ("calls", settings.call_address.to_string()),
        ("domain", settings.domain.to_string()),
        ("store", settings.store.address.to_string()),
    ];
    state.report.log(LogLevel::Info, "started", fields);
    let mut terminate = signal(SignalKind::terminate()).wrap_err("cannot watch signals")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("cannot watch signals")?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    shut_down(&state).await;
    give_back(&state).await;
    Ok(())
}

/// Has all tokens given back that are not in use. The keeper of the escrow does so, as it alone knows
/// which of its writes may still be done.
async fn give_back(state: &GatewayState) {
    state.escrow.borrow_mut().close();
    let until = Instant::now() + GIVE_BACK;
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

/// Ends all calls within the grace.
///
/// The router is not ready from the first moment on, so that the balancer turns to others; until it
/// has done so, what still comes is served as before, or callers would find closed doors.
async fn shut_down(state: &GatewayState) {
    let grace_ms = state.settings().grace_ms;
    let ends_at = Instant::now() + Duration::from_millis(grace_ms.saturating_sub(EXIT_MS));
    let open = state.open_calls.get();
    let fields = [("open_calls", open.to_string())];
    state.report.log(LogLevel::Info, "leaving", fields);
    state.phase.send_replace(GatewayPhase::Leaving);
    sleep(Duration::from_millis(LEAVE_MS.min(grace_ms / 3))).await;
    state.phase.send_replace(GatewayPhase::Closing);
    while state.open_calls.get() > 0 {
        let ended = state.call_ended.notified();
        if timeout_at(ends_at, ended).await.is_err() {
            break;
        }
    }
    // Answers that were handed to the connections are on their way.
    sleep(Duration::from_millis(20)).await;
    let fields = [("open_calls", state.open_calls.get().to_string())];
    state.report.log(LogLevel::Info, "closing", fields);
}

fn try_bind(address: SocketAddr) -> Result<TcpListener> {
    open_listener(address).wrap_err_with(|| format!("{address} cannot be bound"))
}

fn open_listener(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}
