//! The `peer_contacts` module provides the addresses at which routers may be reached.

use std::collections::BTreeMap;

use super::{HostList, HostRole, SeedPeer};
use crate::clock::ClockTime;
use crate::names::{DomainName, HostName};
use crate::peer::RouterUpdate;

/// How long an indirect report of a router is retained without being repeated, in milliseconds.
const INDIRECT_RETENTION_MS: u64 = 60_000;

/// An address at which a router may be reached; its incarnation is unknown until it sends a
/// heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct PeerContact {
    pub domain: DomainName,
    pub address: String,
    /// The expiry of an indirect report; `None` for seeds and listed hosts.
    pub expires_at: Option<ClockTime>,
}

/// Addresses at which routers may be reached, from settings, the platform and other routers.
#[derive(Debug)]
pub(super) struct PeerContacts {
    seeds: BTreeMap<HostName, PeerContact>,
    listed: BTreeMap<HostName, PeerContact>,
    indirect: BTreeMap<HostName, PeerContact>,
}

impl PeerContacts {
    pub fn new(seeds: &[SeedPeer]) -> Self {
        let seeds = seeds.iter().map(|seed| {
            let contact = PeerContact {
                domain: seed.domain.clone(),
                address: seed.address.clone(),
                expires_at: None,
            };
            (seed.host.clone(), contact)
        });
        PeerContacts {
            seeds: seeds.collect(),
            listed: BTreeMap::new(),
            indirect: BTreeMap::new(),
        }
    }

    /// Replaces the contacts listed by the platform.
    pub fn set_listed(&mut self, list: &HostList) {
        self.listed.clear();
        for record in &list.hosts {
            match &record.role {
                HostRole::Router { peer_address, .. } => {
                    let contact = PeerContact {
                        domain: record.domain.clone(),
                        address: peer_address.clone(),
                        expires_at: None,
                    };
                    self.listed.insert(record.host.clone(), contact);
                }
                HostRole::Target { .. } => {}
            }
        }
    }

    /// Records another router's report of a third one.
    pub fn record_indirect(&mut self, now: ClockTime, update: &RouterUpdate) {
        let contact = PeerContact {
            domain: update.domain.clone(),
            address: update.address.clone(),
            expires_at: Some(now.plus_ms(INDIRECT_RETENTION_MS)),
        };
        self.indirect.insert(update.router.host.clone(), contact);
    }

    /// Removes expired indirect reports.
    pub fn expire(&mut self, now: ClockTime) {
        self.indirect
            .retain(|_, contact| contact.expires_at.is_none_or(|time| now < time));
    }

    /// Whether any host of a domain but `me` has a contact.
    pub fn has_other(&self, domain: &DomainName, me: &HostName) -> bool {
        let sources = [&self.seeds, &self.listed, &self.indirect];
        let mut contacts = sources.into_iter().flatten();
        contacts.any(|(host, contact)| contact.domain == *domain && host != me)
    }

    /// One contact per host; indirect reports take precedence over the delayed list, and the list
    /// over the settings.
    pub fn merged(&self) -> BTreeMap<&HostName, &PeerContact> {
        let mut merged = BTreeMap::new();
        for source in [&self.seeds, &self.listed, &self.indirect] {
            merged.extend(source);
        }
        merged
    }
}
