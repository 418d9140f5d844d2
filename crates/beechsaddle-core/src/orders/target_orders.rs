//! The `target_orders` module provides the state of one router's orders to one engine.

use super::OrderFence;
use crate::clock::ClockTime;
use crate::names::{RouterIncarnation, ServiceName};
use crate::target::EngineState;

/// What is in flight for a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum OrderStep {
    /// Nothing.
    Idle,
    /// The fencing number is being read.
    Read { started: ClockTime },
    /// A new fencing number is being written.
    Claim {
        started: ClockTime,
        fence: OrderFence,
    },
    /// An order is in flight.
    Order,
}

/// An engine's reported state and this router's orders to it.
#[derive(Clone, Debug)]
pub(super) struct TargetOrders {
    pub(super) address: String,
    pub(super) service: ServiceName,
    pub(super) checks_fence: bool,
    /// The state that the engine reports; `None` when it did not answer.
    pub(super) reported: Option<EngineState>,
    pub(super) step: OrderStep,
    /// The fence that this router claimed.
    pub(super) held: Option<OrderFence>,
    /// The highest number that the engine has rejected as outdated.
    pub(super) refused: Option<u64>,
    /// The last ordered state, and when the order may be repeated.
    pub(super) ordered: Option<(EngineState, ClockTime)>,
    /// No action is taken before this time.
    pub(super) wait_until: ClockTime,
    /// When the load of the last order started, until its end is observed.
    pub(super) load_since: Option<ClockTime>,
    /// The fence of another live router, and when it was first read.
    pub(super) competitor: Option<(OrderFence, ClockTime)>,
}

impl TargetOrders {
    pub(super) fn new(address: String, service: ServiceName, checks_fence: bool) -> Self {
        TargetOrders {
            address,
            service,
            checks_fence,
            reported: None,
            step: OrderStep::Idle,
            held: None,
            refused: None,
            ordered: None,
            wait_until: ClockTime::ZERO,
            load_since: None,
            competitor: None,
        }
    }

    /// Clears this router's orders, since another router is in charge.
    pub(super) fn clear_orders(&mut self) {
        self.held = None;
        self.ordered = None;
        self.load_since = None;
        self.competitor = None;
    }

    /// Whether `desired` was ordered recently enough that the engine may still be working on it.
    pub(super) fn is_in_progress(&self, now: ClockTime, desired: &EngineState) -> bool {
        self.ordered
            .as_ref()
            .is_some_and(|(ordered, repeat_at)| ordered == desired && now < *repeat_at)
    }

    /// Records the fence of another live router. Returns whether it has been in place for
    /// `takeover_ms` without the engine reaching the declared state.
    pub(super) fn has_competitor_timed_out(
        &mut self,
        now: ClockTime,
        fence: &OrderFence,
        takeover_ms: u64,
    ) -> bool {
        match &self.competitor {
            Some((competitor, since)) if competitor == fence => now.since(*since) >= takeover_ms,
            Some(_) | None => {
                self.competitor = Some((fence.clone(), now));
                false
            }
        }
    }

    /// Whether `fence` was claimed by this router and may still be used. Every number is written
    /// only once, so a fence with this router's name is its own even if the reply to the write was
    /// lost.
    pub(super) fn is_own(&self, me: &RouterIncarnation, fence: &OrderFence) -> bool {
        fence.issuer == *me && self.refused.is_none_or(|refused| fence.number > refused)
    }

    /// Whether the fencing number is being read or claimed.
    pub(super) fn is_preparing(&self) -> bool {
        match self.step {
            OrderStep::Read { .. } | OrderStep::Claim { .. } => true,
            OrderStep::Idle | OrderStep::Order => false,
        }
    }
}
