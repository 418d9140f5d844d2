//! The `once_bench` module provides routers around a fake store.

use std::collections::{BTreeMap, BTreeSet};

use beechsaddle_core::members::MemberEntry;
use beechsaddle_core::once::OnceOptions;
use beechsaddle_core::peer::{PeerMessage, RecordRequest};
use beechsaddle_core::platform::{PlatformReply, PlatformTicket};
use beechsaddle_core::prelude::*;
use serde::Serialize;

use super::FakeStore;
use super::parcel::{NOBODY, Parcel};
use super::router_node::{RouterNode, member_entry, new_node};

/// How often the bench lets routers tick, in milliseconds.
const TICK_MS: u64 = 50;

/// Routers, the store, and everything on its way between them.
#[derive(Clone, Debug)]
pub struct OnceBench {
    pub now: ClockTime,
    pub options: OnceOptions,
    pub nodes: Vec<RouterNode>,
    pub store: FakeStore,
    pub parcels: Vec<Parcel>,
    /// Whether the store cannot be reached.
    pub is_cut: bool,
    /// Calls that are forgotten instead of dispatched when their record is durable.
    pub forgets: BTreeSet<CallId>,
    pub keys: BTreeMap<CallId, RequestKey>,
    pub dispatched: BTreeMap<RequestKey, Vec<CallId>>,
    pub refused: BTreeMap<CallId, CallRefusal>,
    /// How many outcomes each call got.
    pub outcomes: BTreeMap<CallId, u32>,
    pub transcript: Vec<String>,
    /// Whether the transcript is written.
    pub is_recorded: bool,
}

impl OnceBench {
    /// A bench of routers, each given by its host and its domain.
    pub fn new(options: OnceOptions, hosts: &[(&str, &str)]) -> Self {
        let nodes: Vec<RouterNode> = hosts
            .iter()
            .map(|(host, domain)| {
                let me = RouterIncarnation::new(*host, 1);
                new_node(&options, me, DomainName::new(domain))
            })
            .collect();
        let mut bench = OnceBench {
            now: ClockTime::from_millis(1_000_000),
            options,
            nodes,
            store: FakeStore::default(),
            parcels: Vec::new(),
            is_cut: false,
            forgets: BTreeSet::new(),
            keys: BTreeMap::new(),
            dispatched: BTreeMap::new(),
            refused: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            transcript: Vec::new(),
            is_recorded: true,
        };
        bench.introduce();
        bench
    }

    /// Tells every router of all others, as their heartbeats would.
    pub fn introduce(&mut self) {
        let known: Vec<(RouterIncarnation, MemberEntry)> = self
            .nodes
            .iter()
            .map(|node| (node.me.clone(), member_entry(node)))
            .collect();
        for node in &mut self.nodes {
            for (router, entry) in &known {
                if *router != node.me {
                    node.members.insert(router.clone(), entry.clone());
                }
            }
        }
    }

    /// Sends a call with `key` through a router.
    pub fn record(&mut self, node: usize, key: &RequestKey) -> CallId {
        let now = self.node_now(node);
        let target = &mut self.nodes[node];
        let call = CallId {
            router: target.me.clone(),
            number: target.next_call,
        };
        target.next_call += 1;
        let request = RecordRequest {
            call: call.clone(),
            key: key.clone(),
        };
        self.keys.insert(call.clone(), key.clone());
        let mut outbox = CoreOutbox::new();
        self.note(node, "record", &request);
        let target = &mut self.nodes[node];
        target
            .desk
            .record(now, request, &target.members, &mut outbox);
        self.carry(node, outbox);
        call
    }

    /// Sends a call with `key` through a router; `forgets` tells that no target will be found.
    pub fn record_or_forget(&mut self, node: usize, key: &RequestKey, forgets: bool) -> CallId {
        if forgets {
            let call = CallId {
                router: self.nodes[node].me.clone(),
                number: self.nodes[node].next_call,
            };
            self.forgets.insert(call);
        }
        self.record(node, key)
    }

    /// Lets a router tick.
    pub fn tick(&mut self, node: usize) {
        let now = self.node_now(node);
        let target = &mut self.nodes[node];
        if !target.is_alive || target.is_frozen {
            return;
        }
        let mut outbox = CoreOutbox::new();
        target.desk.tick(now, &target.members, &mut outbox);
        if !outbox.actions.is_empty() || !outbox.signals.is_empty() {
            self.note(node, "event", &"tick");
        }
        self.carry(node, outbox);
    }

    /// Delivers the parcel at `index`; what is meant for a frozen router stays.
    pub fn deliver(&mut self, index: usize) {
        if self.is_held(&self.parcels[index]) {
            return;
        }
        match self.parcels.remove(index) {
            Parcel::Call { node, ticket, call } => {
                let reply = if self.is_cut {
                    PlatformReply::Unreachable
                } else {
                    self.store.apply(&call)
                };
                if node != NOBODY {
                    self.parcels.push(Parcel::Reply {
                        node,
                        ticket,
                        reply,
                    });
                }
            }
            Parcel::Reply {
                node,
                ticket,
                reply,
            } => self.answer(node, ticket, reply),
            Parcel::Peer { from, to, message } => self.hand_over(from, &to, message),
        }
    }

    /// Delivers everything that is on its way, oldest first, until nothing moves.
    pub fn deliver_all(&mut self) {
        while let Some(index) = self.parcels.iter().position(|parcel| !self.is_held(parcel)) {
            self.deliver(index);
        }
    }

    /// Lets time pass, with ticks, and delivers everything as it comes.
    pub fn run(&mut self, span_ms: u64) {
        let end = self.now.plus_ms(span_ms);
        self.deliver_all();
        while self.now < end {
            self.now = self.now.plus_ms(TICK_MS);
            for node in 0..self.nodes.len() {
                self.tick(node);
            }
            self.deliver_all();
        }
    }

    /// Gives up the record of a call that waits or was not dispatched.
    pub fn forget(&mut self, node: usize, call: &CallId) {
        let now = self.node_now(node);
        let key = self.keys[call].clone();
        self.note(node, "forget", call);
        let mut outbox = CoreOutbox::new();
        self.nodes[node].desk.forget(now, call, &key, &mut outbox);
        self.carry(node, outbox);
    }

    /// The node that the routers of a node's domain pick for `key`.
    pub fn picked(&self, node: usize, key: &RequestKey) -> usize {
        let shard = beechsaddle_core::hash::shard_of(key.to_string(), self.options.shard_count);
        let picked = self.nodes[node]
            .members
            .picked_for(&format!("dedup/{shard}"));
        self.nodes
            .iter()
            .position(|node| node.me == picked)
            .expect("the picked router is on the bench")
    }

    /// Whether a router's desk has nothing to do.
    pub fn is_idle(&self, node: usize) -> bool {
        self.nodes[node].desk.is_idle()
    }

    /// Checks what must hold at all times.
    pub fn check(&self) -> Result<(), String> {
        for (key, calls) in &self.dispatched {
            if calls.len() > 1 {
                return Err(format!(
                    "{key} was dispatched {} times: {calls:?}",
                    calls.len()
                ));
            }
            for call in calls {
                if let Some(refusal) = self.refused.get(call) {
                    return Err(format!("{call} was dispatched and refused: {refusal:?}"));
                }
            }
        }
        for (call, count) in &self.outcomes {
            if *count > 1 {
                return Err(format!("{call} got {count} outcomes"));
            }
        }
        Ok(())
    }

    fn answer(&mut self, node: usize, ticket: PlatformTicket, reply: PlatformReply) {
        if node == NOBODY || !self.nodes[node].is_alive {
            return;
        }
        let now = self.node_now(node);
        let event = CoreEvent::Platform {
            ticket,
            reply: reply.clone(),
        };
        self.note(node, "event", &event);
        let mut outbox = CoreOutbox::new();
        let target = &mut self.nodes[node];
        target.desk.on_platform(now, ticket, reply, &mut outbox);
        self.carry(node, outbox);
    }

    fn hand_over(&mut self, from: RouterIncarnation, to: &RouterIncarnation, message: PeerMessage) {
        let Some(node) = self.nodes.iter().position(|node| node.me == *to) else {
            return;
        };
        if !self.nodes[node].is_alive {
            return;
        }
        let now = self.node_now(node);
        let event = CoreEvent::Peer {
            from: from.clone(),
            message: message.clone(),
        };
        self.note(node, "event", &event);
        let mut outbox = CoreOutbox::new();
        let target = &mut self.nodes[node];
        target
            .desk
            .on_peer(now, from, message, &target.members, &mut outbox);
        self.carry(node, outbox);
    }

    fn carry(&mut self, node: usize, outbox: CoreOutbox) {
        for action in outbox.actions {
            self.note(node, "action", &action);
            match action {
                CoreAction::Platform { ticket, call } => {
                    self.parcels.push(Parcel::Call { node, ticket, call });
                }
                CoreAction::Peer { to, message, .. } => {
                    let from = self.nodes[node].me.clone();
                    self.parcels.push(Parcel::Peer { from, to, message });
                }
                CoreAction::Report(_) => {}
                other => panic!("unexpected action {other:?}"),
            }
        }
        for signal in outbox.signals {
            self.note(node, "signal", &signal);
            match signal {
                CoreSignal::RecordDone { call, outcome } => self.conclude(node, call, outcome),
                other => panic!("unexpected signal {other:?}"),
            }
        }
    }

    fn conclude(&mut self, node: usize, call: CallId, outcome: Result<(), CallRefusal>) {
        *self.outcomes.entry(call.clone()).or_default() += 1;
        match outcome {
            Ok(()) if self.forgets.contains(&call) => self.forget(node, &call),
            Ok(()) => {
                let key = self.keys[&call].clone();
                self.dispatched.entry(key).or_default().push(call);
            }
            Err(refusal) => {
                self.refused.insert(call, refusal);
            }
        }
    }

    fn is_held(&self, parcel: &Parcel) -> bool {
        match parcel {
            Parcel::Call { .. } => false,
            Parcel::Reply { node, .. } => self.nodes.get(*node).is_some_and(|node| node.is_frozen),
            Parcel::Peer { to, .. } => self
                .nodes
                .iter()
                .any(|node| node.me == *to && node.is_frozen),
        }
    }

    pub fn node_now(&self, node: usize) -> ClockTime {
        self.now.plus_ms(self.nodes[node].clock_ahead_ms)
    }

    pub fn note(&mut self, node: usize, kind: &str, value: &impl Serialize) {
        if !self.is_recorded {
            return;
        }
        let at = self.node_now(node);
        let router = &self.nodes[node].me;
        let text = serde_json::to_string(value).expect("events have a JSON form");
        let line = format!(r#"{{"at":{at},"router":"{router}","{kind}":{text}}}"#);
        self.transcript.push(line);
    }
}
