//! The `heartbeat_plan` module provides who gets a heartbeat.

use std::collections::BTreeMap;

use super::bridge_book::BridgeBook;
use super::peer_contacts::{PeerContact, PeerContacts};
use super::{MemberLiveness, MemberTable};
use crate::hash::rendezvous_weight;
use crate::names::{DomainName, HostName, RouterIncarnation};

/// What the routers that talk to other domains are ranked by.
const BRIDGE_NAME: &str = "bridge";

/// The epoch of a receiver that is known by its address only: whoever listens there is meant.
pub(super) const ANY_EPOCH: u64 = 0;

/// One receiver of a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct HeartbeatReceiver {
    pub router: RouterIncarnation,
    pub address: String,
    /// Whether it is in another domain.
    pub foreign: bool,
}

/// Picks the receivers of heartbeats.
///
/// Within a domain everybody talks to everybody. Between domains only a few bridges do, since with
/// hundreds of routers the heartbeats alone would use up a router's share of the network.
#[derive(Debug)]
pub(super) struct HeartbeatPlan<'a> {
    pub table: &'a MemberTable,
    pub contacts: &'a PeerContacts,
    pub book: &'a BridgeBook,
    pub bridges: usize,
    /// Whether this router had the time to hear its domain. Before, it would take itself for the
    /// only router there, and for a bridge.
    pub settled: bool,
    /// Whether routers that do not answer and other domains get one too.
    pub slow: bool,
}

impl HeartbeatPlan<'_> {
    /// All receivers.
    pub fn receivers(&self) -> Vec<HeartbeatReceiver> {
        let mut receivers = self.live_receivers();
        receivers.extend(self.sought_receivers());
        if self.slow {
            receivers.extend(self.foreign_receivers());
        }
        receivers
    }

    /// The routers of the own domain that talk to other domains.
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
                foreign: false,
            })
            .collect()
    }

    /// Addresses of the own domain where no live router is known. Those that were heard before and
    /// are down get fewer heartbeats: each costs a try to connect.
    fn sought_receivers(&self) -> Vec<HeartbeatReceiver> {
        let mut receivers = Vec::new();
        for (host, contact) in self.contacts.joined() {
            let own = contact.domain == *self.table.domain() && *host != self.table.me().host;
            if !own || self.table.live_on(host).is_some() {
                continue;
            }
            if self.slow || !self.was_heard(host) {
                receivers.push(receiver_at(host, &contact.address, false));
            }
        }
        if self.slow {
            receivers.extend(self.lost_receivers());
        }
        receivers
    }

    /// Routers that fell silent and are in nobody's list, as after a long cut while the platform is
    /// away: without a try now and then both sides would wait for the other for ever.
    fn lost_receivers(&self) -> Vec<HeartbeatReceiver> {
        let contacts = self.contacts.joined();
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

    /// A bridge talks to the bridges of each other domain; another router only answers those that
    /// took it for one, so that they learn who is.
    fn foreign_receivers(&self) -> Vec<HeartbeatReceiver> {
        let bridging = self.own_bridges().contains(self.table.me());
        if !bridging {
            let callers = self.book.callers().iter();
            return callers
                .filter_map(|router| self.answer_to(router))
                .collect();
        }
        let mut receivers = Vec::new();
        for (domain, hosts) in self.foreign_hosts() {
            for (host, contact) in self.bridge_hosts(domain, hosts) {
                receivers.push(self.foreign_receiver(host, contact));
            }
        }
        receivers
    }

    fn answer_to(&self, router: &RouterIncarnation) -> Option<HeartbeatReceiver> {
        let address = self.table.address_of(router)?;
        Some(HeartbeatReceiver {
            router: router.clone(),
            address: address.to_string(),
            foreign: true,
        })
    }

    /// The bridges that a domain announced while one of them is heard; the likely ones otherwise.
    fn bridge_hosts<'h>(
        &self,
        domain: &DomainName,
        mut hosts: Vec<(&'h HostName, &'h PeerContact)>,
    ) -> Vec<(&'h HostName, &'h PeerContact)> {
        if let Some(announced) = self.book.announced(domain) {
            let heard = announced
                .iter()
                .any(|host| self.table.live_on(host).is_some());
            if heard {
                hosts.retain(|(host, _)| announced.contains(*host));
                return hosts;
            }
        }
        self.picked_hosts(hosts)
    }

    fn foreign_receiver(&self, host: &HostName, contact: &PeerContact) -> HeartbeatReceiver {
        match self.table.live_on(host) {
            Some(router) => HeartbeatReceiver {
                router: router.clone(),
                address: self
                    .table
                    .address_of(router)
                    .unwrap_or(&contact.address)
                    .to_string(),
                foreign: true,
            },
            None => receiver_at(host, &contact.address, true),
        }
    }

    fn foreign_hosts(&self) -> BTreeMap<&DomainName, Vec<(&HostName, &PeerContact)>> {
        let mut hosts: BTreeMap<&DomainName, Vec<(&HostName, &PeerContact)>> = BTreeMap::new();
        for (host, contact) in self.contacts.joined() {
            if contact.domain != *self.table.domain() {
                hosts
                    .entry(&contact.domain)
                    .or_default()
                    .push((host, contact));
            }
        }
        hosts
    }

    /// The hosts of another domain that are likely its bridges. A host that was heard and is down
    /// makes way for the next, unless all are down: then the domain is cut off, and the first ones
    /// are tried until it is back.
    fn picked_hosts<'h>(
        &self,
        mut hosts: Vec<(&'h HostName, &'h PeerContact)>,
    ) -> Vec<(&'h HostName, &'h PeerContact)> {
        let silent = |host: &HostName| self.was_heard(host) && self.table.live_on(host).is_none();
        hosts.sort_by_key(|(host, _)| {
            let weight = rendezvous_weight(BRIDGE_NAME, host.as_str());
            (silent(host), std::cmp::Reverse(weight))
        });
        hosts.truncate(self.bridges);
        hosts
    }

    fn was_heard(&self, host: &HostName) -> bool {
        self.table.iter().any(|(router, _)| router.host == *host)
    }
}

fn receiver_at(host: &HostName, address: &str, foreign: bool) -> HeartbeatReceiver {
    HeartbeatReceiver {
        router: RouterIncarnation::new(host.clone(), ANY_EPOCH),
        address: address.to_string(),
        foreign,
    }
}
