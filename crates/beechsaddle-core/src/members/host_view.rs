//! The `host_view` module provides the last known host lists of all domains.

use std::collections::BTreeMap;

use super::{HostList, HostRecord, HostState};
use crate::clock::ClockTime;
use crate::names::{DomainName, HostName};

/// The last known host lists of all domains.
#[derive(Debug, Default)]
pub(super) struct HostView {
    lists: BTreeMap<DomainName, VersionedList>,
    /// The hosts of all lists.
    merged: HostList,
    /// When a host was first missing from its list or listed with a later epoch.
    replaced: BTreeMap<HostName, ClockTime>,
}

#[derive(Debug)]
struct VersionedList {
    version: u64,
    list: HostList,
}

/// The changes from one list to the next.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct HostChanges {
    /// Hosts that started to leave.
    pub leaving: Vec<HostName>,
}

impl HostView {
    pub fn merged(&self) -> &HostList {
        &self.merged
    }

    /// Whether a list of the domain was ever received.
    pub fn knows(&self, domain: &DomainName) -> bool {
        self.lists.contains_key(domain)
    }

    /// The list of a domain with its version, if one was ever received.
    pub fn list(&self, domain: &DomainName) -> Option<(u64, &HostList)> {
        let listed = self.lists.get(domain)?;
        Some((listed.version, &listed.list))
    }

    pub fn get(&self, domain: &DomainName, host: &HostName) -> Option<&HostRecord> {
        let listed = self.lists.get(domain)?;
        listed.list.hosts.iter().find(|record| record.host == *host)
    }

    /// When a host was found replaced or unlisted, if it was.
    pub fn replaced_at(&self, host: &HostName) -> Option<ClockTime> {
        self.replaced.get(host).copied()
    }

    /// Applies a list unless a newer one is known; `None` if nothing changed.
    pub fn update(
        &mut self,
        now: ClockTime,
        domain: &DomainName,
        version: u64,
        list: HostList,
    ) -> Option<HostChanges> {
        let mut changes = HostChanges::default();
        if let Some(known) = self.lists.get_mut(domain) {
            // A read that is older than a watch result would restore removed hosts.
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
        self.record_replaced(now, &before, &list);
        for record in &list.hosts {
            let previous = before.hosts.iter().find(|old| old.host == record.host);
            let was_leaving = previous
                .is_some_and(|old| old.epoch == record.epoch && old.state == HostState::Leaving);
            if record.state == HostState::Leaving && !was_leaving {
                changes.leaving.push(record.host.clone());
            }
        }
        self.lists
            .insert(domain.clone(), VersionedList { version, list });
        self.merge();
        Some(changes)
    }

    fn record_replaced(&mut self, now: ClockTime, before: &HostList, after: &HostList) {
        for old in &before.hosts {
            let new = after.hosts.iter().find(|record| record.host == old.host);
            let remains = new.is_some_and(|record| record.epoch <= old.epoch);
            if !remains {
                self.replaced.insert(old.host.clone(), now);
            }
        }
    }

    fn merge(&mut self) {
        self.merged.hosts = self
            .lists
            .values()
            .flat_map(|listed| listed.list.hosts.iter().cloned())
            .collect();
    }
}
