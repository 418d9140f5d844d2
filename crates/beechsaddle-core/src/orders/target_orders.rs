//! The `target_orders` module provides what one router has ordered of one engine.

use super::OrderFence;
use crate::clock::ClockTime;
use crate::names::{RouterIncarnation, ServiceName};
use crate::target::EngineState;

/// What is in flight for a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum OrderStep {
    /// Nothing.
    Rest,
    /// The fencing number is read.
    Read {
        /// When the read was started.
        started: ClockTime,
    },
    /// A new fencing number is written.
    Claim {
        /// When the write was started.
        started: ClockTime,
        /// What is written.
        fence: OrderFence,
    },
    /// An order is on its way.
    Order,
}

/// An engine, as it reports itself and as this router has ordered it.
#[derive(Clone, Debug)]
pub(super) struct TargetOrders {
    pub(super) address: String,
    pub(super) service: ServiceName,
    pub(super) checks_fence: bool,
    /// What the engine says it serves; `None` when it did not answer.
    pub(super) reported: Option<EngineState>,
    pub(super) step: OrderStep,
    /// The fence that this router took.
    pub(super) held: Option<OrderFence>,
    /// The highest number that the engine has refused as overtaken.
    pub(super) refused: Option<u64>,
    /// What was ordered last, and when it may be ordered again.
    pub(super) ordered: Option<(EngineState, ClockTime)>,
    /// Nothing is done before this time.
    pub(super) wait_until: ClockTime,
    /// When the load that the last order started was started, until it is seen to end.
    pub(super) load_since: Option<ClockTime>,
    /// The fence of another live router, and since when it has stood.
    pub(super) rival: Option<(OrderFence, ClockTime)>,
}

impl TargetOrders {
    pub(super) fn new(address: String, service: ServiceName, checks_fence: bool) -> Self {
        TargetOrders {
            address,
            service,
            checks_fence,
            reported: None,
            step: OrderStep::Rest,
            held: None,
            refused: None,
            ordered: None,
            wait_until: ClockTime::ZERO,
            load_since: None,
            rival: None,
        }
    }

    /// Forgets what this router ordered, since another one orders now.
    pub(super) fn stand_down(&mut self) {
        self.held = None;
        self.ordered = None;
        self.load_since = None;
        self.rival = None;
    }

    /// Whether `wanted` was ordered so lately that the engine may still be about it.
    pub(super) fn is_under_way(&self, now: ClockTime, wanted: &EngineState) -> bool {
        self.ordered
            .as_ref()
            .is_some_and(|(ordered, repeat_at)| ordered == wanted && now < *repeat_at)
    }

    /// Notes the fence of another live router. Tells whether it has stood for `yield_ms` without
    /// getting the engine where it should be.
    pub(super) fn outlasts_rival(
        &mut self,
        now: ClockTime,
        fence: &OrderFence,
        yield_ms: u64,
    ) -> bool {
        match &self.rival {
            Some((rival, since)) if rival == fence => now.since(*since) >= yield_ms,
            Some(_) | None => {
                self.rival = Some((fence.clone(), now));
                false
            }
        }
    }

    /// Whether `fence` was taken by this router and may still be ordered with. Every number is
    /// written once only, so that one with this router's name is its own even if the answer to the
    /// write was lost.
    pub(super) fn is_own(&self, me: &RouterIncarnation, fence: &OrderFence) -> bool {
        fence.issuer == *me && self.refused.is_none_or(|refused| fence.number > refused)
    }

    /// Whether the fencing number is being asked for.
    pub(super) fn is_preparing(&self) -> bool {
        match self.step {
            OrderStep::Read { .. } | OrderStep::Claim { .. } => true,
            OrderStep::Rest | OrderStep::Order => false,
        }
    }
}
