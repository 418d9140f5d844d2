//! The `host_view` module provides the lists of hosts of all domains as last read.

use std::collections::BTreeMap;

use super::{HostList, HostRecord, HostState};
use crate::clock::ClockTime;
use crate::names::{DomainName, HostName};

/// The lists of hosts of all domains as last read from the platform.
#[derive(Debug, Default)]
pub(super) struct HostView {
    lists: BTreeMap<DomainName, VersionedList>,
    /// All lists in one, which other duties read.
    joined: HostList,
    /// When a list was first seen without a host, or with a later epoch of it.
    replaced: BTreeMap<HostName, ClockTime>,
}

#[derive(Debug)]
struct VersionedList {
    version: u64,
    list: HostList,
}

/// What a newer list changed.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct HostChanges {
    /// Hosts that were not leaving before.
    pub leaving: Vec<HostName>,
}

impl HostView {
    /// All hosts of all domains.
    pub fn joined(&self) -> &HostList {
        &self.joined
    }

    /// Whether the list of a domain was ever read.
    pub fn knows(&self, domain: &DomainName) -> bool {
        self.lists.contains_key(domain)
    }

    /// The list of a domain with its version, if it was ever read.
    pub fn list(&self, domain: &DomainName) -> Option<(u64, &HostList)> {
        let listed = self.lists.get(domain)?;
        Some((listed.version, &listed.list))
    }

    /// The record of a host.
    pub fn get(&self, domain: &DomainName, host: &HostName) -> Option<&HostRecord> {
        let listed = self.lists.get(domain)?;
        listed.list.hosts.iter().find(|record| record.host == *host)
    }

    /// When a host was seen to have been replaced or taken off its list, if it was.
    pub fn replaced_at(&self, host: &HostName) -> Option<ClockTime> {
        self.replaced.get(host).copied()
    }

    /// Takes a list unless a newer one is known; `None` when nothing changed.
    pub fn update(
        &mut self,
        now: ClockTime,
        domain: &DomainName,
        version: u64,
        list: HostList,
    ) -> Option<HostChanges> {
        let mut changes = HostChanges::default();
        if let Some(known) = self.lists.get_mut(domain) {
            // A read that was overtaken by a watch would bring hosts back that are gone.
            if version <= known.version {
                return None;
            }
            if known.list == list {
                known.version = version;
                return None;
            }
        }
        let before = self.lists.remove(domain);
        let before = before.map(|known| known.list).unwrap_or_default();
        self.note_replaced(now, &before, &list);
        for record in &list.hosts {
            let was = before.hosts.iter().find(|old| old.host == record.host);
            let was_leaving =
                was.is_some_and(|old| old.epoch == record.epoch && old.state == HostState::Leaving);
            if record.state == HostState::Leaving && !was_leaving {
                changes.leaving.push(record.host.clone());
            }
        }
        self.lists
            .insert(domain.clone(), VersionedList { version, list });
        self.join();
        Some(changes)
    }

    fn note_replaced(&mut self, now: ClockTime, before: &HostList, after: &HostList) {
        for old in &before.hosts {
            let new = after.hosts.iter().find(|record| record.host == old.host);
            let lasts = new.is_some_and(|record| record.epoch <= old.epoch);
            if !lasts {
                self.replaced.insert(old.host.clone(), now);
            }
        }
    }

    fn join(&mut self) {
        self.joined.hosts = self
            .lists
            .values()
            .flat_map(|listed| listed.list.hosts.iter().cloned())
            .collect();
    }
}
