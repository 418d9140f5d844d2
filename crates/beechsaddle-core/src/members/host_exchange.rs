//! The `host_exchange` module provides the lists of hosts that a router gets from the platform or from peers, and
//! passes on to peers that have none.

use super::host_watch::HostUpdate;
use super::{HostList, MemberDesk};
use crate::action::CoreAction;
use crate::clock::ClockTime;
use crate::names::RouterIncarnation;
use crate::outbox::CoreOutbox;
use crate::peer::{PeerHeartbeat, PeerMessage};
use crate::signal::CoreSignal;

impl MemberDesk {
    /// Answers a router of the own domain that has no list of hosts.
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

    /// Takes a peer's list of the own domain's hosts, unless a newer one is known.
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

    /// A router that started while the platform is away has no list of hosts, and would refuse
    /// every call for want of a target. A peer's list lags no more than it did for the peer.
    pub(super) fn ask_for_hosts(
        &mut self,
        now: ClockTime,
        from: &RouterIncarnation,
        heartbeat: &PeerHeartbeat,
        outbox: &mut CoreOutbox,
    ) {
        let domain = self.table.domain();
        let is_able = heartbeat.domain == *domain && !self.hosts.knows(domain);
        if !is_able || now < self.hosts_asked.plus_ms(self.options.heartbeat_ms) {
            return;
        }
        self.hosts_asked = now;
        outbox.act(CoreAction::Peer {
            to: from.clone(),
            address: heartbeat.address.clone(),
            message: PeerMessage::HostsRequest,
        });
    }

    /// Takes a list of a domain's hosts over, unless a newer one is known.
    pub(super) fn on_hosts(&mut self, now: ClockTime, update: HostUpdate, outbox: &mut CoreOutbox) {
        let domain = update.domain;
        let changes = self.hosts.update(now, &domain, update.version, update.list);
        let Some(changes) = changes else {
            return;
        };
        self.contacts.set_listed(self.hosts.joined());
        outbox.signal(CoreSignal::HostsChanged);
        if domain != *self.table.domain() {
            return;
        }
        for host in changes.leaving {
            outbox.signal(CoreSignal::HostLeaving(host));
        }
    }
}
