//! The `core_inputs` module provides the routing of events and signals to the managers.

use super::RouterCore;
use crate::peer::{PeerHeartbeat, PeerMessage};
use crate::platform::{PlatformDuty, PlatformReply, PlatformTicket};
use crate::prelude::*;
use crate::target::TargetEvent;

/// How often engine states are passed to the order manager, in milliseconds; a load takes far
/// longer.
const ORDERS_UPDATE_MS: u64 = 500;

impl RouterCore {
    pub(super) fn on_platform(
        &mut self,
        now: ClockTime,
        ticket: PlatformTicket,
        reply: PlatformReply,
        outbox: &mut CoreOutbox,
    ) {
        let members = self.members.table();
        match ticket.duty {
            PlatformDuty::Money => self
                .accounting
                .on_platform(now, ticket, reply, members, outbox),
            PlatformDuty::Once => self.dedup.on_platform(now, ticket, reply, outbox),
            PlatformDuty::Catalogue => {
                self.catalogue
                    .on_platform(now, ticket, reply, members, outbox);
            }
            PlatformDuty::Members => self.members.on_platform(now, ticket, reply, outbox),
            PlatformDuty::Orders => self.orders.on_platform(now, ticket, reply, outbox),
            PlatformDuty::Layout => self.on_layout(now, &reply),
        }
    }

    pub(super) fn on_layout(&mut self, now: ClockTime, reply: &PlatformReply) {
        self.layout.on_platform(now, reply);
        self.apply_layout();
    }

    pub(super) fn apply_layout(&mut self) {
        if let Some(layout) = self.layout.known() {
            self.accounting.set_layout(layout);
            self.dedup.set_layout(layout);
        }
    }

    pub(super) fn on_peer(
        &mut self,
        now: ClockTime,
        from: RouterIncarnation,
        message: PeerMessage,
        outbox: &mut CoreOutbox,
    ) {
        let is_ready = self.layout.known().is_some();
        match message {
            PeerMessage::Heartbeat(heartbeat) => self.on_heartbeat(now, &from, heartbeat, outbox),
            PeerMessage::HostsRequest => self.members.answer_hosts(&from, outbox),
            PeerMessage::HostsUpdate { version, hosts } => {
                self.members.on_peer_hosts(now, version, hosts, outbox);
            }
            PeerMessage::CatalogueRequest { .. } | PeerMessage::CatalogueUpdate { .. } => {
                self.catalogue
                    .on_peer(now, &from, message, self.members.table(), outbox);
            }
            // A request that cannot be assigned to a shard yet is not answered: its sender tries
            // another router.
            PeerMessage::AdmitRequest(_) | PeerMessage::RecordRequest(_) if !is_ready => {}
            PeerMessage::AdmitRequest(_)
            | PeerMessage::AdmitReply { .. }
            | PeerMessage::ProgressReport { .. }
            | PeerMessage::SettleRequest(_)
            | PeerMessage::SettleReply { .. }
            | PeerMessage::BillsDurable { .. }
            | PeerMessage::CallUnknown { .. }
            | PeerMessage::WitnessNote(_)
            | PeerMessage::WitnessReply { .. } => {
                self.accounting
                    .on_peer(now, &from, message, self.members.table(), outbox);
            }
            PeerMessage::RecordRequest(_) | PeerMessage::RecordReply { .. } => {
                self.dedup
                    .on_peer(now, from, message, self.members.table(), outbox);
            }
        }
    }

    pub(super) fn on_heartbeat(
        &mut self,
        now: ClockTime,
        from: &RouterIncarnation,
        heartbeat: PeerHeartbeat,
        outbox: &mut CoreOutbox,
    ) {
        if heartbeat.domain == *self.members.table().domain() {
            self.targets.on_updates(now, from, &heartbeat.targets);
            self.gate.on_limits(now, from, &heartbeat.limits);
        }
        self.members.on_peer(now, from, &heartbeat, outbox);
        if let Some(layout) = heartbeat.layout.filter(|_| self.layout.known().is_none()) {
            self.layout.set_known(layout);
            self.apply_layout();
        }
        let revision = heartbeat.catalogue_revision;
        self.catalogue
            .on_heartbeat_revision(now, from, revision, self.members.table(), outbox);
    }

    pub(super) fn on_target(
        &mut self,
        now: ClockTime,
        event: TargetEvent,
        outbox: &mut CoreOutbox,
    ) {
        self.targets.on_target(now, &event, outbox);
        if let TargetEvent::Ordered {
            target,
            fence,
            outcome,
        } = &event
        {
            self.orders.on_ordered(now, target, *fence, *outcome);
        }
    }

    pub(super) fn on_signal(
        &mut self,
        now: ClockTime,
        signal: &CoreSignal,
        outbox: &mut CoreOutbox,
    ) {
        match signal {
            CoreSignal::AdmitDone { .. }
            | CoreSignal::RecordDone { .. }
            | CoreSignal::SettleDone { .. } => {
                let (calls, mut context) = self.split(outbox);
                calls.on_signal(now, signal, &mut context);
            }
            CoreSignal::MemberUp(_) | CoreSignal::MemberDown(_) | CoreSignal::MemberGone(_) => {
                self.accounting
                    .on_signal(now, signal, self.members.table(), outbox);
            }
            CoreSignal::HostsChanged => {
                self.targets
                    .on_hosts(now, &self.members.hosts().hosts, outbox);
            }
            CoreSignal::CatalogueChanged { .. } | CoreSignal::HostLeaving(_) => {}
        }
    }

    /// Passes engine states from own and peers' probes to the order manager.
    pub(super) fn update_orders(&mut self, now: ClockTime) {
        if now.since(self.orders_updated_at) < ORDERS_UPDATE_MS {
            return;
        }
        self.orders_updated_at = now;
        let engines: Vec<_> = self.targets.engines().collect();
        let listed = engines.iter().map(|engine| engine.target.clone()).collect();
        self.orders.retain_targets(&listed);
        for engine in engines {
            let checks_fence = self.members.hosts().checks_fence(&engine.target);
            self.orders.on_target_state(
                now,
                engine.target,
                engine.address,
                engine.service,
                checks_fence,
                Some(engine.state),
            );
        }
    }
}
