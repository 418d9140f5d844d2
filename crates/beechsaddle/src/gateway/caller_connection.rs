//! The `caller_connection` module provides the limits in force on a caller's connection.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use beechsaddle_core::gateway::IdleLimit;
use beechsaddle_core::prelude::*;
use beechsaddle_core::report::LogLevel;

use super::caller_slots::CallerSlot;
use super::gateway_metrics::{CALLER_CLOSES, OutcomeLabel};
use super::gateway_state::{GatewayPhase, GatewayState};
use crate::calls::{StreamCut, StreamLimits};

/// How long a new connection is kept for its first request after the drain of a shutdown: a round trip
/// and one retransmission.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(300);

/// How many bytes of a head are read at a time while memory is short, in bytes. Connections that have to end are
/// freed after all others were read once, which then take little more.
const SHORT_READ_BYTES: usize = 2_048;

/// How the requests of a caller's connection arrive.
#[derive(Clone, Debug)]
pub(super) struct ConnectionHistory {
    accepted_at: ClockTime,
    requests: Cell<u64>,
    head_began_at: Cell<ClockTime>,
}

/// How one request arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RequestArrival {
    /// The age of its connection, in milliseconds.
    pub(super) connection_ms: u64,
    /// The number of requests before it on its connection.
    pub(super) earlier_requests: u64,
    /// The time from the first bytes of its head to the last ones, in milliseconds.
    pub(super) head_ms: u64,
}

impl ConnectionHistory {
    /// Creates the history of a connection that was accepted at a time.
    pub(super) fn new(accepted_at: ClockTime) -> Self {
        ConnectionHistory {
            accepted_at,
            requests: Cell::new(0),
            head_began_at: Cell::new(accepted_at),
        }
    }

    /// Records that the whole head of a request was read.
    pub(super) fn record_request(&self, now: ClockTime) -> RequestArrival {
        RequestArrival {
            connection_ms: now.since(self.accepted_at),
            earlier_requests: self.requests.replace(self.requests.get() + 1),
            head_ms: now.since(self.head_began_at.get()),
        }
    }
}

/// Counts a connection for which a shutdown waits, until it is dropped.
pub(super) struct ActiveConnection {
    state: Rc<GatewayState>,
}

impl ActiveConnection {
    /// Counts a connection that was accepted now.
    pub(super) fn start(state: &Rc<GatewayState>) -> Self {
        let active = state.active_connections.get() + 1;
        state.active_connections.set(active);
        ActiveConnection {
            state: Rc::clone(state),
        }
    }
}

impl Drop for ActiveConnection {
    fn drop(&mut self) {
        let active = self.state.active_connections.get().saturating_sub(1);
        self.state.active_connections.set(active);
        self.state.work_ended.notify_one();
    }
}

/// An open connection of a caller. It counts as open until it is dropped.
pub(super) struct CallerConnection {
    state: Rc<GatewayState>,
    history: Rc<ConnectionHistory>,
    slot: Rc<CallerSlot>,
}

impl CallerConnection {
    /// Counts a connection that was accepted now.
    pub(super) fn new(
        state: Rc<GatewayState>,
        history: Rc<ConnectionHistory>,
        slot: Rc<CallerSlot>,
    ) -> Self {
        let open_connections = state.open_connections.get() + 1;
        state.open_connections.set(open_connections);
        CallerConnection {
            state,
            history,
            slot,
        }
    }

    fn idle_limit(&self) -> IdleLimit {
        let state = &self.state;
        let bounds = state.settings().change_bounds;
        let open_connections = state.open_connections.get();
        let limits = state.limit_history.borrow();
        limits.idle_limit(state.now(), bounds, open_connections)
    }

    /// Returns how long the connection is kept for a request in a shutdown; `None` if it is kept as
    /// usual.
    fn shutdown_timeout(&self) -> Option<Duration> {
        let is_closing = self.state.phase() >= GatewayPhase::Closing;
        is_closing.then(|| match self.history.requests.get() {
            0 => FIRST_REQUEST_TIMEOUT,
            _ => Duration::ZERO,
        })
    }

    fn head_timeout_ms(&self) -> u64 {
        let state = &self.state;
        let bounds = state.settings().change_bounds;
        let limits = state.limit_history.borrow();
        limits.head_timeout_ms(state.now(), bounds)
    }
}

impl StreamLimits for CallerConnection {
    fn head_timeout(&self) -> Duration {
        Duration::from_millis(self.head_timeout_ms())
    }

    fn idle_timeout(&self) -> Option<Duration> {
        let idle_timeout = Duration::from_millis(self.idle_limit().as_millis());
        let shutdown_timeout = self.shutdown_timeout().unwrap_or(idle_timeout);
        Some(idle_timeout.min(shutdown_timeout))
    }

    fn record_head_bytes(&self, count: usize, is_start: bool) {
        if is_start {
            self.history.head_began_at.set(self.state.now());
        }
        self.slot.record_head_bytes(count);
    }

    fn head_read_max(&self) -> usize {
        match self.slot.is_memory_short() {
            true => SHORT_READ_BYTES,
            false => usize::MAX,
        }
    }

    fn record_stall(&self, is_stalled: bool) {
        self.slot.record_stall(is_stalled);
    }

    fn is_evicted(&self) -> bool {
        self.slot.is_evicted()
    }

    fn take_widening(&self) -> bool {
        self.slot.take_widening()
    }

    fn record_cut(&self, cut: StreamCut) {
        if cut == StreamCut::Evicted {
            // Counted when it was told to end.
            return;
        }
        let state = &self.state;
        let [idle, unconfirmed, head, shutdown, ..] = CALLER_CLOSES;
        if cut == StreamCut::Idle && self.shutdown_timeout().is_some() {
            let label = OutcomeLabel { what: shutdown };
            state.metrics.caller_closes.get_or_create(&label).inc();
            return;
        }
        let (what, limit_ms, level) = match (cut, self.idle_limit()) {
            (StreamCut::Idle, IdleLimit::Known(limit_ms)) => (idle, limit_ms, LogLevel::Debug),
            (StreamCut::Idle, IdleLimit::Unconfirmed(limit_ms)) => {
                (unconfirmed, limit_ms, LogLevel::Info)
            }
            (StreamCut::Head | StreamCut::Evicted, _) => {
                (head, self.head_timeout_ms(), LogLevel::Debug)
            }
        };
        let label = OutcomeLabel { what };
        state.metrics.caller_closes.get_or_create(&label).inc();
        let config = state.config();
        let mut fields = vec![
            ("what", what.to_owned()),
            (
                "open_ms",
                state.now().since(self.history.accepted_at).to_string(),
            ),
            ("limit_ms", limit_ms.to_string()),
            ("store_age_ms", state.store_age_ms().to_string()),
        ];
        fields.extend(config.map(|config| ("config", config.version.to_string())));
        state.report.log(level, "caller_closed", fields);
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        let open_connections = self.state.open_connections.get();
        self.state
            .open_connections
            .set(open_connections.saturating_sub(1));
    }
}
