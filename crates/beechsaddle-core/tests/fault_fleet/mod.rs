//! The `fault_fleet` module provides whole routers of two domains on a faulty network and platform.

mod call_book;
mod fault_network;
mod fault_parcel;
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
use call_book::CallBook;
use fault_network::FaultNetwork;
use fault_parcel::{FaultParcel, WaitingWatch};
use fault_store::FaultStore;
use fleet_node::{DOMAINS, FleetNode};
use target_script::TargetScript;

pub use fleet_step::FleetStep;

/// Routers of the fleet.
const NODES: usize = 5;

/// Events, clocks aside, that one tick may bring; more means that routers answer without end.
const EVENTS_MAX: u32 = 2_000;

/// The tokens that the budget has at first; a call reserves up to 200.
const FIRST_TOP_UP: u64 = 3_000;

/// The fleet, its surroundings, and what was found wrong.
pub struct FaultFleet {
    pub now: ClockTime,
    pub faults: Vec<String>,
    pub trace: Option<Vec<String>>,
    nodes: Vec<FleetNode>,
    network: FaultNetwork,
    store: FaultStore,
    watches: Vec<WaitingWatch>,
    scripts: BTreeMap<TargetName, TargetScript>,
    book: CallBook,
    parcels: BTreeMap<(ClockTime, u64), FaultParcel>,
    parcel_count: u64,
    call_count: u64,
    change_count: u64,
    kill_count: u64,
    freeze_count: u64,
    /// The tick that is counted, and its events.
    busy: (u64, u32),
    random: ChaCha8Rng,
}

impl FaultFleet {
    /// A fleet that has started.
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
            book: CallBook::default(),
            parcels: BTreeMap::new(),
            parcel_count: 0,
            call_count: 0,
            change_count: 1,
            kill_count: 0,
            freeze_count: 0,
            busy: (0, 0),
            random: ChaCha8Rng::seed_from_u64(seed),
        };
        let change = first_change();
        fleet.store.put(
            "catalogue/change/000000000001",
            PlatformObject::Change(change),
        );
        fleet.store.top_up("first", FIRST_TOP_UP);
        for node in 0..NODES {
            fleet.start(node);
        }
        fleet.run(4_000);
        fleet
    }

    /// Lets time pass.
    pub fn run(&mut self, span_ms: u64) {
        let end = self.now.plus_ms(span_ms);
        while let Some(entry) = self.parcels.first_entry() {
            let (time, _) = *entry.key();
            if time > end {
                break;
            }
            let parcel = entry.remove();
            self.now = self.now.max(time);
            self.deliver(parcel);
        }
        self.now = end;
    }

    fn send(&mut self, delay_ms: u64, parcel: FaultParcel) {
        self.parcel_count += 1;
        let time = self.now.plus_ms(delay_ms);
        self.parcels.insert((time, self.parcel_count), parcel);
    }

    fn send_event(&mut self, delay_ms: u64, node: usize, event: CoreEvent) {
        let epoch = self.nodes[node].name.epoch;
        self.send(delay_ms, FaultParcel::Event { node, epoch, event });
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

    fn deliver(&mut self, parcel: FaultParcel) {
        match parcel {
            FaultParcel::Clock { node, epoch } if self.is_current(node, epoch) => {
                self.send(TICK_MS, FaultParcel::Clock { node, epoch });
                if !self.nodes[node].is_frozen {
                    self.handle(node, CoreEvent::Tick);
                }
                self.expire_watches();
            }
            FaultParcel::Event { node, epoch, event } if self.is_current(node, epoch) => {
                self.count_event();
                if self.nodes[node].is_frozen {
                    self.nodes[node].held.push_back(event);
                } else {
                    self.take(node, event);
                }
            }
            FaultParcel::Clock { .. } | FaultParcel::Event { .. } => {}
            FaultParcel::Land {
                node,
                epoch,
                ticket,
                call,
                is_answered,
            } => self.land(node, epoch, ticket, call, is_answered),
            FaultParcel::Retry { call } => self.retry(&call),
        }
    }

    fn count_event(&mut self) {
        let tick = self.now.as_millis() / TICK_MS;
        if self.busy.0 != tick {
            self.busy = (tick, 0);
        }
        self.busy.1 += 1;
        if self.busy.1 == EVENTS_MAX {
            self.faults
                .push(format!("{EVENTS_MAX} events in one tick at {}", self.now));
        }
    }

    /// Hands an event to a router after the edge did its part of it.
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
        self.send(0, FaultParcel::Clock { node, epoch });
        self.send_event(0, node, CoreEvent::Started);
    }

    /// Brings the platform's lists up to date.
    fn list_hosts(&mut self) {
        for domain in DOMAINS {
            let name = DomainName::from(domain);
            let live = self.nodes.iter().filter(|node| node.domain == name);
            let mut hosts: Vec<_> = live
                .filter(|node| node.is_alive())
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
