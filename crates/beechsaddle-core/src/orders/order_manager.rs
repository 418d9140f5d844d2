//! The `order_manager` module provides the orders of one router to the engines of its domain.
//!
//! An order carries a fencing number that was obtained by a conditional update, and the whole
//! desired state of the engine. Engines that check the number reject orders of a router that was
//! replaced. For engines that do not check it, the number is read again before each order, and the
//! router in charge repeats its order until the engine reports the declared state.

use std::collections::{BTreeMap, BTreeSet};

use super::load_limiter::LoadLimiter;
use super::model_plan::{is_same_state, is_same_weights, plan_models};
use super::target_orders::{OrderStep, TargetOrders};
use super::{OrderFence, OrderOptions};
use crate::action::CoreAction;
use crate::catalogue::CatalogueView;
use crate::clock::ClockTime;
use crate::members::MemberTable;
use crate::names::{ObjectKey, RouterIncarnation, ServiceName, TargetName};
use crate::outbox::CoreOutbox;
use crate::platform::{PlatformCall, PlatformDuty, PlatformTicket};
use crate::target::{EngineState, OrderOutcome, TargetAction};

/// Brings engines to their declared states.
#[derive(Debug)]
pub struct OrderManager {
    pub(super) options: OrderOptions,
    pub(super) me: RouterIncarnation,
    pub(super) targets: BTreeMap<TargetName, TargetOrders>,
    pub(super) tickets: BTreeMap<u64, TargetName>,
    /// The desired state of each target that this router orders, as of the last check.
    pub(super) desired: BTreeMap<TargetName, EngineState>,
    pub(super) revision: u64,
    pub(super) live: BTreeSet<RouterIncarnation>,
    pub(super) limiter: LoadLimiter,
    routers: usize,
    next_ticket: u64,
    next_check: ClockTime,
}

impl OrderManager {
    pub fn new(options: OrderOptions, me: RouterIncarnation) -> Self {
        OrderManager {
            options,
            me,
            targets: BTreeMap::new(),
            tickets: BTreeMap::new(),
            desired: BTreeMap::new(),
            revision: 0,
            live: BTreeSet::new(),
            limiter: LoadLimiter::default(),
            routers: 1,
            next_ticket: 0,
            next_check: ClockTime::ZERO,
        }
    }

    /// Updates the state of an engine of the own domain; `reported` is `None` when the probe
    /// failed. Every router needs all engines of a service for the plan.
    pub fn on_target_state(
        &mut self,
        now: ClockTime,
        target: TargetName,
        address: String,
        service: ServiceName,
        checks_fence: bool,
        reported: Option<EngineState>,
    ) {
        let added = TargetOrders::new(address.clone(), service.clone(), checks_fence);
        let orders = self.targets.entry(target).or_insert(added);
        if orders.address != address {
            // The host was replaced, so orders to the old host do not apply to this one.
            orders.ordered = None;
            orders.load_since = None;
        }
        orders.address = address;
        orders.service = service;
        orders.checks_fence = checks_fence;
        let is_loaded = match (&reported, &orders.ordered) {
            (Some(reported), Some((ordered, _))) => is_same_weights(reported, ordered),
            (Some(_) | None, Some(_) | None) => false,
        };
        let is_timed_out = orders
            .load_since
            .is_some_and(|since| now.since(since) >= self.options.load_timeout_ms);
        if is_loaded || is_timed_out {
            orders.load_since = None;
        }
        orders.reported = reported;
    }

    /// Removes all targets that are not in `listed`.
    pub fn retain_targets(&mut self, listed: &BTreeSet<TargetName>) {
        self.targets.retain(|target, _| listed.contains(target));
        self.desired.retain(|target, _| listed.contains(target));
        // A reply to a call for an earlier listing must not be attributed to a later one.
        self.tickets.retain(|_, target| listed.contains(target));
    }

    /// Handles the outcome of an order.
    pub fn on_ordered(
        &mut self,
        now: ClockTime,
        target: &TargetName,
        fence: u64,
        outcome: OrderOutcome,
    ) {
        let Some(orders) = self.targets.get_mut(target) else {
            return;
        };
        if orders.step != OrderStep::Order {
            return;
        }
        orders.step = OrderStep::Idle;
        match outcome {
            // An order without a reply may have been accepted, and gets the same time as one that
            // was.
            OrderOutcome::Accepted | OrderOutcome::Unknown => {}
            OrderOutcome::Fenced => {
                orders.load_since = None;
                orders.ordered = None;
                orders.wait_until = now.plus_ms(self.options.retry_ms);
                // The engine has seen a higher number. If the platform still stores this one, it
                // has lost the higher one, and claiming further numbers will exceed the engine's.
                orders.held = None;
                orders.refused = orders.refused.max(Some(fence));
            }
            OrderOutcome::Throttled { retry_after_ms } => {
                orders.load_since = None;
                orders.ordered = None;
                orders.wait_until = now.plus_ms(retry_after_ms);
                self.limiter.block(now, retry_after_ms);
            }
        }
    }

    /// Updates the plan when it is due and advances every target of this router.
    pub fn tick(
        &mut self,
        now: ClockTime,
        members: &MemberTable,
        catalogue: &CatalogueView,
        outbox: &mut CoreOutbox,
    ) {
        // A router that was frozen must not act on an old plan: routers and catalogue are evaluated
        // first.
        if now >= self.next_check || self.revision != catalogue.revision() {
            self.next_check = now.plus_ms(self.options.check_period_ms);
            self.make_plan(members, catalogue);
        }
        let desired: Vec<TargetName> = self.desired.keys().cloned().collect();
        for target in desired {
            self.advance(now, &target, outbox);
        }
    }

    /// Computes the desired states of the targets that this router orders.
    fn make_plan(&mut self, members: &MemberTable, catalogue: &CatalogueView) {
        self.revision = catalogue.revision();
        self.live = members.ranked("").into_iter().collect();
        self.routers = self.live.len();
        self.desired.clear();
        for service in catalogue.services() {
            let targets: BTreeSet<TargetName> = self
                .targets
                .iter()
                .filter(|(_, orders)| orders.service == service.name)
                .map(|(target, _)| target.clone())
                .collect();
            let models: Vec<_> = catalogue
                .models()
                .filter(|model| model.service == service.name)
                .cloned()
                .collect();
            self.desired.extend(plan_models(&models, &targets));
        }
        let me = &self.me;
        self.desired
            .retain(|target, _| members.picked_for(&format!("orders/{target}")) == *me);
        for (target, orders) in &mut self.targets {
            if !self.desired.contains_key(target) {
                orders.clear_orders();
            }
        }
    }

    /// Takes the next step for a target whose state differs from the declared one and that has no
    /// call in flight.
    fn advance(&mut self, now: ClockTime, target: &TargetName, outbox: &mut CoreOutbox) {
        let (Some(desired), Some(orders)) = (self.desired.get(target), self.targets.get(target))
        else {
            return;
        };
        let is_due = orders.step == OrderStep::Idle
            && now >= orders.wait_until
            && !orders.is_in_progress(now, desired);
        let differs = match &orders.reported {
            Some(reported) => !is_same_state(reported, desired),
            None => false,
        };
        if !is_due || !differs || !self.can_load(now, target) {
            return;
        }
        // An engine that checks the number rejects an outdated one itself.
        let is_current = orders
            .held
            .as_ref()
            .is_some_and(|held| held.revision == self.revision);
        if is_current && orders.checks_fence {
            self.send_order(now, target, outbox);
        } else {
            self.read_fence(now, target, outbox);
        }
    }

    pub(super) fn read_fence(
        &mut self,
        now: ClockTime,
        target: &TargetName,
        outbox: &mut CoreOutbox,
    ) {
        let key = fence_key(target);
        self.call_platform(target, PlatformCall::Read { key }, outbox);
        if let Some(orders) = self.targets.get_mut(target) {
            orders.step = OrderStep::Read { started: now };
        }
    }

    /// Orders the declared state with the held fencing number.
    pub(super) fn send_order(
        &mut self,
        now: ClockTime,
        target: &TargetName,
        outbox: &mut CoreOutbox,
    ) {
        let is_load = self.is_load(target);
        let (Some(desired), Some(orders)) =
            (self.desired.get(target), self.targets.get_mut(target))
        else {
            return;
        };
        let Some(fence) = orders.held.as_ref().map(|held| held.number) else {
            return;
        };
        orders.step = OrderStep::Order;
        orders.ordered = Some((desired.clone(), now.plus_ms(self.options.repeat_ms)));
        if is_load && orders.load_since.is_none() {
            orders.load_since = Some(now);
            self.limiter.count(now, &self.options, self.routers);
        }
        outbox.act(TargetAction::Order {
            target: target.clone(),
            address: orders.address.clone(),
            fence,
            state: desired.clone(),
        });
    }

    /// Whether the weight store's limit allows the order for a target. Loads are prepared one at a
    /// time, so that two targets that wait for the platform don't use the same free slot.
    fn can_load(&self, now: ClockTime, target: &TargetName) -> bool {
        let Some(orders) = self.targets.get(target) else {
            return false;
        };
        let is_repeated = orders.load_since.is_some();
        if is_repeated || !self.is_load(target) {
            return true;
        }
        let is_preparing = self
            .targets
            .iter()
            .any(|(other, orders)| orders.is_preparing() && self.is_load(other));
        let running = self
            .targets
            .values()
            .filter(|orders| orders.load_since.is_some())
            .count();
        let limiter = &self.limiter;
        !is_preparing && limiter.can_start(now, &self.options, running, self.routers)
    }

    fn is_load(&self, target: &TargetName) -> bool {
        let reported = self
            .targets
            .get(target)
            .and_then(|orders| orders.reported.as_ref());
        match (reported, self.desired.get(target)) {
            (Some(reported), Some(desired)) => !is_same_weights(reported, desired),
            (Some(_) | None, Some(_) | None) => true,
        }
    }

    pub(super) fn call_platform(
        &mut self,
        target: &TargetName,
        call: PlatformCall,
        outbox: &mut CoreOutbox,
    ) {
        let ticket = PlatformTicket {
            duty: PlatformDuty::Orders,
            number: self.next_ticket,
        };
        self.next_ticket += 1;
        self.tickets.insert(ticket.number, target.clone());
        outbox.act(CoreAction::Platform { ticket, call });
    }

    /// Returns the fence to claim after `found`.
    pub(super) fn next_fence(&self, found: Option<&OrderFence>) -> OrderFence {
        OrderFence {
            number: found.map_or(1, |fence| fence.number + 1),
            issuer: self.me.clone(),
            revision: self.revision,
        }
    }
}

/// Returns the key of the object with a target's fencing number.
pub(super) fn fence_key(target: &TargetName) -> ObjectKey {
    ObjectKey::new(format!("orders/{target}"))
}
