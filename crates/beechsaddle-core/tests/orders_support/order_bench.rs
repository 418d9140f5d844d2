//! The `order_bench` module provides routers that order engines, with a fake store.

use beechsaddle_core::catalogue::CatalogueView;
use beechsaddle_core::members::{MemberEntry, MemberLiveness, MemberTable};
use beechsaddle_core::orders::{OrderManager, OrderOptions};
use beechsaddle_core::peer::RouterState;
use beechsaddle_core::platform::PlatformReply;
use beechsaddle_core::prelude::*;
use beechsaddle_core::target::{EngineState, TargetAction};
use serde::Serialize;

use super::{Envelope, FakeEngine, SERVICE, state};
use crate::dedup_support::FakeStore;

/// The interval of ticks in milliseconds.
const TICK_MS: u64 = 50;

/// The maximum number of steps that a session waits for an envelope.
const MAX_STEPS: usize = 2_000;

pub struct OrderNode {
    pub me: RouterIncarnation,
    manager: OrderManager,
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
    pub envelopes: Vec<Envelope>,
    /// The number of loads that the weight store serves at once.
    pub store_loads: usize,
    /// The highest number of concurrent loads.
    pub max_loads: usize,
    pub transcript: Vec<String>,
}

impl OrderBench {
    /// Creates routers and engines that all serve version zero of `bora`.
    pub fn new(options: &OrderOptions, hosts: &[&str], engines: usize, checks_fence: bool) -> Self {
        let nodes = hosts
            .iter()
            .map(|host| {
                let me = RouterIncarnation::new(*host, 1);
                OrderNode {
                    manager: OrderManager::new(options.clone(), me.clone()),
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
            envelopes: Vec::new(),
            store_loads: usize::MAX,
            max_loads: 0,
            transcript: Vec::new(),
        };
        for node in 0..hosts.len() {
            for other in 0..hosts.len() {
                bench.set_liveness(node, other, MemberLiveness::Live);
            }
        }
        bench
    }

    /// Sets the liveness of `other` in the member table of `node`.
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

    /// Returns the router that `node` picks for an engine.
    pub fn picked(&self, node: usize, engine: usize) -> usize {
        let name = format!("orders/{}", self.engines[engine].target);
        let picked = self.nodes[node].members.picked_for(&name);
        self.nodes
            .iter()
            .position(|node| node.me == picked)
            .expect("the picked router exists")
    }

    /// Freezes a router's process, including its unsent envelopes.
    pub fn freeze(&mut self, node: usize) {
        self.nodes[node].is_frozen = true;
        self.write_line(node, "event", &"frozen");
    }

    /// Resumes a frozen router.
    pub fn resume(&mut self, node: usize) {
        self.nodes[node].is_frozen = false;
        self.write_line(node, "event", &"resumed");
    }

    /// Advances time with ticks and delivers everything in flight.
    pub fn run(&mut self, span_ms: u64) {
        let end = self.now.plus_ms(span_ms);
        self.deliver_all();
        while self.now < end {
            self.now = self.now.plus_ms(TICK_MS);
            self.tick_all();
            self.deliver_all();
        }
    }

    /// Delivers single envelopes, and ticks when there is none, until one matches `is_wanted`.
    pub fn run_until(&mut self, is_wanted: impl Fn(&Envelope) -> bool) {
        for _ in 0..MAX_STEPS {
            if self.envelopes.iter().any(&is_wanted) {
                return;
            }
            if self.envelopes.is_empty() {
                self.now = self.now.plus_ms(TICK_MS);
                self.tick_all();
            } else {
                self.deliver(0);
            }
        }
        panic!("no matching envelope was sent");
    }

    /// Probes the engines and ticks every router once, without delivery.
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

    /// Delivers everything in flight, oldest first, except envelopes of frozen routers.
    pub fn deliver_all(&mut self) {
        let is_free = |bench: &Self, envelope: &Envelope| !bench.nodes[envelope.node()].is_frozen;
        while let Some(index) = self
            .envelopes
            .iter()
            .position(|envelope| is_free(self, envelope))
        {
            self.deliver(index);
        }
    }

    /// Delivers one envelope.
    pub fn deliver(&mut self, index: usize) {
        match self.envelopes.remove(index) {
            Envelope::Call { node, ticket, call } => {
                let reply = self.store.apply(&call);
                self.envelopes.push(Envelope::Reply {
                    node,
                    ticket,
                    reply,
                });
            }
            Envelope::Reply {
                node,
                ticket,
                reply,
            } => {
                let event = CoreEvent::Platform {
                    ticket,
                    reply: reply.clone(),
                };
                self.write_line(node, "event", &event);
                let mut outbox = CoreOutbox::new();
                let manager = &mut self.nodes[node].manager;
                manager.on_platform(self.now, ticket, reply, &mut outbox);
                self.apply_outbox(node, outbox);
            }
            Envelope::Order {
                node,
                target,
                fence,
                state,
            } => self.deliver_order(node, target, fence, &state),
            Envelope::Ordered {
                node,
                target,
                fence,
                outcome,
            } => {
                self.write_line(node, "ordered", &(&target, fence, outcome));
                let manager = &mut self.nodes[node].manager;
                manager.on_ordered(self.now, &target, fence, outcome);
            }
        }
    }

    /// Applies the call at `index` and drops its reply.
    pub fn lose_answer(&mut self, index: usize) {
        if let Envelope::Call { node, ticket, call } = self.envelopes.remove(index) {
            self.store.apply(&call);
            let reply = PlatformReply::Unknown;
            self.envelopes.push(Envelope::Reply {
                node,
                ticket,
                reply,
            });
        }
    }

    /// Returns how many orders reached the engines.
    pub fn orders(&self) -> usize {
        self.engines.iter().map(|engine| engine.orders.len()).sum()
    }

    fn tick(&mut self, node: usize) {
        let target = &mut self.nodes[node];
        for engine in &self.engines {
            target.manager.on_target_state(
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
            .manager
            .tick(self.now, &target.members, &target.catalogue, &mut outbox);
        self.apply_outbox(node, outbox);
    }

    fn deliver_order(&mut self, node: usize, target: TargetName, fence: u64, state: &EngineState) {
        let loads = self.loads();
        let engine = self
            .engines
            .iter_mut()
            .find(|engine| engine.target == target)
            .expect("the engine exists");
        let outcome = engine.order(self.now, fence, state, loads >= self.store_loads);
        self.max_loads = self.max_loads.max(self.loads());
        self.envelopes.push(Envelope::Ordered {
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

    fn apply_outbox(&mut self, node: usize, outbox: CoreOutbox) {
        assert!(outbox.signals.is_empty());
        for action in outbox.actions {
            self.write_line(node, "action", &action);
            match action {
                CoreAction::Platform { ticket, call } => {
                    self.envelopes.push(Envelope::Call { node, ticket, call });
                }
                CoreAction::Target(TargetAction::Order {
                    target,
                    fence,
                    state,
                    ..
                }) => self.envelopes.push(Envelope::Order {
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

    fn write_line(&mut self, node: usize, kind: &str, value: &impl Serialize) {
        let at = self.now;
        let router = &self.nodes[node].me;
        let text = serde_json::to_string(value).expect("events have a JSON form");
        let line = format!(r#"{{"at":{at},"router":"{router}","{kind}":{text}}}"#);
        self.transcript.push(line);
    }
}
