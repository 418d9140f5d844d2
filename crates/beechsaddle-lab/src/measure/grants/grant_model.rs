//! The `grant_model` module provides a simulation of accounting managers with callers, a network
//! and a platform.

use std::collections::BTreeMap;

use beechsaddle_core::accounting::{AccountingManager, BudgetAccount, BudgetLedger};
use beechsaddle_core::members::{MemberEntry, MemberLiveness, MemberTable};
use beechsaddle_core::objects::PlatformObject;
use beechsaddle_core::peer::{AdmitRequest, PeerMessage, RouterState};
use beechsaddle_core::platform::{PlatformCall, PlatformReply, PlatformTicket};
use beechsaddle_core::prelude::*;

use super::grant_figures::GrantFigures;
use super::grant_setup::{GrantSetup, PlannedCall};
use super::model_store::ModelStore;

/// One-way latency between two routers, in milliseconds.
const PEER_MS: u64 = 1;

/// Round-trip time of a platform call, in milliseconds.
const PLATFORM_MS: u64 = 6;

/// Time until the other routers detect that a router is gone, in milliseconds.
const GONE_MS: u64 = 2_000;

const TICK_MS: u64 = 50;

const WORKSPACE: &str = "tenant";

enum ModelEvent {
    Tick,
    Arrive(PlannedCall),
    End(CallId),
    Peer(RouterIncarnation, RouterIncarnation, PeerMessage),
    Reply(RouterIncarnation, PlatformTicket, PlatformReply),
    Death(usize),
    Gone(RouterIncarnation),
    TopUp,
}

struct ModelRouter {
    me: RouterIncarnation,
    domain: usize,
    manager: AccountingManager,
    members: MemberTable,
    calls: u64,
}

struct ModelCall {
    planned: PlannedCall,
    is_admitted: bool,
}

/// A simulation of the real accounting managers in simulated time.
pub struct GrantModel<'a> {
    setup: &'a GrantSetup,
    now: u64,
    count: u64,
    queue: BTreeMap<(u64, u64), ModelEvent>,
    store: ModelStore,
    routers: Vec<ModelRouter>,
    calls: BTreeMap<CallId, ModelCall>,
    served: Vec<u64>,
    reserved: Vec<u64>,
    paid: u64,
    topped_up_at: Option<u64>,
    figures: GrantFigures,
}

impl<'a> GrantModel<'a> {
    /// Creates a fleet with all calls, router deaths and top-ups scheduled.
    pub fn new(setup: &'a GrantSetup, seed: u64) -> Self {
        let mut model = GrantModel {
            setup,
            now: 0,
            count: 0,
            queue: BTreeMap::new(),
            store: ModelStore::default(),
            routers: Vec::new(),
            calls: BTreeMap::new(),
            served: vec![0; setup.budgets],
            reserved: vec![0; setup.budgets],
            paid: setup.budget_tokens,
            topped_up_at: None,
            figures: GrantFigures {
                spendable_ms: vec![None; 3],
                ..GrantFigures::default()
            },
        };
        for budget in 0..setup.budgets {
            model.add_top_up(budget, "first");
        }
        for index in 0..setup.routers() {
            let router = model.router(index, 1);
            model.routers.push(router);
        }
        model.register_members();
        let (calls, deaths) = setup.plan(seed);
        for call in calls {
            model.schedule(call.at, ModelEvent::Arrive(call));
        }
        for (at, router) in deaths {
            model.schedule(at, ModelEvent::Death(router));
        }
        if let Some(at) = setup.top_up_ms {
            model.schedule(at, ModelEvent::TopUp);
        }
        model.schedule(TICK_MS, ModelEvent::Tick);
        model
    }

    /// Runs until 15 s after the last arrival and returns the results.
    pub fn run(mut self) -> GrantFigures {
        let end = self.setup.duration_ms + 15_000;
        while let Some(((at, _), event)) = self.queue.pop_first() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.finish()
    }

    fn finish(mut self) -> GrantFigures {
        let mut written_off = 0;
        for budget in 0..self.setup.budgets {
            written_off += self
                .account(budget)
                .map_or(0, |account| account.written_off);
            let over = self.served[budget].saturating_sub(self.paid);
            self.figures.overspend += over as f64;
        }
        let seconds = (self.setup.duration_ms + 15_000) as f64 / 1_000.0;
        let budget = (self.setup.budget_tokens * self.setup.budgets as u64) as f64;
        self.figures.written_off = written_off as f64;
        self.figures.written_off_permille = 1_000.0 * written_off as f64 / budget;
        self.figures.reads_per_second = self.store.reads as f64 / seconds;
        self.figures.writes_per_second = self.store.writes as f64 / seconds;
        self.figures
    }

    fn schedule(&mut self, at: u64, event: ModelEvent) {
        self.count += 1;
        self.queue.insert((at, self.count), event);
    }

    fn handle(&mut self, event: ModelEvent) {
        match event {
            ModelEvent::Tick => {
                for index in 0..self.routers.len() {
                    self.step(index, |manager, now, members, outbox| {
                        manager.tick(now, members, outbox);
                    });
                }
                self.schedule(self.now + TICK_MS, ModelEvent::Tick);
            }
            ModelEvent::Arrive(planned) => self.arrive(planned),
            ModelEvent::End(call) => self.end(&call),
            ModelEvent::Peer(from, to, message) => {
                if let Some(index) = self.index_of(&to) {
                    self.step(index, |manager, now, members, outbox| {
                        manager.on_peer(now, &from, message, members, outbox);
                    });
                }
            }
            ModelEvent::Reply(to, ticket, reply) => {
                if let Some(index) = self.index_of(&to) {
                    self.step(index, |manager, now, members, outbox| {
                        manager.on_platform(now, ticket, reply, members, outbox);
                    });
                }
            }
            ModelEvent::Death(index) => self.kill(index),
            ModelEvent::Gone(router) => self.notify_gone(&router),
            ModelEvent::TopUp => {
                self.add_top_up(0, "second");
                self.paid *= 2;
                self.topped_up_at = Some(self.now);
            }
        }
    }

    fn arrive(&mut self, planned: PlannedCall) {
        let index = planned.domain * self.setup.routers_per_domain + planned.router;
        let router = &mut self.routers[index];
        router.calls += 1;
        let call = CallId {
            router: router.me.clone(),
            number: router.calls,
        };
        let request = AdmitRequest {
            call: call.clone(),
            key: RequestKey {
                workspace: WORKSPACE.into(),
                text: KeyText::new(call.to_string()),
                origin: KeyOrigin::Router,
            },
            budget: budget_name(planned.budget),
            bound: self.setup.bound,
        };
        self.figures.calls += 1.0;
        let entry = ModelCall {
            planned,
            is_admitted: false,
        };
        self.calls.insert(call, entry);
        self.step(index, |manager, now, members, outbox| {
            manager.admit(now, request, members, outbox);
        });
    }

    fn end(&mut self, call: &CallId) {
        let Some(entry) = self.calls.remove(call) else {
            return;
        };
        let planned = entry.planned;
        self.reserved[planned.budget] -= self.setup.bound;
        self.served[planned.budget] += planned.tokens;
        if let Some(index) = self.index_of(&call.router) {
            self.step(index, |manager, now, members, outbox| {
                manager.settle(now, call, planned.tokens, true, true, members, outbox);
            });
        }
    }

    fn on_admit(&mut self, call: &CallId, outcome: Result<(), CallRefusal>) {
        let now = self.now;
        let Some(entry) = self.calls.get_mut(call) else {
            return;
        };
        let planned = entry.planned;
        if outcome.is_ok() {
            entry.is_admitted = true;
            self.reserved[planned.budget] += self.setup.bound;
            if let Some(topped_up_at) = self.topped_up_at {
                self.figures.spendable_ms[planned.domain].get_or_insert(now - topped_up_at);
            }
            self.schedule(now + planned.lasts_ms, ModelEvent::End(call.clone()));
            return;
        }
        self.calls.remove(call);
        let written_off = self
            .account(planned.budget)
            .map_or(0, |account| account.written_off);
        let used = self.served[planned.budget] + self.reserved[planned.budget] + written_off;
        let left = self.paid.saturating_sub(used);
        let share = left as f64 / self.paid as f64;
        if self.figures.refused == 0.0 {
            self.figures.left_permille = 1_000.0 * share;
        }
        self.figures.refused += 1.0;
        if share > 0.01 && left >= self.setup.bound {
            self.figures.false_refusals += 1.0;
        }
    }

    /// Kills a router and its calls, and replaces it at once by its next incarnation.
    fn kill(&mut self, index: usize) {
        let old = self.routers[index].me.clone();
        let lost: Vec<CallId> = self
            .calls
            .iter()
            .filter(|(call, _)| call.router == old)
            .map(|(call, _)| call.clone())
            .collect();
        for call in lost {
            if let Some(entry) = self.calls.remove(&call).filter(|entry| entry.is_admitted) {
                self.reserved[entry.planned.budget] -= self.setup.bound;
                self.served[entry.planned.budget] += entry.planned.tokens / 2;
            }
        }
        self.routers[index] = self.router(index, old.epoch + 1);
        self.register_members();
        self.schedule(self.now + GONE_MS, ModelEvent::Gone(old));
    }

    fn notify_gone(&mut self, gone: &RouterIncarnation) {
        let signal = CoreSignal::MemberGone(gone.clone());
        for index in 0..self.routers.len() {
            let router = &mut self.routers[index];
            let is_known = router.members.get(gone).is_some();
            if !is_known {
                continue;
            }
            let mut entry = member(router.domain, gone);
            entry.liveness = MemberLiveness::Gone;
            router.members.insert(gone.clone(), entry);
            self.step(index, |manager, now, members, outbox| {
                manager.on_signal(now, &signal, members, outbox);
            });
        }
    }

    fn step(
        &mut self,
        index: usize,
        step: impl FnOnce(&mut AccountingManager, ClockTime, &MemberTable, &mut CoreOutbox),
    ) {
        let router = &mut self.routers[index];
        let mut outbox = CoreOutbox::new();
        // Router clocks start well after zero, as real clocks do.
        let now = ClockTime::from_millis(1_000_000 + self.now);
        step(&mut router.manager, now, &router.members, &mut outbox);
        let me = router.me.clone();
        for action in outbox.actions {
            match action {
                CoreAction::Platform { ticket, call } => self.call_platform(&me, ticket, call),
                CoreAction::Peer { to, message, .. } => {
                    let event = ModelEvent::Peer(me.clone(), to, message);
                    self.schedule(self.now + PEER_MS, event);
                }
                _ => {}
            }
        }
        for signal in outbox.signals {
            if let CoreSignal::AdmitDone { call, outcome } = signal {
                self.on_admit(&call, outcome);
            }
        }
    }

    fn call_platform(
        &mut self,
        me: &RouterIncarnation,
        ticket: PlatformTicket,
        call: PlatformCall,
    ) {
        let is_unavailable = self
            .setup
            .outage_ms
            .is_some_and(|(from, to)| (from..to).contains(&self.now));
        let reply = if is_unavailable {
            PlatformReply::Unreachable
        } else {
            self.store.apply(call)
        };
        let event = ModelEvent::Reply(me.clone(), ticket, reply);
        self.schedule(self.now + PLATFORM_MS, event);
    }

    fn index_of(&self, router: &RouterIncarnation) -> Option<usize> {
        self.routers.iter().position(|other| other.me == *router)
    }

    fn router(&self, index: usize, epoch: u64) -> ModelRouter {
        let me = RouterIncarnation::new(HostName::new(format!("router-{index}")), epoch);
        let domain = index / self.setup.routers_per_domain;
        ModelRouter {
            manager: AccountingManager::new(self.setup.options.clone(), me.clone()),
            members: MemberTable::new(me.clone(), domain_name(domain)),
            me,
            domain,
            calls: 0,
        }
    }

    fn register_members(&mut self) {
        let known: Vec<(RouterIncarnation, usize)> = self
            .routers
            .iter()
            .map(|router| (router.me.clone(), router.domain))
            .collect();
        for router in &mut self.routers {
            for (other, domain) in &known {
                if *other != router.me && *domain == router.domain {
                    router.members.insert(other.clone(), member(*domain, other));
                }
            }
        }
    }

    fn shard_of(&self, budget: usize) -> ObjectKey {
        let count = self.setup.options.shard_count;
        BudgetLedger::object_key(BudgetLedger::shard_for(&budget_name(budget), count))
    }

    fn account(&self, budget: usize) -> Option<&BudgetAccount> {
        match self.store.get(&self.shard_of(budget)) {
            Some(PlatformObject::Ledger(ledger)) => ledger.budgets.get(&budget_name(budget)),
            _ => None,
        }
    }

    fn add_top_up(&mut self, budget: usize, id: &str) {
        let key = self.shard_of(budget);
        let mut ledger = match self.store.get(&key) {
            Some(PlatformObject::Ledger(ledger)) => ledger.clone(),
            _ => BudgetLedger::default(),
        };
        let name = budget_name(budget);
        let tokens = self.setup.budget_tokens;
        let applied = ledger
            .create_account(&name, &WORKSPACE.into(), &"owner".into())
            .and_then(|()| ledger.top_up(&name, &id.into(), tokens));
        if applied.is_ok() {
            self.store.put(key, PlatformObject::Ledger(ledger));
        }
    }
}

fn budget_name(budget: usize) -> BudgetName {
    BudgetName::new(format!("budget-{budget}"))
}

fn domain_name(domain: usize) -> DomainName {
    DomainName::new(format!("domain-{domain}"))
}

fn member(domain: usize, router: &RouterIncarnation) -> MemberEntry {
    MemberEntry {
        domain: domain_name(domain),
        address: router.to_string(),
        state: RouterState::Live,
        liveness: MemberLiveness::Live,
        catalogue_revision: 0,
        last_seen_at: ClockTime::ZERO,
        sequence: 0,
    }
}
