//! The `order_desk` module provides how an engine takes orders.

use serde::{Deserialize, Serialize};
use tokio::time::{Duration, Instant};

use beechsaddle_core::target::EngineState;

use super::engine_options::EngineOptions;

/// An order as it comes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// The fencing number.
    pub fence: u64,
    /// The state to reach.
    #[serde(flatten)]
    pub state: EngineState,
}

/// How an order was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OrderAnswer {
    Accepted,
    Fenced,
    Throttled { retry_after_ms: u64 },
}

/// Takes orders; the last one wins.
#[derive(Debug)]
pub(super) struct OrderDesk {
    checks_fence: bool,
    load: Duration,
    weight_gap: Duration,
    highest_fence: u64,
    state: EngineState,
    loading: Option<(Instant, EngineState)>,
    last_load: Option<Instant>,
    taken: Vec<EngineOrder>,
}

impl OrderDesk {
    pub(super) fn new(options: &EngineOptions) -> Self {
        OrderDesk {
            checks_fence: options.checks_fence,
            load: Duration::from_millis(options.load_ms),
            weight_gap: Duration::from_millis(options.weight_gap_ms),
            highest_fence: 0,
            state: options.state.clone(),
            loading: None,
            last_load: None,
            taken: Vec::new(),
        }
    }

    /// What the engine serves now.
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

    /// Takes an order, or not.
    pub(super) fn take(&mut self, order: EngineOrder) -> OrderAnswer {
        if self.checks_fence && order.fence < self.highest_fence {
            return OrderAnswer::Fenced;
        }
        self.highest_fence = self.highest_fence.max(order.fence);
        let now = Instant::now();
        if self.state() != order.state {
            if let Some(retry_after_ms) = self.busy_ms(now) {
                return OrderAnswer::Throttled { retry_after_ms };
            }
            self.last_load = Some(now);
        }
        self.loading = Some((now + self.load, order.state.clone()));
        self.taken.push(order);
        OrderAnswer::Accepted
    }

    /// The orders taken so far.
    pub(super) fn taken(&self) -> &[EngineOrder] {
        &self.taken
    }

    fn busy_ms(&self, now: Instant) -> Option<u64> {
        let free = self.last_load? + self.weight_gap;
        let busy = free.checked_duration_since(now)?;
        (!busy.is_zero()).then(|| busy.as_millis() as u64 + 1)
    }
}
