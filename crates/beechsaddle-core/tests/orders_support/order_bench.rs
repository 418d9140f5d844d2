//! The `order_bench` module provides routers that order engines around a fake store.

use beechsaddle_core::catalogue::CatalogueView;
use beechsaddle_core::members::{MemberEntry, MemberLiveness, MemberTable};
use beechsaddle_core::orders::{OrderDesk, OrderOptions};
use beechsaddle_core::peer::RouterState;
use beechsaddle_core::platform::PlatformReply;
use beechsaddle_core::prelude::*;
use beechsaddle_core::target::{EngineState, TargetAction};
use serde::Serialize;

use super::{FakeEngine, Parcel, SERVICE, state};
use crate::once_support::FakeStore;

/// How often the bench lets routers tick, in milliseconds.
const TICK_MS: u64 = 50;

/// How many steps a session waits for something.
const MOST_STEPS: usize = 2_000;

/// One router.
pub struct OrderNode {
    pub me: RouterIncarnation,
    desk: OrderDesk,
    members: MemberTable,
    pub catalogue: CatalogueView,
    is_frozen: bool,
}

/// Routers of one domain, the store, and engines.
pub struct OrderBench {
    pub now: ClockTime,
    pub nodes: Vec<OrderNode>,
    pub engines: Vec<FakeEngine>,
    pub store: FakeStore,
    pub parcels: Vec<Parcel>,
    /// How many loads the weight store serves at once.
    pub store_loads: usize,
    /// The most loads that ran at once.
    pub most_loads: usize,
    pub transcript: Vec<String>,
}

impl OrderBench {
    /// A bench of routers and engines, all engines serving version zero of `bora`.
    pub fn new(options: &OrderOptions, hosts: &[&str], engines: usize, checks_fence: bool) -> Self {
        let nodes = hosts
            .iter()
            .map(|host| {
                let me = RouterIncarnation::new(*host, 1);
                OrderNode {
                    desk: OrderDesk::new(options.clone(), me.clone()),
                    members: MemberTable::new(me.clone(), DomainName::new("nord")),
                    catalogue: CatalogueView::new(),
                    is_frozen: false,
                    me,
                }
            })
            .collect();
        let engines = (0..engines)
            .map(|number| FakeEngine {
                target: TargetName::new(format!("motor-{number}")),
                checks_fence,
                state: state("bora", 0),
                fence: 0,
                load: None,
                load_ms: 0,
                orders: Vec::new(),
            })
            .collect();
        let mut bench = OrderBench {
            now: ClockTime::from_millis(1_000_000),
            nodes,
            engines,
            store: FakeStore::default(),
            parcels: Vec::new(),
            store_loads: usize::MAX,
            most_loads: 0,
            transcript: Vec::new(),
        };
        for node in 0..hosts.len() {
            for other in 0..hosts.len() {
                bench.set_liveness(node, other, MemberLiveness::Live);
            }
        }
        bench
    }

    /// Sets how alive `other` is to `node`.
    pub fn set_liveness(&mut self, node: usize, other: usize, liveness: MemberLiveness) {
        if node == other {
            return;
        }
        let router = self.nodes[other].me.clone();
        let entry = MemberEntry {
            domain: DomainName::new("nord"),
            address: format!("{}:7000", router.host),
            state: RouterState::Live,
            liveness,
            catalogue_revision: 1,
            last_seen_at: ClockTime::ZERO,
            sequence: 1,
        };
        self.nodes[node].members.insert(router, entry);
    }

    /// The router that `node` believes to be picked for an engine.
    pub fn picked(&self, node: usize, engine: usize) -> usize {
        let name = format!("orders/{}", self.engines[engine].target);
        let picked = self.nodes[node].members.picked_for(&name);
        self.nodes
            .iter()
            .position(|node| node.me == picked)
            .expect("the picked router is on the bench")
    }

    /// Stops a router's process, with what it has not sent yet.
    pub fn freeze(&mut self, node: usize) {
        self.nodes[node].is_frozen = true;
        self.note(node, "event", &"frozen");
    }

    /// Lets a frozen router go on.
    pub fn resume(&mut self, node: usize) {
        self.nodes[node].is_frozen = false;
        self.note(node, "event", &"resumed");
    }

    /// Lets time pass.
    pub fn run(&mut self, span_ms: u64) {
        let end = self.now.plus_ms(span_ms);
        self.deliver_all();
        while self.now < end {
            self.now = self.now.plus_ms(TICK_MS);
            self.tick_all();
            self.deliver_all();
        }
    }

    /// Delivers one parcel after the other, and lets ticks pass when there is none, until one is on
    /// its way that `is_wanted`.
    pub fn run_until(&mut self, is_wanted: impl Fn(&Parcel) -> bool) {
        for _ in 0..MOST_STEPS {
            if self.parcels.iter().any(&is_wanted) {
                return;
            }
            if self.parcels.is_empty() {
                self.now = self.now.plus_ms(TICK_MS);
                self.tick_all();
            } else {
                self.deliver(0);
            }
        }
        panic!("what the session waits for does not come");
    }

    /// Lets every router probe and tick once, and delivers nothing.
    pub fn tick_all(&mut self) {
        for engine in &mut self.engines {
            engine.pass_time(self.now);
        }
        for node in 0..self.nodes.len() {
            if !self.nodes[node].is_frozen {
                self.tick(node);
            }
        }
    }

    /// Delivers everything that is on its way, oldest first; what belongs to a frozen router stays.
    pub fn deliver_all(&mut self) {
        let is_free = |bench: &Self, parcel: &Parcel| !bench.nodes[parcel.node()].is_frozen;
        while let Some(index) = self.parcels.iter().position(|parcel| is_free(self, parcel)) {
            self.deliver(index);
        }
    }

    /// Delivers one parcel.
    pub fn deliver(&mut self, index: usize) {
        match self.parcels.remove(index) {
            Parcel::Call { node, ticket, call } => {
                let reply = self.store.apply(&call);
                self.parcels.push(Parcel::Reply {
                    node,
                    ticket,
                    reply,
                });
            }
            Parcel::Reply {
                node,
                ticket,
                reply,
            } => {
                let event = CoreEvent::Platform {
                    ticket,
                    reply: reply.clone(),
                };
                self.note(node, "event", &event);
                let mut outbox = CoreOutbox::new();
                let desk = &mut self.nodes[node].desk;
                desk.on_platform(self.now, ticket, reply, &mut outbox);
                self.carry(node, outbox);
            }
            Parcel::Order {
                node,
                target,
                fence,
                state,
            } => self.give_order(node, target, fence, &state),
            Parcel::Ordered {
                node,
                target,
                fence,
                outcome,
            } => {
                self.note(node, "ordered", &(&target, fence, outcome));
                let desk = &mut self.nodes[node].desk;
                desk.on_ordered(self.now, &target, fence, outcome);
            }
        }
    }

    /// Loses the answer to the call at `index` after it took effect.
    pub fn lose_answer(&mut self, index: usize) {
        if let Parcel::Call { node, ticket, call } = self.parcels.remove(index) {
            self.store.apply(&call);
            let reply = PlatformReply::Unknown;
            self.parcels.push(Parcel::Reply {
                node,
                ticket,
                reply,
            });
        }
    }

    /// How many orders reached the engines.
    pub fn orders(&self) -> usize {
        self.engines.iter().map(|engine| engine.orders.len()).sum()
    }

    fn tick(&mut self, node: usize) {
        let target = &mut self.nodes[node];
        for engine in &self.engines {
            target.desk.on_target_state(
                self.now,
                engine.target.clone(),
                format!("{}:8000", engine.target),
                ServiceName::new(SERVICE),
                engine.checks_fence,
                Some(engine.state.clone()),
            );
        }
        let mut outbox = CoreOutbox::new();
        target
            .desk
            .tick(self.now, &target.members, &target.catalogue, &mut outbox);
        self.carry(node, outbox);
    }

    fn give_order(&mut self, node: usize, target: TargetName, fence: u64, state: &EngineState) {
        let loads = self.loads();
        let engine = self
            .engines
            .iter_mut()
            .find(|engine| engine.target == target)
            .expect("the engine is on the bench");
        let outcome = engine.order(self.now, fence, state, loads >= self.store_loads);
        self.most_loads = self.most_loads.max(self.loads());
        self.parcels.push(Parcel::Ordered {
            node,
            target,
            fence,
            outcome,
        });
    }

    fn loads(&self) -> usize {
        self.engines
            .iter()
            .filter(|engine| engine.load.is_some())
            .count()
    }

    fn carry(&mut self, node: usize, outbox: CoreOutbox) {
        assert!(outbox.signals.is_empty());
        for action in outbox.actions {
            self.note(node, "action", &action);
            match action {
                CoreAction::Platform { ticket, call } => {
                    self.parcels.push(Parcel::Call { node, ticket, call });
                }
                CoreAction::Target(TargetAction::Order {
                    target,
                    fence,
                    state,
                    ..
                }) => self.parcels.push(Parcel::Order {
                    node,
                    target,
                    fence,
                    state,
                }),
                CoreAction::Report(_) => {}
                other => panic!("unexpected action {other:?}"),
            }
        }
    }

    fn note(&mut self, node: usize, kind: &str, value: &impl Serialize) {
        let at = self.now;
        let router = &self.nodes[node].me;
        let text = serde_json::to_string(value).expect("events have a JSON form");
        let line = format!(r#"{{"at":{at},"router":"{router}","{kind}":{text}}}"#);
        self.transcript.push(line);
    }
}
