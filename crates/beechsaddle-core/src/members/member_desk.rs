//! The `member_desk` module provides the duty that keeps the member table true.

use std::collections::BTreeMap;

use super::bridge_book::BridgeBook;
use super::heartbeat_plan::HeartbeatPlan;
use super::heartbeat_writer::HeartbeatWriter;
use super::host_view::HostView;
use super::host_watch::HostWatch;
use super::liveness_check::LivenessCheck;
use super::member_status::status_of;
use super::peer_contacts::PeerContacts;
use super::{HeartbeatNews, HostList, MemberEntry, MemberLiveness, MemberOptions, MemberTable};
use crate::action::CoreAction;
use crate::clock::ClockTime;
use crate::names::{DomainName, RouterIncarnation};
use crate::outbox::CoreOutbox;
use crate::peer::{PeerHeartbeat, PeerMessage, RouterNews, RouterState};
use crate::platform::{PlatformReply, PlatformTicket};
use crate::signal::CoreSignal;
use crate::status::PeerStatus;

/// How long a router counts as new, in milliseconds: the others are told of it meanwhile, in case
/// its address is in nobody's list yet.
const FRESH_MS: u64 = 10_000;

/// How long a router that is gone stays in the table, in milliseconds, for operators to see.
const GONE_KEPT_MS: u64 = 600_000;

/// Keeps track of the routers and hosts that there are.
#[derive(Debug)]
pub struct MemberDesk {
    pub(super) options: MemberOptions,
    address: String,
    state: RouterState,
    pub(super) table: MemberTable,
    pub(super) hosts: HostView,
    watch: HostWatch,
    pub(super) contacts: PeerContacts,
    bridges: BridgeBook,
    /// When routers were first heard, for those that are new.
    fresh: BTreeMap<RouterIncarnation, ClockTime>,
    news: HeartbeatNews,
    sequence: u64,
    next_beat: ClockTime,
    started: ClockTime,
    last_tick: Option<ClockTime>,
    /// When a peer was last asked for the list of hosts.
    pub(super) hosts_asked: ClockTime,
}

impl MemberDesk {
    /// The desk of the router `me`, whose peers reach it at `peer_address`.
    pub fn new(
        options: MemberOptions,
        me: RouterIncarnation,
        domain: DomainName,
        peer_address: impl Into<String>,
    ) -> Self {
        MemberDesk {
            address: peer_address.into(),
            state: RouterState::Live,
            hosts: HostView::default(),
            watch: HostWatch::new(&me, domain.clone()),
            contacts: PeerContacts::new(&options.seeds),
            table: MemberTable::new(me, domain),
            bridges: BridgeBook::default(),
            fresh: BTreeMap::new(),
            news: HeartbeatNews::default(),
            sequence: 0,
            next_beat: ClockTime::ZERO,
            started: ClockTime::ZERO,
            last_tick: None,
            hosts_asked: ClockTime::ZERO,
            options,
        }
    }

    /// The routers that this one knows.
    pub fn table(&self) -> &MemberTable {
        &self.table
    }

    /// The hosts of all domains, as the platform last listed them.
    pub fn hosts(&self) -> &HostList {
        self.hosts.joined()
    }

    /// Begins to read the list of hosts.
    pub fn start(&mut self, now: ClockTime, outbox: &mut CoreOutbox) {
        self.started = now;
        self.watch.start(now, outbox);
    }

    /// Takes the outcome of a platform call.
    pub fn on_platform(
        &mut self,
        now: ClockTime,
        ticket: PlatformTicket,
        reply: PlatformReply,
        outbox: &mut CoreOutbox,
    ) {
        for update in self.watch.on_platform(now, ticket, reply, outbox) {
            self.on_hosts(now, update, outbox);
        }
        if self.watch.has_all() {
            let hosts = &self.hosts.joined().hosts;
            let names = hosts.iter().map(|record| record.host.clone());
            self.table.set_listed(names);
        }
    }

    /// Takes a heartbeat.
    pub fn on_peer(
        &mut self,
        now: ClockTime,
        from: &RouterIncarnation,
        heartbeat: &PeerHeartbeat,
        outbox: &mut CoreOutbox,
    ) {
        if from.host == self.table.me().host || !self.is_news(from, heartbeat) {
            return;
        }
        self.replace_older(from, outbox);
        let was_live = self
            .table
            .get(from)
            .is_some_and(|entry| entry.liveness == MemberLiveness::Live);
        if self.table.get(from).is_none() {
            self.fresh.insert(from.clone(), now);
        }
        let entry = entry_of(now, heartbeat);
        let liveness = entry.liveness;
        self.table.insert(from.clone(), entry);
        match liveness {
            MemberLiveness::Gone => outbox.signal(CoreSignal::MemberGone(from.clone())),
            MemberLiveness::Live if !was_live && heartbeat.domain == *self.table.domain() => {
                outbox.signal(CoreSignal::MemberUp(from.clone()));
            }
            MemberLiveness::Live | MemberLiveness::Down => {}
        }
        if heartbeat.domain != *self.table.domain() {
            self.bridges.note(from, heartbeat);
        }
        self.learn_routers(now, &heartbeat.routers);
        self.ask_for_hosts(now, from, heartbeat, outbox);
    }

    /// Whether it is time for a heartbeat.
    pub fn is_heartbeat_due(&self, now: ClockTime) -> bool {
        now >= self.next_beat
    }

    /// Sends a heartbeat.
    pub fn beat(&mut self, now: ClockTime, news: HeartbeatNews, outbox: &mut CoreOutbox) {
        self.news = news;
        self.next_beat = now.plus_ms(self.options.heartbeat_ms);
        let slow = self.sequence.is_multiple_of(self.options.slow_beats.max(1));
        self.send(now, slow, outbox);
    }

    /// Notices routers that fell silent.
    pub fn tick(&mut self, now: ClockTime, outbox: &mut CoreOutbox) {
        self.watch.tick(now, outbox);
        self.contacts.expire(now);
        let check = LivenessCheck {
            options: &self.options,
            hosts: &self.hosts,
            now,
        };
        check.excuse_own_pause(&mut self.table, self.last_tick);
        check.run(&mut self.table, outbox);
        self.last_tick = Some(now);
        self.table.forget_gone(now, GONE_KEPT_MS);
        self.fresh.retain(|_, heard| now.since(*heard) < FRESH_MS);
    }

    /// Tells everybody that this router takes nothing new.
    pub fn drain(&mut self, now: ClockTime, outbox: &mut CoreOutbox) {
        self.state = RouterState::Draining;
        self.table.set_draining();
        self.send(now, true, outbox);
    }

    /// Tells everybody that this router has handed over everything and exits.
    pub fn leave(&mut self, now: ClockTime, outbox: &mut CoreOutbox) {
        self.state = RouterState::Left;
        self.send(now, true, outbox);
    }

    /// What operators are told of other routers.
    pub fn status(&self, now: ClockTime) -> Vec<PeerStatus> {
        status_of(&self.table, now)
    }

    /// A heartbeat that was overtaken or doubled would make a router look alive that is not, and
    /// one of an earlier life would replace its successor.
    fn is_news(&self, from: &RouterIncarnation, heartbeat: &PeerHeartbeat) -> bool {
        if self.table.is_outdated(from) {
            return false;
        }
        match self.table.get(from) {
            None => true,
            Some(entry) => entry.state != RouterState::Left && entry.sequence < heartbeat.sequence,
        }
    }

    /// A later life on the same host is proof that the earlier ones have ended.
    fn replace_older(&mut self, from: &RouterIncarnation, outbox: &mut CoreOutbox) {
        for (router, entry) in self.table.iter_mut() {
            let older = router.host == from.host && router.epoch < from.epoch;
            if older && entry.liveness != MemberLiveness::Gone {
                entry.liveness = MemberLiveness::Gone;
                outbox.signal(CoreSignal::MemberGone(router.clone()));
            }
        }
    }

    fn learn_routers(&mut self, now: ClockTime, routers: &[RouterNews]) {
        for news in routers {
            // Bridges of other domains stay known by what is said of them for as long as it is.
            let heard = news.domain == *self.table.domain()
                && self.table.live_on(&news.router.host).is_some();
            let known = heard
                || news.router.host == self.table.me().host
                || self.table.is_gone(&news.router);
            if !known {
                self.contacts.note_hearsay(now, news);
            }
        }
    }

    fn send(&mut self, now: ClockTime, slow: bool, outbox: &mut CoreOutbox) {
        self.sequence += 1;
        let plan = HeartbeatPlan {
            table: &self.table,
            contacts: &self.contacts,
            book: &self.bridges,
            bridges: self.options.bridges,
            settled: now.since(self.started) >= self.options.down_after_ms,
            slow,
        };
        let writer = HeartbeatWriter {
            table: &self.table,
            fresh: &self.fresh,
            bridges: plan.own_bridges(),
            address: &self.address,
            state: self.state,
            sequence: self.sequence,
            news: &self.news,
        };
        for receiver in plan.receivers() {
            let heartbeat = writer.write(now, &receiver);
            outbox.act(CoreAction::Peer {
                to: receiver.router,
                address: receiver.address,
                message: PeerMessage::Heartbeat(heartbeat),
            });
        }
        if slow {
            self.bridges.clear_callers();
        }
    }
}

fn entry_of(now: ClockTime, heartbeat: &PeerHeartbeat) -> MemberEntry {
    let liveness = match heartbeat.state {
        RouterState::Live | RouterState::Draining => MemberLiveness::Live,
        RouterState::Left => MemberLiveness::Gone,
    };
    MemberEntry {
        domain: heartbeat.domain.clone(),
        address: heartbeat.address.clone(),
        state: heartbeat.state,
        liveness,
        catalogue_revision: heartbeat.catalogue_revision,
        heard: now,
        sequence: heartbeat.sequence,
    }
}
