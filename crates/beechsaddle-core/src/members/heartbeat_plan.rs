//! The `heartbeat_plan` module provides who gets a heartbeat.

use std::collections::{BTreeMap, BTreeSet};

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
    pub bridges: usize,
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
                receivers.push(receiver_at(host, contact, false));
            }
        }
        receivers
    }

    fn foreign_receivers(&self) -> Vec<HeartbeatReceiver> {
        let bridging = self.own_bridges().contains(self.table.me());
        let mut receivers = Vec::new();
        for (domain, hosts) in self.foreign_hosts() {
            let picked = self.picked_hosts(hosts);
            for (host, contact) in &picked {
                // A router that is not a bridge any more still answers a bridge of the other
                // domain, which may have picked it by an older list. When neither is a bridge,
                // both fall silent.
                let answers = self.table.live_on(host).is_some();
                if bridging || answers {
                    receivers.push(self.foreign_receiver(host, contact));
                }
            }
            if bridging {
                let hosts: BTreeSet<&HostName> = picked.iter().map(|(host, _)| *host).collect();
                receivers.extend(self.callers_of(domain, &hosts));
            }
        }
        receivers
    }

    /// Live routers of another domain that called here though they were not picked.
    fn callers_of(
        &self,
        domain: &DomainName,
        picked: &BTreeSet<&HostName>,
    ) -> Vec<HeartbeatReceiver> {
        self.table
            .iter()
            .filter(|(router, entry)| {
                entry.liveness == MemberLiveness::Live
                    && entry.domain == *domain
                    && !picked.contains(&router.host)
            })
            .map(|(router, entry)| HeartbeatReceiver {
                router: router.clone(),
                address: entry.address.clone(),
                foreign: true,
            })
            .collect()
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
            None => receiver_at(host, contact, true),
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

fn receiver_at(host: &HostName, contact: &PeerContact, foreign: bool) -> HeartbeatReceiver {
    HeartbeatReceiver {
        router: RouterIncarnation::new(host.clone(), ANY_EPOCH),
        address: contact.address.clone(),
        foreign,
    }
}
