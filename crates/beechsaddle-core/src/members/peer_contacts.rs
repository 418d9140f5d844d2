//! The `peer_contacts` module provides addresses at which routers may be found.

use std::collections::BTreeMap;

use super::{HostList, HostRole, SeedPeer};
use crate::clock::ClockTime;
use crate::names::{DomainName, HostName};
use crate::peer::RouterNews;

/// Word of a router by others is forgotten after so long, in milliseconds, unless it is repeated.
const HEARSAY_MS: u64 = 60_000;

/// Where a router may be found; which life of it answers is known only once it was heard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct PeerContact {
    pub domain: DomainName,
    pub address: String,
    /// When it is forgotten; `None` for seeds and listed hosts.
    pub expires: Option<ClockTime>,
}

/// Addresses at which routers may be found: from settings, from the platform, from other routers.
#[derive(Debug)]
pub(super) struct PeerContacts {
    seeds: BTreeMap<HostName, PeerContact>,
    listed: BTreeMap<HostName, PeerContact>,
    hearsay: BTreeMap<HostName, PeerContact>,
}

impl PeerContacts {
    pub fn new(seeds: &[SeedPeer]) -> Self {
        let seeds = seeds.iter().map(|seed| {
            let contact = PeerContact {
                domain: seed.domain.clone(),
                address: seed.address.clone(),
                expires: None,
            };
            (seed.host.clone(), contact)
        });
        PeerContacts {
            seeds: seeds.collect(),
            listed: BTreeMap::new(),
            hearsay: BTreeMap::new(),
        }
    }

    /// Replaces what the platform lists.
    pub fn set_listed(&mut self, list: &HostList) {
        self.listed.clear();
        for record in &list.hosts {
            match &record.role {
                HostRole::Router { peer_address, .. } => {
                    let contact = PeerContact {
                        domain: record.domain.clone(),
                        address: peer_address.clone(),
                        expires: None,
                    };
                    self.listed.insert(record.host.clone(), contact);
                }
                HostRole::Target { .. } => {}
            }
        }
    }

    /// Notes what another router says of a third.
    pub fn note_hearsay(&mut self, now: ClockTime, news: &RouterNews) {
        let contact = PeerContact {
            domain: news.domain.clone(),
            address: news.address.clone(),
            expires: Some(now.plus_ms(HEARSAY_MS)),
        };
        self.hearsay.insert(news.router.host.clone(), contact);
    }

    /// Forgets old hearsay.
    pub fn expire(&mut self, now: ClockTime) {
        self.hearsay
            .retain(|_, contact| contact.expires.is_none_or(|time| now < time));
    }

    /// One contact for each host; other routers know better than the list, which lags, and the list
    /// knows better than the settings.
    pub fn joined(&self) -> BTreeMap<&HostName, &PeerContact> {
        let mut joined = BTreeMap::new();
        for source in [&self.seeds, &self.listed, &self.hearsay] {
            joined.extend(source);
        }
        joined
    }
}
