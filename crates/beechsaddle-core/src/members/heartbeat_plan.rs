//! The `heartbeat_plan` module provides the selection of heartbeat receivers.

use std::collections::BTreeMap;

use super::bridge_table::BridgeTable;
use super::peer_contacts::{PeerContact, PeerContacts};
use super::{MemberLiveness, MemberTable};
use crate::hash::rendezvous_weight;
use crate::names::{DomainName, HostName, RouterIncarnation};

/// The name under which bridges are ranked by rendezvous hashing.
const BRIDGE_NAME: &str = "bridge";

/// The epoch of a receiver known only by its address: any process at that address is meant.
pub(super) const ANY_EPOCH: u64 = 0;

#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct HeartbeatReceiver {
    pub router: RouterIncarnation,
    pub address: String,
    /// Whether the receiver is in another domain.
    pub cross_domain: bool,
}

/// Selects the receivers of heartbeats.
///
/// Within a domain all routers exchange heartbeats. Between domains only a few bridges do, since
/// with hundreds of routers heartbeats alone would use up a router's share of the network.
#[derive(Debug)]
pub(super) struct HeartbeatPlan<'a> {
    pub table: &'a MemberTable,
    pub contacts: &'a PeerContacts,
    pub bridge_table: &'a BridgeTable,
    pub bridges: usize,
    /// Whether this router has been up long enough to receive heartbeats from its domain. Before
    /// that it would find no other router and take itself for a bridge.
    pub settled: bool,
    /// Whether to include other domains and all routers that do not answer.
    pub slow: bool,
}

impl HeartbeatPlan<'_> {
    /// All receivers of this heartbeat.
    pub fn receivers(&self) -> Vec<HeartbeatReceiver> {
        let mut receivers = self.live_receivers();
        receivers.extend(self.unconnected_receivers());
        if self.slow {
            receivers.extend(self.cross_domain_receivers());
        }
        receivers
    }

    /// The bridges of the own domain.
    pub fn own_bridges(&self) -> Vec<RouterIncarnation> {
        let mut ranked = self.table.ranked(BRIDGE_NAME);
        ranked.retain(|router| self.settled || router != self.table.me());
        ranked.truncate(self.bridges);
        ranked
    }

    fn live_receivers(&self) -> Vec<HeartbeatReceiver> {
        self.table
            .iter()
            .filter(|(_, entry)| {
                entry.liveness == MemberLiveness::Live && entry.domain == *self.table.domain()
            })
            .map(|(router, entry)| HeartbeatReceiver {
                router: router.clone(),
                address: entry.address.clone(),
                cross_domain: false,
            })
            .collect()
    }

    /// Addresses of the own domain without a known live router. Routers that were seen before and
    /// are down get fewer heartbeats, since each costs a connection attempt.
    fn unconnected_receivers(&self) -> Vec<HeartbeatReceiver> {
        let mut receivers = Vec::new();
        for (host, contact) in self.contacts.merged() {
            let own = contact.domain == *self.table.domain() && *host != self.table.me().host;
            if !own || self.table.live_on(host).is_some() {
                continue;
            }
            if self.slow || !self.was_seen(host) {
                receivers.push(receiver_at(host, &contact.address, false));
            }
        }
        if self.slow {
            receivers.extend(self.unlisted_receivers());
        }
        receivers
    }

    /// Routers that are down and in no list, as after a long partition during a platform outage:
    /// without occasional heartbeats both sides would wait for each other forever.
    fn unlisted_receivers(&self) -> Vec<HeartbeatReceiver> {
        let contacts = self.contacts.merged();
        self.table
            .iter()
            .filter(|(router, entry)| {
                entry.liveness == MemberLiveness::Down
                    && entry.domain == *self.table.domain()
                    && !contacts.contains_key(&router.host)
            })
            .map(|(router, entry)| receiver_at(&router.host, &entry.address, false))
            .collect()
    }

    /// Receivers in other domains. A bridge sends to the bridges of each other domain; any other
    /// router only replies to those that took it for a bridge, so that they learn the actual
    /// bridges.
    fn cross_domain_receivers(&self) -> Vec<HeartbeatReceiver> {
        let is_bridge = self.own_bridges().contains(self.table.me());
        if !is_bridge {
            let callers = self.bridge_table.callers().iter();
            return callers
                .filter_map(|router| self.reply_receiver(router))
                .collect();
        }
        let mut receivers = Vec::new();
        for (domain, hosts) in self.remote_hosts() {
            for (host, contact) in self.bridge_hosts(domain, hosts) {
                receivers.push(self.cross_domain_receiver(host, contact));
            }
        }
        receivers
    }

    fn reply_receiver(&self, router: &RouterIncarnation) -> Option<HeartbeatReceiver> {
        let address = self.table.address_of(router)?;
        Some(HeartbeatReceiver {
            router: router.clone(),
            address: address.to_string(),
            cross_domain: true,
        })
    }

    /// The bridges that a domain announced while at least one of them is live; otherwise the likely
    /// ones.
    fn bridge_hosts<'h>(
        &self,
        domain: &DomainName,
        mut hosts: Vec<(&'h HostName, &'h PeerContact)>,
    ) -> Vec<(&'h HostName, &'h PeerContact)> {
        if let Some(announced) = self.bridge_table.announced(domain) {
            let any_live = announced
                .iter()
                .any(|host| self.table.live_on(host).is_some());
            if any_live {
                hosts.retain(|(host, _)| announced.contains(*host));
                return hosts;
            }
        }
        self.likely_bridges(hosts)
    }

    fn cross_domain_receiver(&self, host: &HostName, contact: &PeerContact) -> HeartbeatReceiver {
        match self.table.live_on(host) {
            Some(router) => HeartbeatReceiver {
                router: router.clone(),
                address: self
                    .table
                    .address_of(router)
                    .unwrap_or(&contact.address)
                    .to_string(),
                cross_domain: true,
            },
            None => receiver_at(host, &contact.address, true),
        }
    }

    fn remote_hosts(&self) -> BTreeMap<&DomainName, Vec<(&HostName, &PeerContact)>> {
        let mut hosts: BTreeMap<&DomainName, Vec<(&HostName, &PeerContact)>> = BTreeMap::new();
        for (host, contact) in self.contacts.merged() {
            if contact.domain != *self.table.domain() {
                hosts
                    .entry(&contact.domain)
                    .or_default()
                    .push((host, contact));
            }
        }
        hosts
    }

    /// The hosts of another domain that are likely its bridges. A host that was seen and is down is
    /// replaced by the next, unless all are down: then the domain is partitioned, and the first
    /// hosts are tried until it returns.
    fn likely_bridges<'h>(
        &self,
        mut hosts: Vec<(&'h HostName, &'h PeerContact)>,
    ) -> Vec<(&'h HostName, &'h PeerContact)> {
        let silent = |host: &HostName| self.was_seen(host) && self.table.live_on(host).is_none();
        hosts.sort_by_key(|(host, _)| {
            let weight = rendezvous_weight(BRIDGE_NAME, host.as_str());
            (silent(host), std::cmp::Reverse(weight))
        });
        hosts.truncate(self.bridges);
        hosts
    }

    fn was_seen(&self, host: &HostName) -> bool {
        self.table.iter().any(|(router, _)| router.host == *host)
    }
}

fn receiver_at(host: &HostName, address: &str, cross_domain: bool) -> HeartbeatReceiver {
    HeartbeatReceiver {
        router: RouterIncarnation::new(host.clone(), ANY_EPOCH),
        address: address.to_string(),
        cross_domain,
    }
}
