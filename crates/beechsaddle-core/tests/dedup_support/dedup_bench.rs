//! The `dedup_bench` module provides routers with a fake store.

use std::collections::{BTreeMap, BTreeSet};

use beechsaddle_core::dedup::DedupOptions;
use beechsaddle_core::members::MemberEntry;
use beechsaddle_core::peer::{PeerMessage, RecordRequest};
use beechsaddle_core::platform::{PlatformReply, PlatformTicket};
use beechsaddle_core::prelude::*;
use serde::Serialize;

use super::FakeStore;
use super::envelope::{Envelope, NO_ROUTER};
use super::router_node::{RouterNode, member_entry, new_node};

/// The interval of ticks in milliseconds.
const TICK_MS: u64 = 50;

/// Routers, the store, and the messages in flight between them.
#[derive(Clone, Debug)]
pub struct DedupBench {
    pub now: ClockTime,
    pub options: DedupOptions,
    pub nodes: Vec<RouterNode>,
    pub store: FakeStore,
    pub envelopes: Vec<Envelope>,
    /// Whether the store cannot be reached.
    pub is_cut: bool,
    /// Calls that are forgotten instead of dispatched once their record is durable.
    pub forgets: BTreeSet<CallId>,
    pub keys: BTreeMap<CallId, RequestKey>,
    pub dispatched: BTreeMap<RequestKey, Vec<CallId>>,
    pub refused: BTreeMap<CallId, CallRefusal>,
    /// The number of outcomes of each call.
    pub outcomes: BTreeMap<CallId, u32>,
    pub transcript: Vec<String>,
    /// Whether the transcript is written.
    pub is_recorded: bool,
}

impl DedupBench {
    /// Creates routers, each given by its host and its domain.
    pub fn new(options: DedupOptions, hosts: &[(&str, &str)]) -> Self {
        let nodes: Vec<RouterNode> = hosts
            .iter()
            .map(|(host, domain)| {
                let me = RouterIncarnation::new(*host, 1);
                new_node(&options, me, DomainName::new(domain))
            })
            .collect();
        let mut bench = DedupBench {
            now: ClockTime::from_millis(1_000_000),
            options,
            nodes,
            store: FakeStore::default(),
            envelopes: Vec::new(),
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

    /// Adds all routers to each other's member tables, as heartbeats would.
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
        self.write_line(node, "record", &request);
        let target = &mut self.nodes[node];
        target
            .manager
            .record(now, request, &target.members, &mut outbox);
        self.apply_outbox(node, outbox);
        call
    }

    /// Sends a call with `key` through a router; with `forgets` the router will find no target.
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

    /// Ticks a router.
    pub fn tick(&mut self, node: usize) {
        let now = self.node_now(node);
        let target = &mut self.nodes[node];
        if !target.is_alive || target.is_frozen {
            return;
        }
        let mut outbox = CoreOutbox::new();
        target.manager.tick(now, &target.members, &mut outbox);
        if !outbox.actions.is_empty() || !outbox.signals.is_empty() {
            self.write_line(node, "event", &"tick");
        }
        self.apply_outbox(node, outbox);
    }

    /// Delivers the envelope at `index`, unless its receiver is frozen.
    pub fn deliver(&mut self, index: usize) {
        if self.is_held(&self.envelopes[index]) {
            return;
        }
        match self.envelopes.remove(index) {
            Envelope::Call { node, ticket, call } => {
                let reply = if self.is_cut {
                    PlatformReply::Unreachable
                } else {
                    self.store.apply(&call)
                };
                if node != NO_ROUTER {
                    self.envelopes.push(Envelope::Reply {
                        node,
                        ticket,
                        reply,
                    });
                }
            }
            Envelope::Reply {
                node,
                ticket,
                reply,
            } => self.answer(node, ticket, reply),
            Envelope::Peer { from, to, message } => self.deliver_message(from, &to, message),
        }
    }

    /// Delivers everything in flight, oldest first, until only envelopes for frozen routers remain.
    pub fn deliver_all(&mut self) {
        while let Some(index) = self
            .envelopes
            .iter()
            .position(|envelope| !self.is_held(envelope))
        {
            self.deliver(index);
        }
    }

    /// Advances time with ticks and delivers everything in flight.
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

    /// Forgets a call that waits for its record or was not dispatched.
    pub fn forget(&mut self, node: usize, call: &CallId) {
        let now = self.node_now(node);
        let key = self.keys[call].clone();
        self.write_line(node, "forget", call);
        let mut outbox = CoreOutbox::new();
        self.nodes[node]
            .manager
            .forget(now, call, &key, &mut outbox);
        self.apply_outbox(node, outbox);
    }

    /// Returns the node that the routers of a node's domain pick for `key`.
    pub fn committer(&self, node: usize, key: &RequestKey) -> usize {
        let shard = beechsaddle_core::hash::shard_of(key.to_string(), self.options.shard_count);
        let committer = self.nodes[node]
            .members
            .picked_for(&format!("dedup/{shard}"));
        self.nodes
            .iter()
            .position(|node| node.me == committer)
            .expect("the picked router exists")
    }

    /// Whether a router's manager is idle.
    pub fn is_idle(&self, node: usize) -> bool {
        self.nodes[node].manager.is_idle()
    }

    /// Checks the invariants.
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
        if node == NO_ROUTER || !self.nodes[node].is_alive {
            return;
        }
        let now = self.node_now(node);
        let event = CoreEvent::Platform {
            ticket,
            reply: reply.clone(),
        };
        self.write_line(node, "event", &event);
        let mut outbox = CoreOutbox::new();
        let target = &mut self.nodes[node];
        target.manager.on_platform(now, ticket, reply, &mut outbox);
        self.apply_outbox(node, outbox);
    }

    fn deliver_message(
        &mut self,
        from: RouterIncarnation,
        to: &RouterIncarnation,
        message: PeerMessage,
    ) {
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
        self.write_line(node, "event", &event);
        let mut outbox = CoreOutbox::new();
        let target = &mut self.nodes[node];
        target
            .manager
            .on_peer(now, from, message, &target.members, &mut outbox);
        self.apply_outbox(node, outbox);
    }

    fn apply_outbox(&mut self, node: usize, outbox: CoreOutbox) {
        for action in outbox.actions {
            self.write_line(node, "action", &action);
            match action {
                CoreAction::Platform { ticket, call } => {
                    self.envelopes.push(Envelope::Call { node, ticket, call });
                }
                CoreAction::Peer { to, message, .. } => {
                    let from = self.nodes[node].me.clone();
                    self.envelopes.push(Envelope::Peer { from, to, message });
                }
                CoreAction::Report(_) => {}
                other => panic!("unexpected action {other:?}"),
            }
        }
        for signal in outbox.signals {
            self.write_line(node, "signal", &signal);
            match signal {
                CoreSignal::RecordDone { call, outcome } => self.finish(node, call, outcome),
                other => panic!("unexpected signal {other:?}"),
            }
        }
    }

    fn finish(&mut self, node: usize, call: CallId, outcome: Result<(), CallRefusal>) {
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

    fn is_held(&self, envelope: &Envelope) -> bool {
        match envelope {
            Envelope::Call { .. } => false,
            Envelope::Reply { node, .. } => self.nodes.get(*node).is_some_and(|one| one.is_frozen),
            Envelope::Peer { to, .. } => self
                .nodes
                .iter()
                .any(|node| node.me == *to && node.is_frozen),
        }
    }

    pub fn node_now(&self, node: usize) -> ClockTime {
        self.now.plus_ms(self.nodes[node].clock_ahead_ms)
    }

    pub fn write_line(&mut self, node: usize, kind: &str, value: &impl Serialize) {
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
