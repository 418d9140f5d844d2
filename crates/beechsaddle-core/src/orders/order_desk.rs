//! The `order_desk` module provides the orders of one router to the engines of its domain.
//!
//! An order carries a fencing number that was taken by a conditional update, and states the whole
//! state that the engine shall reach. Engines that check the number refuse the orders of a router
//! that was overtaken. For those that do not, the number is read again before each order, and the
//! router that is in charge repeats its order until the engine reports the declared state.

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

/// The duty that gets engines into their declared states.
#[derive(Debug)]
pub struct OrderDesk {
    pub(super) options: OrderOptions,
    pub(super) me: RouterIncarnation,
    pub(super) targets: BTreeMap<TargetName, TargetOrders>,
    pub(super) tickets: BTreeMap<u64, TargetName>,
    /// What each target shall reach, as of the last check; only for targets this router orders.
    pub(super) wanted: BTreeMap<TargetName, EngineState>,
    pub(super) revision: u64,
    pub(super) live: BTreeSet<RouterIncarnation>,
    pub(super) limiter: LoadLimiter,
    routers: usize,
    next_ticket: u64,
    next_check: ClockTime,
}

impl OrderDesk {
    /// A desk that knows no target.
    pub fn new(options: OrderOptions, me: RouterIncarnation) -> Self {
        OrderDesk {
            options,
            me,
            targets: BTreeMap::new(),
            tickets: BTreeMap::new(),
            wanted: BTreeMap::new(),
            revision: 0,
            live: BTreeSet::new(),
            limiter: LoadLimiter::default(),
            routers: 1,
            next_ticket: 0,
            next_check: ClockTime::ZERO,
        }
    }

    /// Takes in what is known of an engine of the own domain; `reported` is `None` when the probe
    /// failed. Every router hears of every engine, since the plan of a service needs all of them.
    pub fn on_target_state(
        &mut self,
        now: ClockTime,
        target: TargetName,
        address: String,
        service: ServiceName,
        checks_fence: bool,
        reported: Option<EngineState>,
    ) {
        let fresh = TargetOrders::new(address.clone(), service.clone(), checks_fence);
        let orders = self.targets.entry(target).or_insert(fresh);
        if orders.address != address {
            // The host was replaced: nothing that was ordered of the old one holds for this one.
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
        let is_given_up = orders
            .load_since
            .is_some_and(|since| now.since(since) >= self.options.load_timeout_ms);
        if is_loaded || is_given_up {
            orders.load_since = None;
        }
        orders.reported = reported;
    }

    /// Forgets all targets that are not among `listed`.
    pub fn retain_targets(&mut self, listed: &BTreeSet<TargetName>) {
        self.targets.retain(|target, _| listed.contains(target));
        self.wanted.retain(|target, _| listed.contains(target));
        // A reply to a call about an earlier listing must not be taken for one about the next.
        self.tickets.retain(|_, target| listed.contains(target));
    }

    /// Takes in the outcome of an order.
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
        orders.step = OrderStep::Rest;
        match outcome {
            // An order without an answer may have been taken: it gets the same time as one that was.
            OrderOutcome::Accepted | OrderOutcome::Unknown => {}
            OrderOutcome::Fenced => {
                orders.load_since = None;
                orders.ordered = None;
                orders.wait_until = now.plus_ms(self.options.retry_ms);
                // The engine has seen a higher number. If the platform still holds this one, the
                // higher one was lost there, and taking the next numbers overtakes the engine's.
                orders.held = None;
                orders.refused = orders.refused.max(Some(fence));
            }
            OrderOutcome::Throttled { retry_after_ms } => {
                orders.load_since = None;
                orders.ordered = None;
                orders.wait_until = now.plus_ms(retry_after_ms);
                self.limiter.close(now, retry_after_ms);
            }
        }
    }

    /// Lets time pass.
    pub fn tick(
        &mut self,
        now: ClockTime,
        members: &MemberTable,
        catalogue: &CatalogueView,
        outbox: &mut CoreOutbox,
    ) {
        // A router that was frozen must not act on what it wanted before: it looks first who is
        // picked now, and by which catalogue.
        if now >= self.next_check || self.revision != catalogue.revision() {
            self.next_check = now.plus_ms(self.options.check_period_ms);
            self.make_plan(members, catalogue);
        }
        let wanted: Vec<TargetName> = self.wanted.keys().cloned().collect();
        for target in wanted {
            self.advance(now, &target, outbox);
        }
    }

    /// Works out what this router has to get where.
    fn make_plan(&mut self, members: &MemberTable, catalogue: &CatalogueView) {
        self.revision = catalogue.revision();
        self.live = members.ranked("").into_iter().collect();
        self.routers = self.live.len();
        self.wanted.clear();
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
            self.wanted.extend(plan_models(&models, &targets));
        }
        let me = &self.me;
        self.wanted
            .retain(|target, _| members.picked_for(&format!("orders/{target}")) == *me);
        for (target, orders) in &mut self.targets {
            if !self.wanted.contains_key(target) {
                orders.stand_down();
            }
        }
    }

    /// Takes the next step for a target, if its state is not the declared one and nothing is in
    /// flight.
    fn advance(&mut self, now: ClockTime, target: &TargetName, outbox: &mut CoreOutbox) {
        let (Some(wanted), Some(orders)) = (self.wanted.get(target), self.targets.get(target))
        else {
            return;
        };
        let is_due = orders.step == OrderStep::Rest
            && now >= orders.wait_until
            && !orders.is_under_way(now, wanted);
        let is_off = match &orders.reported {
            Some(reported) => !is_same_state(reported, wanted),
            None => false,
        };
        if !is_due || !is_off || !self.may_load(now, target) {
            return;
        }
        // An engine that checks the number judges for itself whether it is still current.
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

    /// Orders the declared state with the fencing number that is held.
    pub(super) fn send_order(
        &mut self,
        now: ClockTime,
        target: &TargetName,
        outbox: &mut CoreOutbox,
    ) {
        let is_load = self.is_load(target);
        let (Some(wanted), Some(orders)) = (self.wanted.get(target), self.targets.get_mut(target))
        else {
            return;
        };
        let Some(fence) = orders.held.as_ref().map(|held| held.number) else {
            return;
        };
        orders.step = OrderStep::Order;
        orders.ordered = Some((wanted.clone(), now.plus_ms(self.options.repeat_ms)));
        if is_load && orders.load_since.is_none() {
            orders.load_since = Some(now);
            self.limiter.count(now, &self.options, self.routers);
        }
        outbox.act(TargetAction::Order {
            target: target.clone(),
            address: orders.address.clone(),
            fence,
            state: wanted.clone(),
        });
    }

    /// Whether the weight store's limit lets the order for a target start. Loads are prepared one
    /// at a time, so that a free place is not given to two targets that both wait for the platform.
    fn may_load(&self, now: ClockTime, target: &TargetName) -> bool {
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
        let under_way = self
            .targets
            .values()
            .filter(|orders| orders.load_since.is_some())
            .count();
        let limiter = &self.limiter;
        !is_preparing && limiter.is_open(now, &self.options, under_way, self.routers)
    }

    fn is_load(&self, target: &TargetName) -> bool {
        let reported = self
            .targets
            .get(target)
            .and_then(|orders| orders.reported.as_ref());
        match (reported, self.wanted.get(target)) {
            (Some(reported), Some(wanted)) => !is_same_weights(reported, wanted),
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

    /// The fence to claim after `found`.
    pub(super) fn next_fence(&self, found: Option<&OrderFence>) -> OrderFence {
        OrderFence {
            number: found.map_or(1, |fence| fence.number + 1),
            issuer: self.me.clone(),
            revision: self.revision,
        }
    }
}

/// The key of the object that holds a target's fencing number.
pub(super) fn fence_key(target: &TargetName) -> ObjectKey {
    ObjectKey::new(format!("orders/{target}"))
}
