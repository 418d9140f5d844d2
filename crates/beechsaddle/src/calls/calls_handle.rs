//! The `calls_handle` module provides the running call edge to the rest of the process.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use beechsaddle_core::call::CallAction;
use beechsaddle_core::prelude::*;
use tokio::runtime::Runtime;

use super::edge_phase::EdgePhase;
use super::edge_state::EdgeState;
use super::probe::ProbeDesk;

/// How often the end of the last connection is looked for.
const STOP_POLL: Duration = Duration::from_millis(5);
/// How long tasks may take to end once their connections are cut.
const RUNTIME_END: Duration = Duration::from_millis(500);

/// The running call edge.
pub struct CallsHandle {
    state: Arc<EdgeState>,
    probes: ProbeDesk,
    runtime: Mutex<Option<Runtime>>,
    call_address: SocketAddr,
    admin_address: SocketAddr,
}

impl CallsHandle {
    /// Wraps a started edge.
    pub(crate) fn new(
        state: Arc<EdgeState>,
        runtime: Runtime,
        call_address: SocketAddr,
        admin_address: SocketAddr,
    ) -> Self {
        CallsHandle {
            probes: ProbeDesk::new(Arc::clone(&state), runtime.handle().clone()),
            state,
            runtime: Mutex::new(Some(runtime)),
            call_address,
            admin_address,
        }
    }

    /// Carries out an action of the core without waiting for anything; actions for other edges
    /// are left alone.
    ///
    /// Each call has a bounded ring of its own for its actions, and probes and orders share a
    /// bounded number of slots, so that nothing queues up here without bound.
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

    /// Tells the balancer, through `/healthz`, whether this router takes calls; false at first.
    pub fn set_serving(&self, is_serving: bool) {
        self.state.serving.store(is_serving, Ordering::Relaxed);
    }

    /// Where callers connect.
    pub fn call_address(&self) -> SocketAddr {
        self.call_address
    }

    /// Where operators connect.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Calls that are running.
    pub fn open_calls(&self) -> usize {
        self.state.calls.len()
    }

    /// Connections of callers and operators that are open.
    pub fn open_connections(&self) -> usize {
        self.state.connections.load(Ordering::Relaxed)
    }

    /// How often the core's event ring was found full.
    pub fn ring_full_count(&self) -> u64 {
        self.state.ring.full_count()
    }

    /// Stops the edge: lets connections end on their own for at most `patience`, then cuts the
    /// rest and returns how many those were. Must not be called from within a runtime.
    pub fn stop(&self, patience: Duration) -> usize {
        self.state.enter_phase(EdgePhase::Closing);
        let deadline = Instant::now() + patience;
        while self.open_connections() > 0 && Instant::now() < deadline {
            thread::sleep(STOP_POLL);
        }
        let cut = self.open_connections();
        let runtime = self
            .runtime
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        if let Some(runtime) = runtime {
            runtime.shutdown_timeout(RUNTIME_END);
        }
        cut
    }
}
