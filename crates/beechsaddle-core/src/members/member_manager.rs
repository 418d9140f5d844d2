//! The `member_manager` module provides the management of the member table.

use std::collections::BTreeMap;

use super::bridge_table::BridgeTable;
use super::heartbeat_plan::HeartbeatPlan;
use super::heartbeat_writer::HeartbeatWriter;
use super::host_view::HostView;
use super::host_watch::HostWatch;
use super::liveness_check::LivenessCheck;
use super::member_status::status_of;
use super::peer_contacts::PeerContacts;
use super::{HeartbeatUpdate, HostList, MemberEntry, MemberLiveness, MemberOptions, MemberTable};
use crate::action::CoreAction;
use crate::clock::ClockTime;
use crate::names::{DomainName, RouterIncarnation};
use crate::outbox::CoreOutbox;
use crate::peer::{PeerHeartbeat, PeerMessage, RouterState, RouterUpdate};
use crate::platform::{PlatformReply, PlatformTicket};
use crate::signal::CoreSignal;
use crate::status::PeerStatus;

/// How long a router counts as new, in milliseconds; other routers are informed of it during this
/// time, since its address may not be in any list yet.
const RECENT_MS: u64 = 10_000;

/// How long a router that is gone stays in the table for operators, in milliseconds.
const GONE_RETENTION_MS: u64 = 600_000;

/// Tracks the routers and hosts of the fleet.
#[derive(Debug)]
pub struct MemberManager {
    pub(super) options: MemberOptions,
    address: String,
    state: RouterState,
    pub(super) table: MemberTable,
    pub(super) hosts: HostView,
    watch: HostWatch,
    pub(super) contacts: PeerContacts,
    bridges: BridgeTable,
    /// When recently added routers were first seen.
    recent: BTreeMap<RouterIncarnation, ClockTime>,
    update: HeartbeatUpdate,
    sequence: u64,
    next_heartbeat: ClockTime,
    started_at: ClockTime,
    last_tick: Option<ClockTime>,
    /// When the host list was last requested from a peer.
    pub(super) hosts_requested_at: ClockTime,
}

impl MemberManager {
    /// Creates the manager of the router `me`, whose peers reach it at `peer_address`.
    pub fn new(
        options: MemberOptions,
        me: RouterIncarnation,
        domain: DomainName,
        peer_address: impl Into<String>,
    ) -> Self {
        MemberManager {
            address: peer_address.into(),
            state: RouterState::Live,
            hosts: HostView::default(),
            watch: HostWatch::new(&me, domain.clone()),
            contacts: PeerContacts::new(&options.seeds),
            table: MemberTable::new(me, domain),
            bridges: BridgeTable::default(),
            recent: BTreeMap::new(),
            update: HeartbeatUpdate::default(),
            sequence: 0,
            next_heartbeat: ClockTime::ZERO,
            started_at: ClockTime::ZERO,
            last_tick: None,
            hosts_requested_at: ClockTime::ZERO,
            options,
        }
    }

    pub fn table(&self) -> &MemberTable {
        &self.table
    }

    /// The hosts of all domains as last listed by the platform.
    pub fn hosts(&self) -> &HostList {
        self.hosts.merged()
    }

    /// Starts reading the host list.
    pub fn start(&mut self, now: ClockTime, outbox: &mut CoreOutbox) {
        self.started_at = now;
        self.watch.start(now, outbox);
    }

    /// Handles the outcome of a platform call.
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
            let hosts = &self.hosts.merged().hosts;
            let names = hosts.iter().map(|record| record.host.clone());
            self.table.set_listed(names);
        }
    }

    /// Handles a heartbeat.
    pub fn on_peer(
        &mut self,
        now: ClockTime,
        from: &RouterIncarnation,
        heartbeat: &PeerHeartbeat,
        outbox: &mut CoreOutbox,
    ) {
        if from.host == self.table.me().host || !self.is_newer(from, heartbeat) {
            return;
        }
        self.replace_older(from, outbox);
        let was_live = self
            .table
            .get(from)
            .is_some_and(|entry| entry.liveness == MemberLiveness::Live);
        if self.table.get(from).is_none() {
            self.recent.insert(from.clone(), now);
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
            self.bridges.record(from, heartbeat);
        }
        self.learn_routers(now, &heartbeat.routers);
        self.request_hosts(now, from, heartbeat, outbox);
    }

    pub fn is_heartbeat_due(&self, now: ClockTime) -> bool {
        now >= self.next_heartbeat
    }

    /// Sends a heartbeat with the given update.
    pub fn send_heartbeat(
        &mut self,
        now: ClockTime,
        update: HeartbeatUpdate,
        outbox: &mut CoreOutbox,
    ) {
        self.update = update;
        self.next_heartbeat = now.plus_ms(self.options.heartbeat_ms);
        let slow = self
            .sequence
            .is_multiple_of(self.options.slow_heartbeat_periods.max(1));
        self.send(now, slow, outbox);
    }

    /// Detects silent routers and advances the host watch.
    pub fn tick(&mut self, now: ClockTime, outbox: &mut CoreOutbox) {
        self.watch.tick(now, outbox);
        self.contacts.expire(now);
        let (domain, me) = (self.table.domain(), self.table.me());
        let expects_others = self.contacts.has_other(domain, &me.host);
        self.table.set_expects_others(expects_others);
        let check = LivenessCheck {
            options: &self.options,
            hosts: &self.hosts,
            now,
        };
        check.discount_own_pause(&mut self.table, self.last_tick);
        check.run(&mut self.table, outbox);
        self.last_tick = Some(now);
        self.table.forget_gone(now, GONE_RETENTION_MS);
        self.recent
            .retain(|_, first_seen_at| now.since(*first_seen_at) < RECENT_MS);
    }

    /// Announces to all receivers that this router accepts nothing new.
    pub fn drain(&mut self, now: ClockTime, outbox: &mut CoreOutbox) {
        self.state = RouterState::Draining;
        self.table.set_draining();
        self.send(now, true, outbox);
    }

    /// Announces to all receivers that this router has handed over its work and exits.
    pub fn leave(&mut self, now: ClockTime, outbox: &mut CoreOutbox) {
        self.state = RouterState::Left;
        self.send(now, true, outbox);
    }

    /// The status of other routers for operators.
    pub fn status(&self, now: ClockTime) -> Vec<PeerStatus> {
        status_of(&self.table, now)
    }

    /// Whether a heartbeat is newer than the known state. A reordered or duplicate one would make a
    /// dead router look live, and one of an earlier incarnation would replace its successor.
    fn is_newer(&self, from: &RouterIncarnation, heartbeat: &PeerHeartbeat) -> bool {
        if self.table.is_outdated(from) {
            return false;
        }
        match self.table.get(from) {
            None => true,
            Some(entry) => entry.state != RouterState::Left && entry.sequence < heartbeat.sequence,
        }
    }

    /// A later incarnation on the same host proves that the earlier ones have ended.
    fn replace_older(&mut self, from: &RouterIncarnation, outbox: &mut CoreOutbox) {
        for (router, entry) in self.table.iter_mut() {
            let older = router.host == from.host && router.epoch < from.epoch;
            if older && entry.liveness != MemberLiveness::Gone {
                entry.liveness = MemberLiveness::Gone;
                outbox.signal(CoreSignal::MemberGone(router.clone()));
            }
        }
    }

    fn learn_routers(&mut self, now: ClockTime, routers: &[RouterUpdate]) {
        for update in routers {
            // Bridges of other domains stay known through indirect reports as long as these
            // continue.
            let is_connected = update.domain == *self.table.domain()
                && self.table.live_on(&update.router.host).is_some();
            let known = is_connected
                || update.router.host == self.table.me().host
                || self.table.is_gone(&update.router);
            if !known {
                self.contacts.record_indirect(now, update);
            }
        }
    }

    fn send(&mut self, now: ClockTime, slow: bool, outbox: &mut CoreOutbox) {
        self.sequence += 1;
        let plan = HeartbeatPlan {
            table: &self.table,
            contacts: &self.contacts,
            bridge_table: &self.bridges,
            bridges: self.options.bridges,
            settled: now.since(self.started_at) >= self.options.down_after_ms,
            slow,
        };
        let writer = HeartbeatWriter {
            table: &self.table,
            recent: &self.recent,
            bridges: plan.own_bridges(),
            address: &self.address,
            state: self.state,
            sequence: self.sequence,
            update: &self.update,
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
        last_seen_at: now,
        sequence: heartbeat.sequence,
    }
}
