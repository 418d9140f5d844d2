//! The `fence_claim` module provides how a router comes by the fencing number of a target.

use super::order_desk::fence_key;
use super::target_orders::OrderStep;
use super::{OrderDesk, OrderFence};
use crate::clock::ClockTime;
use crate::names::TargetName;
use crate::objects::PlatformObject;
use crate::outbox::CoreOutbox;
use crate::platform::{PlatformCall, PlatformReply, PlatformTicket, WriteGuard};

impl OrderDesk {
    /// Takes in the outcome of a platform call.
    pub fn on_platform(
        &mut self,
        now: ClockTime,
        ticket: PlatformTicket,
        reply: PlatformReply,
        outbox: &mut CoreOutbox,
    ) {
        let Some(target) = self.tickets.remove(&ticket.number) else {
            return;
        };
        let Some(orders) = self.targets.get_mut(&target) else {
            return;
        };
        match std::mem::replace(&mut orders.step, OrderStep::Rest) {
            OrderStep::Read { started } => self.on_read(now, &target, started, reply, outbox),
            OrderStep::Claim { started, fence } => {
                self.on_claimed(now, &target, started, fence, reply, outbox);
            }
            // The target was removed and came back while its old call was in flight.
            step @ (OrderStep::Rest | OrderStep::Order) => orders.step = step,
        }
    }

    fn on_read(
        &mut self,
        now: ClockTime,
        target: &TargetName,
        started: ClockTime,
        reply: PlatformReply,
        outbox: &mut CoreOutbox,
    ) {
        match reply {
            PlatformReply::Absent => self.claim(now, target, None, WriteGuard::Absent, outbox),
            PlatformReply::Found(stored) => match stored.object.map(|object| *object) {
                Some(PlatformObject::Fence(fence)) => {
                    let guard = WriteGuard::Version(stored.version);
                    self.on_fence(now, target, started, fence, guard, outbox);
                }
                Some(_) | None => self.wait(now, target, self.options.yield_ms),
            },
            PlatformReply::Throttled { retry_after_ms } => self.wait(now, target, retry_after_ms),
            PlatformReply::Written { .. }
            | PlatformReply::Deleted
            | PlatformReply::Conflict
            | PlatformReply::Listed { .. }
            | PlatformReply::Changed { .. }
            | PlatformReply::Unreachable
            | PlatformReply::Unknown
            | PlatformReply::Invalid => self.wait(now, target, self.options.retry_ms),
        }
    }

    /// Decides by the fence that stands whether to order, to take over, or to leave it to others.
    fn on_fence(
        &mut self,
        now: ClockTime,
        target: &TargetName,
        started: ClockTime,
        fence: OrderFence,
        guard: WriteGuard,
        outbox: &mut CoreOutbox,
    ) {
        let is_fresh = now.since(started) <= self.options.fresh_ms;
        let is_live = fence.issuer != self.me && self.live.contains(&fence.issuer);
        let yield_ms = self.options.yield_ms;
        let retry_ms = self.options.retry_ms;
        let Some(orders) = self.targets.get_mut(target).filter(|_| is_fresh) else {
            // The router was frozen between the question and the answer. Who orders now may be
            // another; it asks again.
            return;
        };
        if fence.revision > self.revision {
            // This router has missed a change of the catalogue. To order by the old one would
            // bring back a model that operators have replaced.
            self.wait(now, target, retry_ms);
        } else if orders.is_own(&self.me, &fence) && fence.revision == self.revision {
            orders.held = Some(fence);
            self.send_order(now, target, outbox);
        } else if is_live && !orders.outlasts_rival(now, &fence, yield_ms) {
            // Two routers that both think they are picked would else overtake each other at every
            // check.
            self.wait(now, target, retry_ms);
        } else {
            self.claim(now, target, Some(&fence), guard, outbox);
        }
    }

    fn claim(
        &mut self,
        now: ClockTime,
        target: &TargetName,
        found: Option<&OrderFence>,
        guard: WriteGuard,
        outbox: &mut CoreOutbox,
    ) {
        // Between question and answer another router may have been picked.
        if !self.wanted.contains_key(target) {
            return;
        }
        let fence = self.next_fence(found);
        let call = PlatformCall::Write {
            key: fence_key(target),
            object: Box::new(PlatformObject::Fence(fence.clone())),
            guard,
        };
        self.call_platform(target, call, outbox);
        if let Some(orders) = self.targets.get_mut(target) {
            orders.held = None;
            orders.step = OrderStep::Claim {
                started: now,
                fence,
            };
        }
    }

    fn on_claimed(
        &mut self,
        now: ClockTime,
        target: &TargetName,
        started: ClockTime,
        fence: OrderFence,
        reply: PlatformReply,
        outbox: &mut CoreOutbox,
    ) {
        let is_fresh = now.since(started) <= self.options.fresh_ms;
        match reply {
            PlatformReply::Written { .. } => {
                if let Some(orders) = self.targets.get_mut(target) {
                    orders.held = Some(fence);
                    orders.rival = None;
                }
                if is_fresh {
                    self.send_order(now, target, outbox);
                }
            }
            PlatformReply::Throttled { retry_after_ms } => self.wait(now, target, retry_after_ms),
            // Also where the answer was lost: what is read next tells whose number it is. Ordering
            // with it before would let two routers order with one number.
            PlatformReply::Conflict
            | PlatformReply::Unknown
            | PlatformReply::Found(_)
            | PlatformReply::Absent
            | PlatformReply::Deleted
            | PlatformReply::Listed { .. }
            | PlatformReply::Changed { .. }
            | PlatformReply::Unreachable
            | PlatformReply::Invalid => self.wait(now, target, self.options.retry_ms),
        }
    }

    fn wait(&mut self, now: ClockTime, target: &TargetName, span_ms: u64) {
        if let Some(orders) = self.targets.get_mut(target) {
            orders.wait_until = now.plus_ms(span_ms);
        }
    }
}
