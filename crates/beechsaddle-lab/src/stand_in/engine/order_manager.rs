//! The `order_manager` module provides the handling of orders to an engine.

use serde::{Deserialize, Serialize};
use tokio::time::{Duration, Instant};

use beechsaddle_core::target::EngineState;

use super::engine_options::EngineOptions;

/// An order as it is received.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// The fencing number of the sender.
    pub fence: u64,
    /// The state that the engine has to reach.
    #[serde(flatten)]
    pub state: EngineState,
}

/// The outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OrderOutcome {
    Accepted,
    Fenced,
    Throttled { retry_after_ms: u64 },
}

/// The state of an engine under orders; the last accepted order applies.
#[derive(Debug)]
pub(super) struct OrderManager {
    checks_fence: bool,
    load: Duration,
    weight_gap: Duration,
    highest_fence: u64,
    state: EngineState,
    loading: Option<(Instant, EngineState)>,
    last_load: Option<Instant>,
    accepted: Vec<EngineOrder>,
}

impl OrderManager {
    pub(super) fn new(options: &EngineOptions) -> Self {
        OrderManager {
            checks_fence: options.checks_fence,
            load: Duration::from_millis(options.load_ms),
            weight_gap: Duration::from_millis(options.weight_gap_ms),
            highest_fence: 0,
            state: options.state.clone(),
            loading: None,
            last_load: None,
            accepted: Vec::new(),
        }
    }

    /// Returns the state that the engine serves now.
    pub(super) fn state(&mut self) -> EngineState {
        if let Some((ready, state)) = self.loading.take() {
            if ready <= Instant::now() {
                self.state = state;
            } else {
                self.loading = Some((ready, state));
            }
        }
        self.state.clone()
    }

    /// Accepts an order, or rejects it for an outdated fencing number or for loading too soon.
    pub(super) fn apply(&mut self, order: EngineOrder) -> OrderOutcome {
        if self.checks_fence && order.fence < self.highest_fence {
            return OrderOutcome::Fenced;
        }
        self.highest_fence = self.highest_fence.max(order.fence);
        let now = Instant::now();
        if self.state() != order.state {
            if let Some(retry_after_ms) = self.busy_ms(now) {
                return OrderOutcome::Throttled { retry_after_ms };
            }
            self.last_load = Some(now);
        }
        self.loading = Some((now + self.load, order.state.clone()));
        self.accepted.push(order);
        OrderOutcome::Accepted
    }

    /// Returns the accepted orders, oldest first.
    pub(super) fn accepted(&self) -> &[EngineOrder] {
        &self.accepted
    }

    fn busy_ms(&self, now: Instant) -> Option<u64> {
        let free = self.last_load? + self.weight_gap;
        let busy = free.checked_duration_since(now)?;
        (!busy.is_zero()).then(|| busy.as_millis() as u64 + 1)
    }
}
