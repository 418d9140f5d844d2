//! The `caller_slots` module provides the places of callers' connections in the memory and the descriptors
//! of the process.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use beechsaddle_core::gateway::{ConnectionBudget, ConnectionId, ConnectionQuota, ConnectionStage};
use beechsaddle_core::prelude::*;
use beechsaddle_core::report::LogLevel;
use tokio::sync::Notify;

use super::gateway_metrics::{CALLER_EVICTED, CALLER_REFUSED, OutcomeLabel};
use super::gateway_state::GatewayState;

/// Minimum time between two log lines about connections that were closed for want of memory or descriptors,
/// in milliseconds: a crowd has thousands of them.
const CLOSES_LOG_INTERVAL_MS: u64 = 1_000;

/// The places of all open connections of callers.
pub(super) struct CallerSlots {
    budget: RefCell<ConnectionBudget>,
    /// Wakes the tasks of the connections.
    wakers: RefCell<BTreeMap<ConnectionId, Rc<Notify>>>,
    /// When connections that were closed were last logged, and how many were since.
    closes_logged_at: Cell<ClockTime>,
    evicted: Cell<u64>,
    refused: Cell<u64>,
}

impl CallerSlots {
    /// Creates the places of a process without connections.
    pub(super) fn new(quota: ConnectionQuota) -> Self {
        CallerSlots {
            budget: RefCell::new(ConnectionBudget::new(quota)),
            wakers: RefCell::default(),
            closes_logged_at: Cell::default(),
            evicted: Cell::default(),
            refused: Cell::default(),
        }
    }

    /// Sets another quota.
    pub(super) fn set_quota(&self, quota: ConnectionQuota) {
        self.budget.borrow_mut().set_quota(quota);
    }
}

/// The place of one connection, until it is dropped.
pub(super) struct CallerSlot {
    state: Rc<GatewayState>,
    id: ConnectionId,
    waker: Rc<Notify>,
    head_bytes: Cell<usize>,
    is_widening: Cell<bool>,
}

impl CallerSlot {
    /// Takes a place for a connection that was accepted now; `None` if there is none.
    pub(super) fn try_open(state: &Rc<GatewayState>) -> Option<Self> {
        let slots = &state.callers;
        let admitted = slots.budget.borrow_mut().admit(state.now());
        wake_evicted(state);
        let Some(id) = admitted else {
            slots.refused.set(slots.refused.get() + 1);
            record_close(state, CALLER_REFUSED);
            return None;
        };
        let waker = Rc::new(Notify::new());
        slots.wakers.borrow_mut().insert(id, Rc::clone(&waker));
        Some(CallerSlot {
            state: Rc::clone(state),
            id,
            waker,
            head_bytes: Cell::new(0),
            is_widening: Cell::new(false),
        })
    }

    /// Records that bytes of a request head were read.
    pub(super) fn record_head_bytes(&self, count: usize) {
        let bytes = self.head_bytes.get() + count;
        self.head_bytes.set(bytes);
        self.set_stage(ConnectionStage::Head(bytes));
    }

    /// Whether connections take most of their memory.
    pub(super) fn is_memory_short(&self) -> bool {
        self.state.callers.budget.borrow().is_short()
    }

    /// Whether there is memory for the call whose head was read. Its body arrives from now on.
    pub(super) fn try_start_call(&self) -> bool {
        let mut budget = self.state.callers.budget.borrow_mut();
        let has_memory = budget.has_memory_for_call(self.id, self.state.now());
        drop(budget);
        wake_evicted(&self.state);
        if has_memory {
            self.set_stage(ConnectionStage::Body);
        }
        has_memory
    }

    /// Records that the request was read.
    pub(super) fn record_request(&self) {
        self.set_stage(ConnectionStage::Running);
    }

    /// Records that the response was handed over to the connection.
    pub(super) fn record_response(&self) {
        self.head_bytes.set(0);
        self.set_stage(ConnectionStage::Idle);
    }

    /// Records that the last response was sent, and that the connection is read until its caller closes.
    pub(super) fn record_linger(&self) {
        self.set_stage(ConnectionStage::Lingering);
    }

    /// Records whether the caller does not read its response.
    pub(super) fn record_stall(&self, is_stalled: bool) {
        let stalled_since = is_stalled.then(|| self.state.now());
        let mut budget = self.state.callers.budget.borrow_mut();
        budget.set_stalled(self.id, stalled_since);
    }

    /// Asks for a large receive window.
    pub(super) fn widen(&self) {
        let mut budget = self.state.callers.budget.borrow_mut();
        if budget.try_widen(self.id) {
            self.is_widening.set(true);
        }
    }

    /// Whether a large receive window was granted and not set yet.
    pub(super) fn take_widening(&self) -> bool {
        self.is_widening.replace(false)
    }

    /// Whether the connection has to end, for memory or descriptors that others need.
    pub(super) fn is_evicted(&self) -> bool {
        self.state.callers.budget.borrow().is_evicted(self.id)
    }

    /// Waits until the connection may have to end.
    pub(super) async fn woken(&self) {
        self.waker.notified().await;
    }

    /// Waits until the connection has to end.
    pub(super) async fn evicted(&self) {
        while !self.is_evicted() {
            self.waker.notified().await;
        }
    }

    fn set_stage(&self, stage: ConnectionStage) {
        let mut budget = self.state.callers.budget.borrow_mut();
        budget.set_stage(self.id, stage, self.state.now());
        drop(budget);
        wake_evicted(&self.state);
    }
}

impl Drop for CallerSlot {
    fn drop(&mut self) {
        let slots = &self.state.callers;
        slots.budget.borrow_mut().remove(self.id);
        slots.wakers.borrow_mut().remove(&self.id);
    }
}

/// Wakes the tasks of connections that have to end.
fn wake_evicted(state: &GatewayState) {
    let slots = &state.callers;
    let evicted = slots.budget.borrow_mut().take_evicted();
    for id in evicted {
        if let Some(waker) = slots.wakers.borrow().get(&id) {
            waker.notify_waiters();
        }
        slots.evicted.set(slots.evicted.get() + 1);
        record_close(state, CALLER_EVICTED);
    }
}

/// Counts a connection that is closed, and logs how many were, at most once in an interval.
fn record_close(state: &GatewayState, what: &'static str) {
    let label = OutcomeLabel { what };
    state.metrics.caller_closes.get_or_create(&label).inc();
    let slots = &state.callers;
    let now = state.now();
    let logged_at = slots.closes_logged_at.get();
    if logged_at != ClockTime::ZERO && now.since(logged_at) < CLOSES_LOG_INTERVAL_MS {
        return;
    }
    slots.closes_logged_at.set(now);
    let budget = slots.budget.borrow();
    let fields = [
        (CALLER_EVICTED, slots.evicted.take().to_string()),
        (CALLER_REFUSED, slots.refused.take().to_string()),
        ("open", budget.open().to_string()),
        ("used_bytes", budget.used_bytes().to_string()),
    ];
    let report = &state.report;
    report.log(LogLevel::Warning, "callers_closed", fields);
}
