//! The `fault_fleet` module provides whole routers of two domains with a faulty network and
//! platform.

#![allow(dead_code, unused_imports, reason = "each test file uses a part")]

mod call_log;
mod fault_envelope;
mod fault_network;
mod fault_store;
mod fleet_callers;
mod fleet_checks;
mod fleet_edges;
mod fleet_node;
mod fleet_platform;
mod fleet_step;
mod target_script;

use std::collections::BTreeMap;

use beechsaddle_core::event::TICK_MS;
use beechsaddle_core::members::{HostList, HostState};
use beechsaddle_core::objects::PlatformObject;
use beechsaddle_core::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::fleet_setup::{first_change, router_record, target_record};
use call_log::CallLog;
use fault_envelope::{FaultEnvelope, WaitingWatch};
use fault_network::FaultNetwork;
use fault_store::FaultStore;
use fleet_node::{DOMAINS, FleetNode};
use target_script::TargetScript;

pub use fleet_step::{FleetStep, StepKind};

/// The number of routers.
const NODES: usize = 5;

/// The maximum number of events per tick, without ticks; more means an endless exchange of replies.
const MAX_EVENTS: u32 = 2_000;

/// The maximum of the first top-up, in tokens; a call reserves up to 200.
const FIRST_TOP_UP: u64 = 2_000;

/// The fleet, its environment, and the violations found.
pub struct FaultFleet {
    pub now: ClockTime,
    pub faults: Vec<String>,
    pub trace: Option<Vec<String>>,
    nodes: Vec<FleetNode>,
    network: FaultNetwork,
    store: FaultStore,
    watches: Vec<WaitingWatch>,
    scripts: BTreeMap<TargetName, TargetScript>,
    call_log: CallLog,
    envelopes: BTreeMap<(ClockTime, u64), FaultEnvelope>,
    envelope_count: u64,
    call_count: u64,
    change_count: u64,
    kill_count: u64,
    freeze_count: u64,
    /// The counted tick, and its number of events.
    tick_events: (u64, u32),
    random: ChaCha8Rng,
}

impl FaultFleet {
    /// Creates a fleet and starts it.
    pub fn new(seed: u64) -> Self {
        let mut fleet = FaultFleet {
            now: ClockTime::from_millis(1_000_000),
            faults: Vec::new(),
            trace: None,
            nodes: (0..NODES).map(FleetNode::new).collect(),
            network: FaultNetwork::default(),
            store: FaultStore::default(),
            watches: Vec::new(),
            scripts: BTreeMap::new(),
            call_log: CallLog::default(),
            envelopes: BTreeMap::new(),
            envelope_count: 0,
            call_count: 0,
            change_count: 1,
            kill_count: 0,
            freeze_count: 0,
            tick_events: (0, 0),
            random: ChaCha8Rng::seed_from_u64(seed),
        };
        let change = first_change();
        fleet.store.put(
            "catalogue/change/000000000001",
            PlatformObject::Change(change),
        );
        let tokens = fleet.between(0, FIRST_TOP_UP);
        fleet.store.top_up("first", tokens);
        for node in 0..NODES {
            fleet.start(node);
        }
        fleet.run(4_000);
        fleet
    }

    /// Advances time and delivers due envelopes.
    pub fn run(&mut self, span_ms: u64) {
        let end = self.now.plus_ms(span_ms);
        while let Some(entry) = self.envelopes.first_entry() {
            let (time, _) = *entry.key();
            if time > end {
                break;
            }
            let envelope = entry.remove();
            self.now = self.now.max(time);
            self.deliver(envelope);
        }
        self.now = end;
    }

    fn send(&mut self, delay_ms: u64, envelope: FaultEnvelope) {
        self.envelope_count += 1;
        let time = self.now.plus_ms(delay_ms);
        self.envelopes.insert((time, self.envelope_count), envelope);
    }

    fn send_event(&mut self, delay_ms: u64, node: usize, event: CoreEvent) {
        let epoch = self.nodes[node].name.epoch;
        self.send(delay_ms, FaultEnvelope::Event { node, epoch, event });
    }

    fn chance(&mut self, permille: u32) -> bool {
        permille > 0 && self.random.random_range(0..1_000) < permille
    }

    fn between(&mut self, least: u64, most: u64) -> u64 {
        self.random.random_range(least..=most)
    }

    fn is_current(&self, node: usize, epoch: u64) -> bool {
        let host = &self.nodes[node];
        host.is_alive() && host.name.epoch == epoch
    }

    fn deliver(&mut self, envelope: FaultEnvelope) {
        match envelope {
            FaultEnvelope::Clock { node, epoch } if self.is_current(node, epoch) => {
                self.send(TICK_MS, FaultEnvelope::Clock { node, epoch });
                if !self.nodes[node].is_frozen {
                    self.handle(node, CoreEvent::Tick);
                }
                self.expire_watches();
            }
            FaultEnvelope::Event { node, epoch, event } if self.is_current(node, epoch) => {
                self.count_event();
                if self.nodes[node].is_frozen {
                    self.nodes[node].held.push_back(event);
                } else {
                    self.take(node, event);
                }
            }
            FaultEnvelope::Clock { .. } | FaultEnvelope::Event { .. } => {}
            FaultEnvelope::CallArrived {
                node,
                epoch,
                ticket,
                call,
                is_answered,
            } => self.on_call_arrived(node, epoch, ticket, call, is_answered),
            FaultEnvelope::Retry { call } => self.retry(&call),
        }
    }

    fn count_event(&mut self) {
        let tick = self.now.as_millis() / TICK_MS;
        if self.tick_events.0 != tick {
            self.tick_events = (tick, 0);
        }
        self.tick_events.1 += 1;
        if self.tick_events.1 == MAX_EVENTS {
            self.faults
                .push(format!("{MAX_EVENTS} events in one tick at {}", self.now));
        }
    }

    /// Delivers an event to a router after the edge's part is done.
    fn take(&mut self, node: usize, event: CoreEvent) {
        if let CoreEvent::Call(call_event) = &event
            && !self.relay(call_event)
        {
            return;
        }
        self.handle(node, event);
    }

    fn handle(&mut self, node: usize, event: CoreEvent) {
        if let Some(trace) = &mut self.trace
            && event != CoreEvent::Tick
        {
            trace.push(format!(
                "{} {} <- {event:?}",
                self.now, self.nodes[node].name
            ));
        }
        let Some(core) = &mut self.nodes[node].core else {
            return;
        };
        let mut outbox = CoreOutbox::new();
        core.handle(self.now, event, &mut outbox);
        for action in outbox.actions {
            self.carry_out(node, action);
        }
    }

    fn start(&mut self, node: usize) {
        let seeds = (0..NODES)
            .filter(|other| *other != node)
            .map(|other| self.nodes[other].seed())
            .collect();
        self.nodes[node].start(seeds);
        let epoch = self.nodes[node].name.epoch;
        self.list_hosts();
        self.send(0, FaultEnvelope::Clock { node, epoch });
        self.send_event(0, node, CoreEvent::Started);
    }

    /// Updates the platform's host lists.
    fn list_hosts(&mut self) {
        for domain in DOMAINS {
            let name = DomainName::from(domain);
            let live = self.nodes.iter().filter(|node| node.domain == name);
            let mut hosts: Vec<_> = live
                .filter(|node| node.is_listed)
                .map(|node| router_record(&node.name, &name, HostState::Live))
                .collect();
            for (target, service) in [("engine", "pool"), ("notify", "notify")] {
                for number in 1..=2 {
                    let host = format!("{target}-{number}-{domain}");
                    hosts.push(target_record(&host, service, &name));
                }
            }
            let hosts = PlatformObject::Hosts(HostList { hosts });
            self.store.put(&format!("hosts/{domain}"), hosts);
        }
        self.answer_watches();
    }
}
