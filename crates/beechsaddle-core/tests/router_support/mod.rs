//! The `router_support` module provides complete router cores with a fake platform and network.

#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use beechsaddle_core::accounting::{BudgetAccount, BudgetLedger};
use beechsaddle_core::call::{
    AnswerEnd, AttemptFailure, CallAction, CallArrival, CallEvent, CallRoute, KeyDigest, TokenUsage,
};
use beechsaddle_core::event::TICK_MS;
use beechsaddle_core::objects::PlatformObject;
use beechsaddle_core::platform::{PlatformCall, PlatformReply, PlatformTicket, StoredObject};
use beechsaddle_core::prelude::*;
use beechsaddle_core::router::RouterCore;
use beechsaddle_core::target::{TargetAction, TargetEvent};

use crate::fleet_setup::{
    DOMAIN, first_change, host_list, new_router, probe_outcome, router_options, seed_peer,
};

/// The usage of each engine's answer.
pub const ANSWER_USAGE: TokenUsage = TokenUsage {
    input: 10,
    output: 20,
};

/// The maximum number of events at one moment; more means an endless exchange of replies.
const MAX_STEPS: u32 = 10_000;

/// The behaviour of a target for a dispatched call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetScript {
    /// Answers completely.
    Answer,
    /// Fails before the first byte.
    Fail(AttemptFailure),
    /// Accepts the call and never answers.
    Silent,
    /// Starts an answer and waits for [`RouterWorld::end_answer`].
    Stall,
}

struct WaitingWatch {
    router: usize,
    ticket: PlatformTicket,
    prefix: ObjectKey,
    after: u64,
}

/// Routers of one domain, a platform, and targets that follow scripts.
pub struct RouterWorld {
    pub now: ClockTime,
    pub routers: Vec<RouterCore>,
    pub is_platform_down: bool,
    /// The number of next ledger writes that do not reach the platform.
    pub lost_ledger_writes: u32,
    pub scripts: BTreeMap<TargetName, TargetScript>,
    /// Attempts in dispatch order.
    pub dispatched: Vec<AttemptId>,
    pub refused: BTreeMap<CallId, CallRefusal>,
    pub finished: Vec<CallId>,
    pub aborted: Vec<CallId>,
    pub exited: Vec<usize>,
    pub stopped_accepting: Vec<usize>,
    /// Whether replies of the platform arrive one tick late, after those of peers.
    pub is_platform_slow: bool,
    /// The routers that cannot reach the platform.
    pub cut_off: BTreeSet<usize>,
    /// Whether messages between routers are lost.
    pub are_peers_cut: bool,
    late_replies: Vec<(usize, CoreEvent)>,
    store: BTreeMap<ObjectKey, (u64, PlatformObject)>,
    revision: u64,
    watches: Vec<WaitingWatch>,
    queue: VecDeque<(usize, CoreEvent)>,
    names: Vec<RouterIncarnation>,
    calls: u64,
}

impl RouterWorld {
    /// Creates `count` routers with a budget of `tokens`, two engines and a plain service.
    pub fn new(count: usize, tokens: u64) -> Self {
        let names: Vec<_> = (0..count)
            .map(|index| RouterIncarnation::new(format!("router-{index}").as_str(), 1))
            .collect();
        let mut world = RouterWorld {
            now: ClockTime::from_millis(1_000_000),
            routers: names.iter().map(|name| new_router(name, &names)).collect(),
            is_platform_down: false,
            lost_ledger_writes: 0,
            scripts: BTreeMap::new(),
            dispatched: Vec::new(),
            refused: BTreeMap::new(),
            finished: Vec::new(),
            aborted: Vec::new(),
            exited: Vec::new(),
            stopped_accepting: Vec::new(),
            is_platform_slow: false,
            cut_off: BTreeSet::new(),
            are_peers_cut: false,
            late_replies: Vec::new(),
            store: BTreeMap::new(),
            revision: 0,
            watches: Vec::new(),
            queue: VecDeque::new(),
            names,
            calls: 0,
        };
        world.put(
            "hosts/graz-nord",
            PlatformObject::Hosts(host_list(&world.names)),
        );
        world.put(
            "catalogue/change/000000000001",
            PlatformObject::Change(first_change()),
        );
        let mut account = BudgetAccount::new("verlag".into(), "ana".into());
        account.top_up(&"paid".into(), tokens);
        let mut ledger = BudgetLedger::default();
        ledger.budgets.insert("main".into(), account);
        world.put(
            BudgetLedger::object_key(0).as_str(),
            PlatformObject::Ledger(ledger),
        );
        for router in 0..count {
            world.queue.push_back((router, CoreEvent::Started));
        }
        world.run(5_000);
        world
    }

    /// Advances time in steps of one tick.
    pub fn run(&mut self, span_ms: u64) {
        let end = self.now.plus_ms(span_ms);
        self.process_events();
        while self.now < end {
            self.now = self.now.plus_ms(TICK_MS);
            self.queue.extend(self.late_replies.drain(..));
            for router in 0..self.routers.len() {
                self.queue.push_back((router, CoreEvent::Tick));
            }
            self.process_events();
        }
    }

    /// Returns an arrival at a router, without sending it.
    pub fn arrival(&mut self, router: usize, route: CallRoute) -> CallArrival {
        self.calls += 1;
        CallArrival {
            call: CallId {
                router: self.names[router].clone(),
                number: self.calls,
            },
            key_digest: KeyDigest([7; 32]),
            route,
            budget: None,
            idempotency: None,
            repeatable: None,
            deadline: None,
            input_bound: 100,
            output_bound: Some(100),
            prefix: Vec::new(),
        }
    }

    /// Sends an arrival and runs the routers for half a second.
    pub fn call(&mut self, router: usize, arrival: CallArrival) -> CallId {
        self.call_for(router, arrival, 500)
    }

    /// Sends an arrival and runs the routers for `span_ms`.
    pub fn call_for(&mut self, router: usize, arrival: CallArrival, span_ms: u64) -> CallId {
        let call = arrival.call.clone();
        let event = CallEvent::Arrived(Box::new(arrival));
        self.send(router, CoreEvent::Call(event));
        self.run(span_ms);
        call
    }

    /// Raises an event at a router.
    pub fn send(&mut self, router: usize, event: CoreEvent) {
        self.queue.push_back((router, event));
    }

    /// Ends the stalled answer of the last attempt.
    pub fn end_answer(&mut self, router: usize, end: AnswerEnd) {
        let attempt = self.dispatched.last().expect("an attempt runs").clone();
        let usage = ANSWER_USAGE;
        self.send(
            router,
            CoreEvent::Call(CallEvent::AnswerEnded {
                attempt,
                end,
                usage,
            }),
        );
        self.run(500);
    }

    /// Replaces a router by a later incarnation on the same host, as after a crash: its memory is
    /// lost.
    pub fn restart(&mut self, router: usize) {
        let name = self.end(router);
        self.routers[router] = new_router(&name, &self.names);
        self.send(router, CoreEvent::Started);
    }

    /// Does the same with settings that propose another number of ledger shards than the fleet has.
    pub fn restart_proposing(&mut self, router: usize, ledger_shards: u32) {
        let name = self.end(router);
        let domain = DOMAIN.into();
        let others = self.names.iter().filter(|other| **other != name);
        let seeds = others.map(|other| seed_peer(other, &domain)).collect();
        let mut options = router_options(&name, &domain, seeds);
        options.layout.ledger_shards = ledger_shards;
        options.accounting.shard_count = ledger_shards;
        self.routers[router] = RouterCore::new(options);
        self.send(router, CoreEvent::Started);
    }

    /// Ends a router and returns the name of the next one on its host.
    fn end(&mut self, router: usize) -> RouterIncarnation {
        let earlier = &self.names[router];
        let name = RouterIncarnation {
            host: earlier.host.clone(),
            epoch: earlier.epoch + 1,
        };
        self.names[router] = name.clone();
        self.watches.retain(|watch| watch.router != router);
        self.queue.retain(|(receiver, _)| *receiver != router);
        self.late_replies
            .retain(|(receiver, _)| *receiver != router);
        name
    }

    /// Returns the budget's account on the platform.
    pub fn account(&self) -> &BudgetAccount {
        self.account_of("main")
    }

    /// Returns the account of any budget on the platform.
    pub fn account_of(&self, budget: &str) -> &BudgetAccount {
        &self.ledger().budgets[budget]
    }

    /// Adds another budget of the workspace.
    pub fn add_budget(&mut self, budget: &str, tokens: u64) {
        let mut account = BudgetAccount::new("verlag".into(), "ana".into());
        account.top_up(&"paid".into(), tokens);
        let mut ledger = self.ledger().clone();
        ledger.budgets.insert(budget.into(), account);
        let key = BudgetLedger::object_key(0);
        self.put(key.as_str(), PlatformObject::Ledger(ledger));
    }

    fn ledger(&self) -> &BudgetLedger {
        match self.store.get(BudgetLedger::object_key(0).as_str()) {
            Some((_, PlatformObject::Ledger(ledger))) => ledger,
            _ => panic!("the ledger exists"),
        }
    }

    /// Returns every bill in every journal on the platform, in tokens by key.
    pub fn bills(&self) -> BTreeMap<String, u64> {
        let mut bills = BTreeMap::new();
        for (_, object) in self.store.values() {
            if let PlatformObject::Segment(segment) = object {
                for bill in &segment.bills {
                    bills.insert(bill.key.text.to_string(), bill.tokens);
                }
            }
        }
        bills
    }

    fn put(&mut self, key: &str, object: PlatformObject) {
        self.revision += 1;
        self.store.insert(key.into(), (self.revision, object));
    }

    fn process_events(&mut self) {
        let mut steps = 0;
        while let Some((router, event)) = self.queue.pop_front() {
            steps += 1;
            if steps > MAX_STEPS - 12 {
                eprintln!("{router}: {event:?}");
            }
            assert!(
                steps < MAX_STEPS,
                "more than {MAX_STEPS} events at one moment"
            );
            if self.exited.contains(&router) {
                continue;
            }
            let mut outbox = CoreOutbox::new();
            self.routers[router].handle(self.now, event, &mut outbox);
            for action in outbox.actions {
                self.carry_out(router, action);
            }
        }
    }

    fn carry_out(&mut self, router: usize, action: CoreAction) {
        match action {
            CoreAction::Call(action) => self.on_call(router, action),
            CoreAction::Platform { ticket, call } => self.on_platform(router, ticket, call),
            CoreAction::Peer { .. } if self.are_peers_cut => {}
            CoreAction::Peer { to, message, .. } => {
                let from = self.names[router].clone();
                if let Some(index) = self.names.iter().position(|name| is_receiver(name, &to)) {
                    self.queue
                        .push_back((index, CoreEvent::Peer { from, message }));
                }
            }
            CoreAction::Target(TargetAction::Probe { target, .. }) => {
                let event = TargetEvent::Probed {
                    outcome: probe_outcome(&target),
                    target,
                    cache: None,
                };
                self.queue.push_back((router, CoreEvent::Target(event)));
            }
            CoreAction::Target(TargetAction::Order { .. })
            | CoreAction::Report(_)
            | CoreAction::Status { .. } => {}
            CoreAction::Exit => self.exited.push(router),
        }
    }

    fn on_call(&mut self, router: usize, action: CallAction) {
        match action {
            CallAction::Refuse { call, refusal } => {
                let earlier = self.refused.insert(call, refusal);
                assert!(earlier.is_none(), "a call got two final answers");
            }
            CallAction::Dispatch {
                attempt, target, ..
            } => {
                self.dispatched.push(attempt.clone());
                let script = self
                    .scripts
                    .get(&target)
                    .copied()
                    .unwrap_or(TargetScript::Answer);
                for event in script_events(script, attempt) {
                    self.queue.push_back((router, CoreEvent::Call(event)));
                }
            }
            CallAction::Finish { call } => self.finished.push(call),
            CallAction::Abort { call } => self.aborted.push(call),
            CallAction::StopAccepting => self.stopped_accepting.push(router),
            CallAction::Models { .. } => {}
        }
    }

    fn on_platform(&mut self, router: usize, ticket: PlatformTicket, call: PlatformCall) {
        if let PlatformCall::Watch { prefix, after } = call {
            self.watches.push(WaitingWatch {
                router,
                ticket,
                prefix,
                after,
            });
        } else {
            let is_lost = self.lost_ledger_writes > 0 && is_ledger_write(&call);
            self.lost_ledger_writes -= u32::from(is_lost);
            let is_unreachable = self.is_platform_down || self.cut_off.contains(&router);
            let reply = match is_unreachable || is_lost {
                true => PlatformReply::Unreachable,
                false => self.serve(call),
            };
            let event = CoreEvent::Platform { ticket, reply };
            match self.is_platform_slow {
                true => self.late_replies.push((router, event)),
                false => self.queue.push_back((router, event)),
            }
        }
        self.answer_watches();
    }

    fn serve(&mut self, call: PlatformCall) -> PlatformReply {
        match call {
            PlatformCall::Read { key } => match self.store.get(&key) {
                Some((version, object)) => {
                    PlatformReply::Found(stored(&key, *version, Some(object)))
                }
                None => PlatformReply::Absent,
            },
            PlatformCall::Write { key, object, guard } => {
                let version = self.store.get(&key).map(|(version, _)| *version);
                let holds = match guard {
                    beechsaddle_core::platform::WriteGuard::Absent => version.is_none(),
                    beechsaddle_core::platform::WriteGuard::Version(expected) => {
                        version == Some(expected)
                    }
                };
                if !holds {
                    return PlatformReply::Conflict;
                }
                self.put(key.as_str(), *object);
                PlatformReply::Written {
                    version: self.revision,
                }
            }
            PlatformCall::Delete { key, .. } => {
                self.store.remove(&key);
                PlatformReply::Deleted
            }
            PlatformCall::List { prefix, after } => PlatformReply::Listed {
                objects: self
                    .changed(&prefix, 0, false)
                    .into_iter()
                    .filter(|object| after.as_ref().is_none_or(|after| object.key > *after))
                    .collect(),
                revision: self.revision,
            },
            PlatformCall::Watch { .. } => PlatformReply::Invalid,
        }
    }

    fn answer_watches(&mut self) {
        if self.is_platform_down {
            return;
        }
        for watch in std::mem::take(&mut self.watches) {
            let objects = self.changed(&watch.prefix, watch.after, true);
            if objects.is_empty() {
                self.watches.push(watch);
                continue;
            }
            let reply = PlatformReply::Changed {
                objects,
                revision: self.revision,
            };
            let event = CoreEvent::Platform {
                ticket: watch.ticket,
                reply,
            };
            self.queue.push_back((watch.router, event));
        }
    }

    fn changed(&self, prefix: &ObjectKey, after: u64, with_value: bool) -> Vec<StoredObject> {
        self.store
            .iter()
            .filter(|(key, (version, _))| {
                key.as_str().starts_with(prefix.as_str()) && *version > after
            })
            .map(|(key, (version, object))| stored(key, *version, with_value.then_some(object)))
            .collect()
    }
}

fn is_ledger_write(call: &PlatformCall) -> bool {
    matches!(call, PlatformCall::Write { object, .. } if matches!(**object, PlatformObject::Ledger(_)))
}

/// Whether a message to `to` reaches `name`; a sender that knows only the host uses epoch zero.
fn is_receiver(name: &RouterIncarnation, to: &RouterIncarnation) -> bool {
    name.host == to.host && (to.epoch == 0 || to.epoch == name.epoch)
}

fn stored(key: &ObjectKey, version: u64, object: Option<&PlatformObject>) -> StoredObject {
    StoredObject {
        key: key.clone(),
        version,
        object: object.map(|object| Box::new(object.clone())),
    }
}

fn script_events(script: TargetScript, attempt: AttemptId) -> Vec<CallEvent> {
    let started = CallEvent::AnswerStarted {
        attempt: attempt.clone(),
    };
    match script {
        TargetScript::Answer => {
            let (end, usage) = (AnswerEnd::Complete, ANSWER_USAGE);
            vec![
                started,
                CallEvent::AnswerEnded {
                    attempt,
                    end,
                    usage,
                },
            ]
        }
        TargetScript::Fail(failure) => vec![CallEvent::AttemptFailed { attempt, failure }],
        TargetScript::Silent => Vec::new(),
        TargetScript::Stall => vec![started],
    }
}
