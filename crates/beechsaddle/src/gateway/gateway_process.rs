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

use super::board::run_board_exchange;
use super::caller_listener::run_listener;
use super::changes::{follow_kind, run_expiry, run_probes, run_registration};
use super::clock_manager::run_clock_reading;
use super::crashes::{run_crash_follow, run_crash_writer, run_trial_ends};
use super::gateway_settings::GatewaySettings;
use super::gateway_shutdown::shut_down;
use super::gateway_state::GatewayState;
use super::host_listener::run_host_listener;
use super::ledger_sync::LedgerSync;
use super::peer_server::run_peer_listener;
use super::settings_watch::run_settings_watch;
use super::store_tally::run_store_tally;
use super::target_path::run_path_probe;
use crate::report::{ReportEdge, ReportOptions};
use crate::router::ClockSource;

/// Maximum number of connections that wait to be accepted.
const ACCEPT_BACKLOG: u32 = 1_024;

/// Receive buffer of a connection of a caller or of an operator, in bytes; the host takes up to twice as much.
/// What waits unread counts towards the memory of the process, and the host would let it grow to megabytes for
/// each connection. Most requests fit.
const CALLER_RECEIVE_BYTES: u32 = 12 * 1_024;

/// Receive buffer of a connection of another router, in bytes: tunnels carry whole bodies.
const PEER_RECEIVE_BYTES: u32 = 32 * 1_024;

/// Timeout of writing the last log lines.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(150);

/// Interval between checks whether the log writer has finished.
const LOG_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Runs a gateway until it has shut down.
///
/// # Errors
///
/// If an address cannot be bound, or a thread or the runtime cannot be created.
pub fn run(settings: GatewaySettings, path: &Path) -> Result<()> {
    let clock = ClockSource::of_process();
    let me = RouterIncarnation::new(settings.host.clone(), clock.now().as_millis());
    let mut options = ReportOptions::new(me.to_string()).with_writer(io::stdout());
    options.level = settings.log.level;
    let (report, report_thread) =
        ReportEdge::try_start(options).wrap_err("cannot start the log thread")?;
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("cannot create the runtime")?;
    let state = Rc::new(GatewayState::new(settings, me, report));
    let served = LocalSet::new().block_on(&runtime, serve(Rc::clone(&state), path));
    // The log thread ends once the last reference to the state is dropped, and the runtime's tasks
    // hold such references, so the runtime is dropped first.
    drop(runtime);
    state.log_store_tally();
    state.report.log(LogLevel::Info, "stopped", []);
    drop(state);
    flush_log(report_thread);
    served
}

/// Waits until the last log lines are written. The reader of the log may be stuck: waiting longer would end
/// in the kill, and delay the restart on this host until then.
fn flush_log(thread: JoinHandle<()>) {
    let until = std::time::Instant::now() + LOG_FLUSH_TIMEOUT;
    while !thread.is_finished() {
        if std::time::Instant::now() >= until {
            return;
        }
        std::thread::sleep(LOG_POLL_INTERVAL);
    }
    // A thread that panicked has nothing left to write.
    let _ = thread.join();
}

async fn serve(state: Rc<GatewayState>, path: &Path) -> Result<()> {
    let settings = state.settings();
    // Installed before connections are accepted, which the default action of the signals would reset.
    let mut terminate =
        signal(SignalKind::terminate()).wrap_err("cannot install a signal handler")?;
    let mut interrupt =
        signal(SignalKind::interrupt()).wrap_err("cannot install a signal handler")?;
    let calls = try_bind(settings.call_address, CALLER_RECEIVE_BYTES)?;
    let ready = try_bind(settings.ready_address, CALLER_RECEIVE_BYTES)?;
    let listener = spawn_local(run_listener(calls, Rc::clone(&state)));
    spawn_local(run_host_listener(ready, Rc::clone(&state)));
    if let Some(address) = settings.metrics_address {
        let metrics = try_bind(address, CALLER_RECEIVE_BYTES)?;
        spawn_local(run_host_listener(metrics, Rc::clone(&state)));
    }
    if let Some(address) = settings.peer_address {
        let peers = try_bind(address, PEER_RECEIVE_BYTES)?;
        spawn_local(run_peer_listener(peers, Rc::clone(&state)));
    } else {
        // Without a peer address there are no lenders.
        state.lending.enable_roles();
    }
    spawn_local(run_probes(Rc::clone(&state)));
    spawn_local(follow_kind(Rc::clone(&state), ObjectKind::Config));
    spawn_local(follow_kind(Rc::clone(&state), ObjectKind::Targets));
    if settings.follows_evacuations() {
        spawn_local(follow_kind(Rc::clone(&state), ObjectKind::Evacuations));
    }
    spawn_local(run_registration(Rc::clone(&state)));
    spawn_local(run_expiry(Rc::clone(&state)));
    spawn_local(run_crash_follow(Rc::clone(&state)));
    spawn_local(run_crash_writer(Rc::clone(&state)));
    spawn_local(run_trial_ends(Rc::clone(&state)));
    spawn_local(run_clock_reading(Rc::clone(&state)));
    spawn_local(run_board_exchange(Rc::clone(&state)));
    spawn_local(run_path_probe(Rc::clone(&state)));
    spawn_local(LedgerSync::new(Rc::clone(&state)).run());
    spawn_local(run_store_tally(Rc::clone(&state)));
    spawn_local(run_settings_watch(path.to_owned(), Rc::clone(&state)));
    let fields = [
        ("version", env!("CARGO_PKG_VERSION").to_owned()),
        ("calls", settings.call_address.to_string()),
        ("domain", settings.domain.to_string()),
        ("store", settings.store.address.to_string()),
    ];
    state.report.log(LogLevel::Info, "started", fields);
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    shut_down(&state, listener).await;
    Ok(())
}

/// Binds an address whose connections have a receive buffer of a size, in bytes. Reducing it later would
/// stall them.
fn try_bind(address: SocketAddr, receive_bytes: u32) -> Result<TcpListener> {
    let listener = open_listener(address, receive_bytes);
    listener.wrap_err_with(|| format!("cannot bind {address}"))
}

fn open_listener(address: SocketAddr, receive_bytes: u32) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_recv_buffer_size(receive_bytes)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}
