//! Notes, and a fleet of routers that exchange them over a network with lag and loss.

#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};

use beechsaddle_core::gateway::{
    BoardSource, BoardView, ExchangePlan, NoteOutbox, NoteScope, PeerRecord, PeerRing, TargetBoard,
    TargetIncarnation, TargetNote, TargetReport,
};
use beechsaddle_core::prelude::*;

pub const START: ClockTime = ClockTime::from_millis(1_000_000);

/// Most notes of a message.
pub const NOTES_MAX: usize = 64;

pub fn incarnation(name: &str, started: u64) -> TargetIncarnation {
    TargetIncarnation {
        name: TargetName::new(name),
        started: Some(started),
    }
}

pub fn router(name: &str) -> BoardSource {
    BoardSource::Router(HostName::new(name))
}

pub fn note(now: ClockTime, target: &str, event_ms: f64, active: u64) -> TargetNote {
    TargetNote {
        target: incarnation(target, 1),
        report: TargetReport {
            event_ms: Some(event_ms),
            read_per_ms: Some(30.0),
            failure_share: 0.0,
            samples: 2.0,
            active,
            pending_tokens: active.saturating_mul(1_000),
            measured_at: now,
        },
    }
}

pub fn peer(host: &str, domain: &str) -> PeerRecord {
    PeerRecord {
        host: HostName::new(host),
        domain: DomainName::new(domain),
        address: Some(SocketAddr::from((Ipv4Addr::LOCALHOST, 1))),
        link_mbps: 0,
    }
}

struct FleetRouter {
    ring: PeerRing,
    board: TargetBoard,
    outboxes: BTreeMap<HostName, NoteOutbox>,
    relay: Option<HostName>,
    /// Routers whose last answer did not arrive.
    lapsed: BTreeSet<HostName>,
    own: Vec<TargetNote>,
    is_up: bool,
}

struct Request {
    from: HostName,
    to: HostName,
    is_domain: bool,
    notes: Vec<TargetNote>,
}

/// Routers that exchange notes once a second. Requests arrive a second late.
pub struct BoardFleet {
    pub now: ClockTime,
    routers: BTreeMap<HostName, FleetRouter>,
    under_way: Vec<Request>,
    /// Part of the requests and of the answers that are lost.
    loss: f64,
    random: u64,
}

impl BoardFleet {
    pub fn new(hosts: usize, domains: usize, loss: f64) -> Self {
        let domain = |index: usize| format!("domain-{}", index % domains);
        let records: Vec<_> = (0..hosts)
            .map(|index| peer(&format!("router-{index}"), &domain(index)))
            .collect();
        let routers = records.iter().map(|record| {
            let mut ring = PeerRing::new(record.host.clone(), record.domain.clone());
            ring.take_listing(records.clone());
            let router = FleetRouter {
                ring,
                board: TargetBoard::default(),
                outboxes: BTreeMap::new(),
                relay: None,
                lapsed: BTreeSet::new(),
                own: Vec::new(),
                is_up: true,
            };
            (record.host.clone(), router)
        });
        BoardFleet {
            now: START,
            routers: routers.collect(),
            under_way: Vec::new(),
            loss,
            random: 7,
        }
    }

    pub fn hosts(&self) -> Vec<HostName> {
        self.routers.keys().cloned().collect()
    }

    /// Sets what a router measures of a target from now on.
    pub fn measure(&mut self, host: &HostName, notes: Vec<TargetNote>) {
        self.routers.get_mut(host).expect("a router").own = notes;
    }

    /// Ends a router; the others notice and mark it as down.
    pub fn kill(&mut self, host: &HostName) {
        for router in self.routers.values_mut() {
            for _ in 0..4 {
                router.ring.mark_down(self.now, host);
            }
        }
        self.routers.get_mut(host).expect("a router").is_up = false;
    }

    /// Returns the relay that a router asks.
    pub fn relay_of(&self, host: &HostName) -> Option<HostName> {
        let plan = ExchangePlan::new(&self.routers[host].ring, self.now, |_| true);
        plan.relay.map(|relay| relay.host)
    }

    /// Returns what a router knows of a target from the others.
    pub fn report(&self, host: &HostName, target: &str) -> Option<TargetReport> {
        let board = &self.routers[host].board;
        board.sum(self.now, &incarnation(target, 1), BoardView::AllBut(host))
    }

    /// Lets the routers exchange notes for some seconds.
    pub fn run(&mut self, seconds: usize) {
        for _ in 0..seconds {
            self.now = self.now.plus_ms(1_000);
            for request in std::mem::take(&mut self.under_way) {
                self.deliver(request);
            }
            for host in self.hosts() {
                self.ask(&host);
            }
        }
    }

    fn ask(&mut self, host: &HostName) {
        let now = self.now;
        let router = self.routers.get_mut(host).expect("a router");
        if !router.is_up {
            return;
        }
        let own = BoardSource::Router(host.clone());
        router.board.forget_source(&own);
        router
            .board
            .record(now, &own, NoteScope::Router, router.own.clone());
        router.board.expire(now);
        let plan = ExchangePlan::new(&router.ring, now, |_| true);
        let relay = plan.relay.as_ref().map(|relay| relay.host.clone());
        if router.relay != relay {
            router.board.forget_source(&BoardSource::Relay);
            router.relay = relay;
        }
        for peer in plan.relay.iter().chain(&plan.foreign) {
            let view = BoardView::Routers {
                except: Some(&peer.host),
            };
            let outbox = router.outboxes.entry(peer.host.clone()).or_default();
            let mut notes = outbox.take(now, router.board.notes(now, view), NOTES_MAX);
            if router.lapsed.remove(&peer.host) {
                notes.push(TargetNote::request_all(now));
            }
            self.under_way.push(Request {
                from: host.clone(),
                to: peer.host.clone(),
                is_domain: plan.is_relay,
                notes,
            });
        }
    }

    fn deliver(&mut self, request: Request) {
        let now = self.now;
        let is_lost = self.is_lost() || !self.routers[&request.to].is_up;
        let is_answer_lost = self.is_lost();
        let asker_domain = self.routers[&request.from].ring.domain().clone();
        let answerer = self.routers.get_mut(&request.to).expect("a router");
        let is_foreign = asker_domain != *answerer.ring.domain();
        let mut notes = Vec::new();
        let requests_all = request.notes.iter().any(TargetNote::requests_all);
        if !is_lost {
            let source = match is_foreign {
                true => BoardSource::Domain(asker_domain),
                false => BoardSource::Router(request.from.clone()),
            };
            let scope = match request.is_domain {
                true => NoteScope::Domain,
                false => NoteScope::Router,
            };
            answerer.board.record(now, &source, scope, request.notes);
            let view = match is_foreign {
                true => BoardView::Routers { except: None },
                false => BoardView::AllBut(&request.from),
            };
            let outbox = answerer.outboxes.entry(request.from.clone()).or_default();
            if requests_all {
                outbox.reset();
            }
            notes = outbox.take(now, answerer.board.notes(now, view), NOTES_MAX);
        }
        let answerer_domain = answerer.ring.domain().clone();
        let asker = self.routers.get_mut(&request.from).expect("a router");
        if is_lost || is_answer_lost {
            asker.lapsed.insert(request.to.clone());
            let outbox = asker.outboxes.entry(request.to).or_default();
            return outbox.reset();
        }
        let source = match is_foreign {
            true => BoardSource::Domain(answerer_domain),
            false => BoardSource::Relay,
        };
        asker.board.record(now, &source, NoteScope::Domain, notes);
    }

    fn is_lost(&mut self) -> bool {
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let unit = (self.random >> 33) as f64 / (1_u64 << 31) as f64;
        unit < self.loss
    }
}
