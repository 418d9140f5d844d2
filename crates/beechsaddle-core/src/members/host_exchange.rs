//! The `host_exchange` module provides the host lists that a router receives from the platform or
//! from peers and sends to peers that have none.

use super::host_watch::HostUpdate;
use super::{HostList, MemberManager};
use crate::action::CoreAction;
use crate::clock::ClockTime;
use crate::names::RouterIncarnation;
use crate::outbox::CoreOutbox;
use crate::peer::{PeerHeartbeat, PeerMessage};
use crate::signal::CoreSignal;

impl MemberManager {
    /// Sends the host list to a router of the own domain that requested it.
    pub fn answer_hosts(&self, from: &RouterIncarnation, outbox: &mut CoreOutbox) {
        let Some((version, hosts)) = self.hosts.list(self.table.domain()) else {
            return;
        };
        let Some(entry) = self
            .table
            .get(from)
            .filter(|entry| entry.domain == *self.table.domain())
        else {
            return;
        };
        let message = PeerMessage::HostsUpdate {
            version,
            hosts: hosts.clone(),
        };
        let address = entry.address.clone();
        outbox.act(CoreAction::Peer {
            to: from.clone(),
            address,
            message,
        });
    }

    /// Applies a peer's host list of the own domain unless a newer one is known.
    pub fn on_peer_hosts(
        &mut self,
        now: ClockTime,
        version: u64,
        list: HostList,
        outbox: &mut CoreOutbox,
    ) {
        let domain = self.table.domain().clone();
        self.on_hosts(
            now,
            HostUpdate {
                domain,
                version,
                list,
            },
            outbox,
        );
    }

    /// Requests the host list from a peer. A router that started during a platform outage has no
    /// list and would refuse every call for lack of targets; a peer's list is no older here than at
    /// the peer.
    pub(super) fn request_hosts(
        &mut self,
        now: ClockTime,
        from: &RouterIncarnation,
        heartbeat: &PeerHeartbeat,
        outbox: &mut CoreOutbox,
    ) {
        let domain = self.table.domain();
        let needs_hosts = heartbeat.domain == *domain && !self.hosts.knows(domain);
        if !needs_hosts || now < self.hosts_requested_at.plus_ms(self.options.heartbeat_ms) {
            return;
        }
        self.hosts_requested_at = now;
        outbox.act(CoreAction::Peer {
            to: from.clone(),
            address: heartbeat.address.clone(),
            message: PeerMessage::HostsRequest,
        });
    }

    /// Applies the host list of a domain unless a newer one is known.
    pub(super) fn on_hosts(&mut self, now: ClockTime, update: HostUpdate, outbox: &mut CoreOutbox) {
        let domain = update.domain;
        let changes = self.hosts.update(now, &domain, update.version, update.list);
        let Some(changes) = changes else {
            return;
        };
        self.contacts.set_listed(self.hosts.merged());
        outbox.signal(CoreSignal::HostsChanged);
        if domain != *self.table.domain() {
            return;
        }
        for host in changes.leaving {
            outbox.signal(CoreSignal::HostLeaving(host));
        }
    }
}
