//! Tests of the time until a change is in force at every router.

mod members_support;

use std::collections::BTreeSet;

use beechsaddle_core::catalogue::{CatalogueManager, CatalogueOptions};
use beechsaddle_core::members::{
    HeartbeatUpdate, MemberLiveness, MemberManager, MemberOptions, MemberTable,
};
use beechsaddle_core::peer::PeerMessage;
use beechsaddle_core::platform::{PlatformCall, PlatformDuty, PlatformReply, PlatformTicket};
use beechsaddle_core::prelude::*;

use members_support::{
    address, at, change_object, found, hosts_object, platform_calls, router, router_record,
};

/// The domains, and the routers of each, as many as in a domain of a large fleet.
const DOMAINS: [&str; 2] = ["split-hala", "rijeka-hala"];
const ROUTERS: usize = 24;

/// The tick interval in milliseconds; messages arrive at the next tick.
const TICK: u64 = 50;

/// How long the platform holds a watch, in milliseconds.
const WATCH: u64 = 25_000;

/// When the next change is applied, in milliseconds: all routers have started by then.
const APPLIED_AT: u64 = 10_000;

struct FleetRouter {
    members: MemberManager,
    catalogue: CatalogueManager,
    /// Pending watches, each with its start time.
    watches: Vec<(u64, PlatformTicket, PlatformCall)>,
    in_force_at: Option<u64>,
}

/// Two domains; the platform replies at once to routers that are not cut off from it.
struct Fleet {
    routers: Vec<FleetRouter>,
    cut_from_platform: BTreeSet<HostName>,
    /// Whether pushed catalogue updates are lost.
    loses_updates: bool,
    newest: u64,
    sent: Vec<(RouterIncarnation, String, PeerMessage)>,
}

impl Fleet {
    fn new() -> Self {
        let hosts = DOMAINS.iter().flat_map(|domain| {
            (0..ROUTERS).map(move |number| (format!("{domain}-{number}"), *domain))
        });
        let routers = hosts.map(|(host, domain)| {
            let me = router(&host, 1);
            let domain = DomainName::new(domain);
            let options = MemberOptions::default();
            FleetRouter {
                members: MemberManager::new(options, me.clone(), domain, address(&host)),
                catalogue: CatalogueManager::new(CatalogueOptions::default(), me),
                watches: Vec::new(),
                in_force_at: None,
            }
        });
        Fleet {
            routers: routers.collect(),
            cut_from_platform: BTreeSet::new(),
            loses_updates: false,
            newest: 1,
            sent: Vec::new(),
        }
    }

    /// Runs until the change is in effect everywhere and returns the time that it took; `prepare`
    /// runs right before the change is applied.
    fn run(&mut self, prepare: impl Fn(&mut Fleet)) -> u64 {
        for index in 0..self.routers.len() {
            let mut outbox = CoreOutbox::new();
            let fleet_router = &mut self.routers[index];
            fleet_router.members.start(at(0), &mut outbox);
            let members = fleet_router.members.table();
            fleet_router.catalogue.start(at(0), members, &mut outbox);
            self.carry_out(index, 0, outbox);
        }
        for now in (0..APPLIED_AT + 60_000).step_by(TICK as usize) {
            if now == APPLIED_AT {
                prepare(self);
                self.newest = 2;
            }
            self.deliver(now);
            self.tick(now);
            let last = self.routers.iter().map(|router| router.in_force_at).max();
            let everywhere = self
                .routers
                .iter()
                .all(|router| router.in_force_at.is_some());
            if let (true, Some(Some(last))) = (everywhere, last) {
                return last - APPLIED_AT;
            }
        }
        u64::MAX
    }

    fn tick(&mut self, now: u64) {
        for index in 0..self.routers.len() {
            self.answer_watches(index, now);
            let mut outbox = CoreOutbox::new();
            let fleet_router = &mut self.routers[index];
            let members = fleet_router.members.table();
            fleet_router.catalogue.tick(at(now), members, &mut outbox);
            if fleet_router.members.is_heartbeat_due(at(now)) {
                let update = HeartbeatUpdate {
                    catalogue_revision: fleet_router.catalogue.view().revision(),
                    ..HeartbeatUpdate::default()
                };
                fleet_router
                    .members
                    .send_heartbeat(at(now), update, &mut outbox);
            }
            fleet_router.members.tick(at(now), &mut outbox);
            self.carry_out(index, now, outbox);
        }
    }

    fn deliver(&mut self, now: u64) {
        for (from, to, message) in std::mem::take(&mut self.sent) {
            let update = matches!(message, PeerMessage::CatalogueUpdate { .. });
            if update && self.loses_updates {
                // Only pushes of the first second are lost.
                self.loses_updates = now < APPLIED_AT + 1_000;
                continue;
            }
            let receiver = self.routers.iter().position(|fleet_router| {
                address(fleet_router.members.table().me().host.as_str()) == to
            });
            let Some(index) = receiver else {
                continue;
            };
            let mut outbox = CoreOutbox::new();
            let fleet_router = &mut self.routers[index];
            match &message {
                PeerMessage::Heartbeat(heartbeat) => {
                    fleet_router
                        .members
                        .on_peer(at(now), &from, heartbeat, &mut outbox);
                    fleet_router.catalogue.on_heartbeat_revision(
                        at(now),
                        &from,
                        heartbeat.catalogue_revision,
                        fleet_router.members.table(),
                        &mut outbox,
                    );
                }
                _ => {
                    let members = fleet_router.members.table();
                    fleet_router
                        .catalogue
                        .on_peer(at(now), &from, message, members, &mut outbox);
                }
            }
            self.carry_out(index, now, outbox);
        }
    }

    /// Carries out a router's actions until it waits.
    fn carry_out(&mut self, index: usize, now: u64, outbox: CoreOutbox) {
        let me = self.routers[index].members.table().me().clone();
        for action in &outbox.actions {
            if let CoreAction::Peer {
                address, message, ..
            } = action
            {
                self.sent
                    .push((me.clone(), address.clone(), message.clone()));
            }
        }
        for (ticket, call) in platform_calls(&outbox) {
            let watch = matches!(call, PlatformCall::Watch { .. });
            match watch && !self.cut_from_platform.contains(&me.host) {
                true => self.routers[index].watches.push((now, ticket, call)),
                false => {
                    let reply = self.answer(&me.host, &call);
                    self.reply(index, now, ticket, reply);
                }
            }
        }
        let fleet_router = &mut self.routers[index];
        let in_force = fleet_router.catalogue.view().revision() >= 2;
        if in_force && fleet_router.in_force_at.is_none() {
            fleet_router.in_force_at = Some(now);
        }
    }

    fn answer_watches(&mut self, index: usize, now: u64) {
        let host = self.routers[index].members.table().me().host.clone();
        for (begun, ticket, call) in std::mem::take(&mut self.routers[index].watches) {
            let reply = match (&call, self.cut_from_platform.contains(&host)) {
                (_, true) => PlatformReply::Unreachable,
                (PlatformCall::Watch { prefix, after }, false) => {
                    match self.changes_after(prefix, *after) {
                        Some(reply) => reply,
                        None if now >= begun + WATCH => PlatformReply::Changed {
                            objects: Vec::new(),
                            revision: *after,
                        },
                        None => {
                            self.routers[index].watches.push((begun, ticket, call));
                            continue;
                        }
                    }
                }
                _ => continue,
            };
            self.reply(index, now, ticket, reply);
        }
    }

    fn changes_after(&self, prefix: &ObjectKey, after: u64) -> Option<PlatformReply> {
        let objects: Vec<_> = match prefix.as_str() {
            "hosts/" => DOMAINS.iter().map(|domain| self.hosts(domain)).collect(),
            _ => (1..=self.newest).map(change_object).collect(),
        };
        let objects: Vec<_> = objects
            .into_iter()
            .filter(|object| object.version > after)
            .collect();
        let revision = objects.iter().map(|object| object.version).max()?;
        Some(PlatformReply::Changed { objects, revision })
    }

    fn hosts(&self, domain: &str) -> beechsaddle_core::platform::StoredObject {
        let hosts =
            (0..ROUTERS).map(|number| router_record(&format!("{domain}-{number}"), domain, 1));
        hosts_object(domain, 5, hosts.collect())
    }

    fn answer(&self, host: &HostName, call: &PlatformCall) -> PlatformReply {
        if self.cut_from_platform.contains(host) {
            return PlatformReply::Unreachable;
        }
        let PlatformCall::Read { key } = call else {
            return PlatformReply::Invalid;
        };
        if let Some(domain) = key.as_str().strip_prefix("hosts/") {
            return found(self.hosts(domain));
        }
        let revision = key
            .as_str()
            .rsplit('/')
            .next()
            .and_then(|text| text.parse().ok());
        match revision {
            Some(revision) if revision <= self.newest => found(change_object(revision)),
            _ => PlatformReply::Absent,
        }
    }

    fn reply(&mut self, index: usize, now: u64, ticket: PlatformTicket, reply: PlatformReply) {
        let mut outbox = CoreOutbox::new();
        let fleet_router = &mut self.routers[index];
        match ticket.duty {
            PlatformDuty::Members => {
                fleet_router
                    .members
                    .on_platform(at(now), ticket, reply, &mut outbox);
            }
            _ => {
                let members = fleet_router.members.table();
                fleet_router
                    .catalogue
                    .on_platform(at(now), ticket, reply, members, &mut outbox);
            }
        }
        self.carry_out(index, now, outbox);
    }

    /// Returns the routers that watch the catalogue.
    fn watchers(&self) -> BTreeSet<HostName> {
        let watching = self.routers.iter().filter(|fleet_router| {
            let mut calls = fleet_router.watches.iter();
            calls.any(|(_, ticket, _)| ticket.duty == PlatformDuty::Catalogue)
        });
        watching
            .map(|router| router.members.table().me().host.clone())
            .collect()
    }
}

impl Fleet {
    /// Returns the number of live links between routers of two domains, counted from both sides.
    fn foreign_links(&self) -> usize {
        let tables = self.routers.iter().map(|router| router.members.table());
        let links = tables.map(|table| {
            let foreign = table.iter().filter(|(_, entry)| {
                entry.domain != *table.domain() && entry.liveness == MemberLiveness::Live
            });
            foreign.count()
        });
        links.sum()
    }
}

fn host_of(table: &MemberTable) -> HostName {
    table.me().host.clone()
}

#[test]
fn change_is_pushed_to_all_within_two_seconds() {
    let mut fleet = Fleet::new();
    let span = fleet.run(|fleet| {
        assert_eq!(fleet.watchers().len(), 2 * DOMAINS.len());
        assert_eq!(fleet.foreign_links(), 2 * 2 * DOMAINS.len());
    });
    println!("pushed: in force everywhere after {span} ms");
    assert!(span <= 2_000, "{span}");
}

// All pushes are lost. The revision in heartbeats must reveal the gap to every router.
#[test]
fn change_with_lost_pushes_takes_effect_by_heartbeats() {
    let mut fleet = Fleet::new();
    let span = fleet.run(|fleet| fleet.loses_updates = true);
    println!("pushes lost: in force everywhere after {span} ms");
    assert!(span <= 3_000, "{span}");
}

// All watchers, but no other routers, are cut off from the platform. The other routers must poll
// the platform and forward the change to the watchers.
#[test]
fn change_with_all_watchers_cut_off_takes_effect_within_twelve_seconds() {
    let mut fleet = Fleet::new();
    let span = fleet.run(|fleet| fleet.cut_from_platform = fleet.watchers());
    println!("watchers cut off: in force everywhere after {span} ms");
    assert!((500..12_000).contains(&span), "{span}");
}

// One domain is cut off from the platform, but not from the other domain. The bridges must forward
// the change at once rather than with their heartbeats, which are sent every 3 s.
#[test]
fn change_reaches_domain_without_platform_through_bridges() {
    let mut fleet = Fleet::new();
    let span = fleet.run(|fleet| {
        let tables = fleet.routers.iter().map(|router| router.members.table());
        let cut = tables.filter(|table| table.domain().as_str() == DOMAINS[1]);
        fleet.cut_from_platform = cut.map(host_of).collect();
    });
    println!("domain without platform: in force everywhere after {span} ms");
    assert!(span <= 1_000, "{span}");
}
