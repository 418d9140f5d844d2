//! The `fake_engine` module provides a model engine that takes orders.

use beechsaddle_core::prelude::*;
use beechsaddle_core::target::{EngineState, OrderOutcome};

#[derive(Clone, Debug)]
pub struct FakeEngine {
    pub target: TargetName,
    pub checks_fence: bool,
    pub state: EngineState,
    /// The highest fencing number seen.
    pub fence: u64,
    /// The running load and when it ends.
    pub load: Option<(EngineState, ClockTime)>,
    /// The duration of a load in milliseconds.
    pub load_ms: u64,
    /// The orders that reached the engine.
    pub orders: Vec<(u64, EngineState, OrderOutcome)>,
}

impl FakeEngine {
    /// Handles an order; `is_store_busy` throttles it.
    pub fn order(
        &mut self,
        now: ClockTime,
        fence: u64,
        state: &EngineState,
        is_store_busy: bool,
    ) -> OrderOutcome {
        let outcome = if self.checks_fence && fence < self.fence {
            OrderOutcome::Fenced
        } else if is_store_busy {
            OrderOutcome::Throttled {
                retry_after_ms: 5_000,
            }
        } else {
            self.fence = self.fence.max(fence);
            if *state != self.state {
                self.load = Some((state.clone(), now.plus_ms(self.load_ms)));
            }
            OrderOutcome::Accepted
        };
        self.orders.push((fence, state.clone(), outcome));
        outcome
    }

    /// Completes a load that is due.
    pub fn pass_time(&mut self, now: ClockTime) {
        if let Some((state, end)) = self.load.take() {
            if now >= end {
                self.state = state;
            } else {
                self.load = Some((state, end));
            }
        }
    }
}
