//! The `edge_state` module provides what all parts of the edge share.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use beechsaddle_core::call::CallEvent;
use beechsaddle_core::prelude::*;
use tokio::sync::watch;

use super::body_memory::BodyMemory;
use super::call_fault::CallFault;
use super::call_table::CallTable;
use super::calls_options::CallsOptions;
use super::echo_book::EchoBook;
use super::edge_phase::EdgePhase;
use super::event_ring::EventRing;
use super::query_table::QueryTable;
use super::target_client::TargetClient;
use crate::router::ClockSource;

/// What all parts of the edge share.
pub(crate) struct EdgeState {
    /// Addresses and limits.
    pub(crate) options: CallsOptions,
    /// The way to the core.
    pub(crate) ring: EventRing,
    /// The open calls.
    pub(crate) calls: CallTable,
    /// The open status queries.
    pub(crate) queries: QueryTable,
    /// The way to targets.
    pub(crate) client: TargetClient,
    /// Which targets echo attempts.
    pub(crate) echoes: EchoBook,
    /// The bound on request bodies.
    pub(crate) body_memory: BodyMemory,
    /// How far shutting down has come.
    pub(crate) phase: watch::Sender<EdgePhase>,
    /// Whether the balancer may send calls here, as told by the core's thread.
    pub(crate) serving: AtomicBool,
    /// Open connections of callers and operators.
    pub(crate) connections: AtomicUsize,
}

impl EdgeState {
    /// Whether new calls are taken.
    pub(crate) fn is_accepting(&self) -> bool {
        *self.phase.borrow() == EdgePhase::Accepting
    }

    /// Whether the balancer may send calls here.
    pub(crate) fn is_serving(&self) -> bool {
        self.is_accepting() && self.serving.load(Ordering::Relaxed)
    }

    /// Moves on to a later phase; an earlier one changes nothing.
    pub(crate) fn enter_phase(&self, phase: EdgePhase) {
        self.phase.send_if_modified(|current| {
            let is_later = phase > *current;
            if is_later {
                *current = phase;
            }
            is_later
        });
    }

    /// Has a refusal of the edge counted.
    pub(crate) fn count_fault(&self, fault: &CallFault) {
        let refusal = fault.refusal.clone();
        self.ring
            .try_raise(CoreEvent::Call(CallEvent::Rejected(refusal)));
    }
}

/// The time that the core goes by.
pub(crate) fn system_time() -> ClockTime {
    ClockSource::of_process().now()
}
