//! The `calls_edge` module provides the start of the edge for callers, operators and targets.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize};

use beechsaddle_core::prelude::*;
use crossbeam_channel::Sender;
use eyre::{Result, WrapErr};
use tokio::net::{TcpListener, TcpSocket};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::watch;

use super::admin_service::AdminService;
use super::body_memory::BodyMemory;
use super::call_service::CallService;
use super::call_table::CallTable;
use super::calls_handle::CallsHandle;
use super::calls_options::CallsOptions;
use super::echo_table::EchoTable;
use super::edge_phase::EdgePhase;
use super::edge_state::EdgeState;
use super::event_ring::EventRing;
use super::linger::LingerPool;
use super::listener::run_listener;
use super::probe::probe_memory;
use super::query_table::QueryTable;
use super::ready_answer::answer_memory;
use super::target_client::TargetClient;

/// Maximum number of open connections of operators.
const MAX_ADMIN_CONNECTIONS: usize = 64;
/// Send buffer in bytes of a caller's connection: some seconds of a token stream, and enough for
/// tens of megabytes per second at a round-trip time of a few milliseconds.
const SEND_BUFFER_BYTES: u32 = 256 * 1_024;
/// Maximum number of connections waiting to be accepted.
const ACCEPT_BACKLOG: u32 = 1_024;

/// The edge for callers, operators and targets, with its own runtime and threads.
#[derive(Debug)]
pub struct CallsEdge;

impl CallsEdge {
    /// Starts the edge of one incarnation of a router. Its events go to `events`, the core's
    /// bounded ring; a full ring refuses new calls and delays the end events of running ones.
    ///
    /// # Errors
    ///
    /// If an address cannot be bound, or the runtime or the client cannot be created.
    pub fn try_start(
        options: CallsOptions,
        own_incarnation: RouterIncarnation,
        events: Sender<CoreEvent>,
    ) -> Result<CallsHandle> {
        let runtime = try_build_runtime(&options)?;
        let entered = runtime.enter();
        let call_listener = try_bind(options.call_address)?;
        let admin_listener = try_bind(options.admin_address)?;
        let call_address = call_listener.local_addr()?;
        let admin_address = admin_listener.local_addr()?;
        let call_limit = options.max_connections;
        let state = Arc::new(EdgeState {
            ring: EventRing::new(events, runtime.handle().clone()),
            calls: CallTable::new(own_incarnation),
            queries: QueryTable::default(),
            client: TargetClient::try_new(&options)?,
            echoes: EchoTable::default(),
            body_memory: BodyMemory::new(options.body_memory_bytes),
            answer_memory: answer_memory(),
            probe_memory: probe_memory(),
            phase: watch::Sender::new(EdgePhase::Accepting),
            serving: AtomicBool::new(false),
            connections: AtomicUsize::new(0),
            lingering: LingerPool::default(),
            options,
        });
        let call_task = runtime.spawn(run_listener(
            call_listener,
            CallService::new(Arc::clone(&state)),
            Arc::clone(&state),
            call_limit,
            EdgePhase::Refusing,
        ));
        // Stays open through the drain, so that operators can watch it.
        let admin_task = runtime.spawn(run_listener(
            admin_listener,
            AdminService::new(Arc::clone(&state)),
            Arc::clone(&state),
            MAX_ADMIN_CONNECTIONS,
            EdgePhase::Closing,
        ));
        drop(entered);
        Ok(CallsHandle::new(
            state,
            runtime,
            [call_task, admin_task],
            call_address,
            admin_address,
        ))
    }
}

fn try_build_runtime(options: &CallsOptions) -> Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(options.worker_threads.max(1))
        .thread_name("calls")
        .enable_all()
        .build()
        .wrap_err("cannot create the runtime of the call edge")
}

fn try_bind(address: SocketAddr) -> Result<TcpListener> {
    open_listener(address).wrap_err_with(|| format!("cannot bind {address}"))
}

/// Opens a listener whose connections have send buffers of a fixed size.
///
/// The host would let each grow to megabytes. A caller that stops reading must slow its target down
/// instead of filling the host's socket memory, which all connections share.
fn open_listener(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}
