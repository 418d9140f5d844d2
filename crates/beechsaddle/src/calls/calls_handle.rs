//! The `calls_handle` module provides the handle of the running call edge.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use beechsaddle_core::call::CallAction;
use beechsaddle_core::prelude::*;
use tokio::runtime::Runtime;
use tokio::task::JoinHandle;

use super::edge_phase::EdgePhase;
use super::edge_state::EdgeState;
use super::probe::ProbeRunner;

/// Interval at which the edge is polled for open connections.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time limit for tasks to end once their connections are closed.
const RUNTIME_SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(500);

/// Handle of the running call edge.
pub struct CallsHandle {
    state: Arc<EdgeState>,
    probes: ProbeRunner,
    runtime: Mutex<Option<Runtime>>,
    /// Tasks that accept connections of callers and operators.
    listeners: [JoinHandle<()>; 2],
    call_address: SocketAddr,
    admin_address: SocketAddr,
}

impl CallsHandle {
    pub(crate) fn new(
        state: Arc<EdgeState>,
        runtime: Runtime,
        listeners: [JoinHandle<()>; 2],
        call_address: SocketAddr,
        admin_address: SocketAddr,
    ) -> Self {
        CallsHandle {
            probes: ProbeRunner::new(Arc::clone(&state), runtime.handle().clone()),
            state,
            runtime: Mutex::new(Some(runtime)),
            listeners,
            call_address,
            admin_address,
        }
    }

    /// Carries out an action of the core without waiting; ignores actions for other edges.
    ///
    /// Each call has its own bounded ring for actions, and probes and orders share a bounded number
    /// of slots, so nothing queues up without a limit.
    pub fn send(&self, action: CoreAction) {
        match action {
            CoreAction::Call(action) => self.send_call(action),
            CoreAction::Target(action) => self.probes.start(action),
            CoreAction::Status { query, status } => self.state.queries.answer(query, status),
            _ => {}
        }
    }

    fn send_call(&self, action: CallAction) {
        let call = match &action {
            CallAction::Refuse { call, .. }
            | CallAction::Models { call, .. }
            | CallAction::Finish { call }
            | CallAction::Abort { call } => call.clone(),
            CallAction::Dispatch { attempt, .. } => attempt.call.clone(),
            CallAction::StopAccepting => return self.state.enter_phase(EdgePhase::Refusing),
        };
        self.state.calls.deliver(&call, action);
    }

    /// Sets whether `/healthz` reports this router as accepting calls; false initially.
    pub fn set_serving(&self, is_serving: bool) {
        self.state.serving.store(is_serving, Ordering::Relaxed);
    }

    /// Local address of the callers' listener.
    pub fn call_address(&self) -> SocketAddr {
        self.call_address
    }

    /// Local address of the operators' listener.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Number of running calls.
    pub fn open_calls(&self) -> usize {
        self.state.calls.len()
    }

    /// Number of open connections of callers and operators.
    pub fn open_connections(&self) -> usize {
        self.state.connections.load(Ordering::Relaxed)
    }

    /// Ends the edge with its last connection: closes both listeners; connections of callers close
    /// once all that has arrived on them is answered.
    pub fn close(&self) {
        self.state.enter_phase(EdgePhase::Closing);
    }

    /// Whether no connection is open, and none can be accepted any more.
    pub fn is_closed(&self) -> bool {
        // The listeners count the last connections before they end.
        self.listeners.iter().all(JoinHandle::is_finished) && self.open_connections() == 0
    }

    /// How many events found the core's ring full.
    pub fn ring_full_count(&self) -> u64 {
        self.state.ring.full_count()
    }

    /// Stops the edge: waits up to `wait_limit` for connections to end, then closes the remaining
    /// ones and returns their number. Must not be called from within a runtime.
    pub fn stop(&self, wait_limit: Duration) -> usize {
        self.close();
        let deadline = Instant::now() + wait_limit;
        while !self.is_closed() && Instant::now() < deadline {
            thread::sleep(STOP_POLL_INTERVAL);
        }
        let cut = self.open_connections();
        let runtime = self
            .runtime
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        if let Some(runtime) = runtime {
            runtime.shutdown_timeout(RUNTIME_SHUTDOWN_TIMEOUT);
        }
        cut
    }
}
