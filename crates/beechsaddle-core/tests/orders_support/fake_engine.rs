//! The `fake_engine` module provides a model engine that takes orders.

use beechsaddle_core::prelude::*;
use beechsaddle_core::target::{EngineState, OrderOutcome};

/// A model engine.
#[derive(Clone, Debug)]
pub struct FakeEngine {
    pub target: TargetName,
    pub checks_fence: bool,
    pub state: EngineState,
    /// The highest fencing number seen.
    pub fence: u64,
    /// A load under way and when it ends.
    pub load: Option<(EngineState, ClockTime)>,
    /// How long it takes to load, in milliseconds.
    pub load_ms: u64,
    /// The orders that reached it.
    pub orders: Vec<(u64, EngineState, OrderOutcome)>,
}

impl FakeEngine {
    /// Takes an order, unless `is_store_busy`.
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

    /// Ends a load whose time is over.
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
