//! The `fence_claim` module provides how a router obtains the fencing number of a target.

use super::order_manager::fence_key;
use super::target_orders::OrderStep;
use super::{OrderFence, OrderManager};
use crate::clock::ClockTime;
use crate::names::TargetName;
use crate::objects::PlatformObject;
use crate::outbox::CoreOutbox;
use crate::platform::{PlatformCall, PlatformReply, PlatformTicket, WriteGuard};

impl OrderManager {
    /// Handles the outcome of a platform call.
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
        match std::mem::replace(&mut orders.step, OrderStep::Idle) {
            OrderStep::Read { started } => self.on_read(now, &target, started, reply, outbox),
            OrderStep::Claim { started, fence } => {
                self.on_claimed(now, &target, started, fence, reply, outbox);
            }
            // The target was removed and added again while the call was in flight.
            step @ (OrderStep::Idle | OrderStep::Order) => orders.step = step,
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
                Some(_) | None => self.delay(now, target, self.options.takeover_ms),
            },
            PlatformReply::Throttled { retry_after_ms } => self.delay(now, target, retry_after_ms),
            PlatformReply::Written { .. }
            | PlatformReply::Deleted
            | PlatformReply::Conflict
            | PlatformReply::Listed { .. }
            | PlatformReply::Changed { .. }
            | PlatformReply::Unreachable
            | PlatformReply::Unknown
            | PlatformReply::Invalid => self.delay(now, target, self.options.retry_ms),
        }
    }

    /// Decides by the stored fence whether to order, to take over, or to leave the target to
    /// another router.
    fn on_fence(
        &mut self,
        now: ClockTime,
        target: &TargetName,
        started: ClockTime,
        fence: OrderFence,
        guard: WriteGuard,
        outbox: &mut CoreOutbox,
    ) {
        let is_fresh = now.since(started) <= self.options.max_answer_age_ms;
        let is_live = fence.issuer != self.me && self.live.contains(&fence.issuer);
        let takeover_ms = self.options.takeover_ms;
        let retry_ms = self.options.retry_ms;
        let Some(orders) = self.targets.get_mut(target).filter(|_| is_fresh) else {
            // The router was frozen between the request and the reply. Another router may be in
            // charge by now, so the fence is read again.
            return;
        };
        if fence.revision > self.revision {
            // This router has missed a catalogue change. An order by the old catalogue would
            // restore a model that operators have replaced.
            self.delay(now, target, retry_ms);
        } else if orders.is_own(&self.me, &fence) && fence.revision == self.revision {
            orders.held = Some(fence);
            self.send_order(now, target, outbox);
        } else if is_live && !orders.has_competitor_timed_out(now, &fence, takeover_ms) {
            // Two routers that both rank themselves first for the target would otherwise take over
            // from each other at every check.
            self.delay(now, target, retry_ms);
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
        // Another router may have been picked between the request and the reply.
        if !self.desired.contains_key(target) {
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
        let is_fresh = now.since(started) <= self.options.max_answer_age_ms;
        match reply {
            PlatformReply::Written { .. } => {
                if let Some(orders) = self.targets.get_mut(target) {
                    orders.held = Some(fence);
                    orders.competitor = None;
                }
                if is_fresh {
                    self.send_order(now, target, outbox);
                }
            }
            PlatformReply::Throttled { retry_after_ms } => self.delay(now, target, retry_after_ms),
            // This includes a lost reply: the next read shows whose number it is. An order before
            // that could let two routers use one number.
            PlatformReply::Conflict
            | PlatformReply::Unknown
            | PlatformReply::Found(_)
            | PlatformReply::Absent
            | PlatformReply::Deleted
            | PlatformReply::Listed { .. }
            | PlatformReply::Changed { .. }
            | PlatformReply::Unreachable
            | PlatformReply::Invalid => self.delay(now, target, self.options.retry_ms),
        }
    }

    fn delay(&mut self, now: ClockTime, target: &TargetName, delay_ms: u64) {
        if let Some(orders) = self.targets.get_mut(target) {
            orders.wait_until = now.plus_ms(delay_ms);
        }
    }
}
