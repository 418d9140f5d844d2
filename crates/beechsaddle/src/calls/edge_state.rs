//! The `edge_state` module provides the state shared by all parts of the call edge.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use beechsaddle_core::call::CallEvent;
use beechsaddle_core::prelude::*;
use tokio::sync::watch;

use super::body_memory::BodyMemory;
use super::call_fault::CallFault;
use super::call_table::CallTable;
use super::calls_options::CallsOptions;
use super::echo_table::EchoTable;
use super::edge_phase::EdgePhase;
use super::event_ring::EventRing;
use super::linger::LingerPool;
use super::query_table::QueryTable;
use super::target_client::TargetClient;
use crate::router::ClockSource;

/// State shared by all parts of the call edge.
pub(crate) struct EdgeState {
    pub(crate) options: CallsOptions,
    /// Sends events to the core.
    pub(crate) ring: EventRing,
    pub(crate) calls: CallTable,
    pub(crate) queries: QueryTable,
    /// Sends requests to targets.
    pub(crate) client: TargetClient,
    /// Targets that echo attempt ids.
    pub(crate) echoes: EchoTable,
    /// Limit on the memory of all request bodies.
    pub(crate) body_memory: BodyMemory,
    /// Limit on the memory of all whole answers to calls.
    pub(crate) answer_memory: BodyMemory,
    /// Limit on the memory of all answers to probes.
    pub(crate) probe_memory: BodyMemory,
    /// Phase of the shutdown.
    pub(crate) phase: watch::Sender<EdgePhase>,
    /// Whether the core's thread reports this router as accepting calls.
    pub(crate) serving: AtomicBool,
    /// Number of open connections of callers and operators.
    pub(crate) connections: AtomicUsize,
    /// What is read of connections after their last answer.
    pub(crate) lingering: LingerPool,
}

impl EdgeState {
    /// Whether new calls are accepted.
    pub(crate) fn is_accepting(&self) -> bool {
        *self.phase.borrow() == EdgePhase::Accepting
    }

    /// Whether `/healthz` tells the load balancer to send calls to this router.
    pub(crate) fn is_serving(&self) -> bool {
        self.is_accepting() && self.serving.load(Ordering::Relaxed)
    }

    /// Advances to a later phase; does nothing for an earlier one.
    pub(crate) fn enter_phase(&self, phase: EdgePhase) {
        self.phase.send_if_modified(|current| {
            let is_later = phase > *current;
            if is_later {
                *current = phase;
            }
            is_later
        });
    }

    /// Reports a refusal by the edge to the core, which counts it.
    pub(crate) fn count_fault(&self, fault: &CallFault) {
        let refusal = fault.refusal.clone();
        self.ring
            .try_raise(CoreEvent::Call(CallEvent::Rejected(refusal)));
    }
}

/// The core's time.
pub(crate) fn system_time() -> ClockTime {
    ClockSource::of_process().now()
}
