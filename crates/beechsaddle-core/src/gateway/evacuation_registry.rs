//! The `evacuation_registry` module provides the evacuations of failure domains that operators have
//! requested: which targets get no new requests.

use std::collections::BTreeMap;

use crate::clock::ClockTime;
use crate::names::DomainName;

/// An operator's request that nothing more is sent to the targets of a failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationRecord {
    /// The failure domain; it need not have any targets.
    pub domain: DomainName,
    /// The revision of the request in the store.
    pub revision: u64,
}

/// A change of the registry, for logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EvacuationChange {
    /// The targets of the domain get no new requests from now on.
    Started(EvacuationRecord),
    /// The request was withdrawn.
    Withdrawn(DomainName),
}

/// An evacuation in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvacuationState {
    /// The revision of the operator's request.
    pub revision: u64,
    /// Since when this router knows of it.
    pub since: ClockTime,
}

/// The evacuations in force and the domains that were taken back.
///
/// Evacuations are known from a complete listing and the changes after it, which one task applies
/// in the order of the store's revisions. Until the first listing no target may be used: a router
/// that starts during an evacuation would otherwise send requests to evacuated targets.
#[derive(Clone, Debug, Default)]
pub struct EvacuationRegistry {
    is_known: bool,
    revision: u64,
    domains: BTreeMap<DomainName, EvacuationState>,
    withdrawn_at: BTreeMap<DomainName, ClockTime>,
}

impl EvacuationRegistry {
    /// Creates the registry of a deployment without evacuations.
    pub fn disabled() -> Self {
        EvacuationRegistry {
            is_known: true,
            ..EvacuationRegistry::default()
        }
    }

    /// Whether the evacuations are known.
    pub fn is_known(&self) -> bool {
        self.is_known
    }

    /// Whether targets of a domain may get new requests.
    pub fn allows(&self, domain: &DomainName) -> bool {
        self.is_known && !self.domains.contains_key(domain)
    }

    /// Replaces all evacuations by a complete listing at a revision of the store. A listing older
    /// than what is known changes nothing.
    pub fn take_listing(
        &mut self,
        now: ClockTime,
        revision: u64,
        records: impl IntoIterator<Item = EvacuationRecord>,
    ) -> Vec<EvacuationChange> {
        if self.is_known && revision < self.revision {
            return Vec::new();
        }
        self.is_known = true;
        let records: Vec<_> = records.into_iter().collect();
        let is_listed = |domain: &DomainName| records.iter().any(|record| record.domain == *domain);
        let missing: Vec<_> = self
            .domains
            .keys()
            .filter(|domain| !is_listed(domain))
            .cloned()
            .collect();
        let mut changes = Vec::new();
        for domain in missing {
            changes.extend(self.withdraw(now, &domain));
        }
        for record in records {
            changes.extend(self.start(now, record));
        }
        self.revision = self.revision.max(revision);
        changes
    }

    /// Records that a domain is evacuated; returns the change if it was not.
    pub fn start(&mut self, now: ClockTime, record: EvacuationRecord) -> Option<EvacuationChange> {
        self.revision = self.revision.max(record.revision);
        if let Some(known) = self.domains.get_mut(&record.domain) {
            known.revision = known.revision.max(record.revision);
            return None;
        }
        let state = EvacuationState {
            revision: record.revision,
            since: now,
        };
        self.domains.insert(record.domain.clone(), state);
        Some(EvacuationChange::Started(record))
    }

    /// Records that a domain's evacuation was withdrawn; returns the change if it was evacuated.
    pub fn withdraw(&mut self, now: ClockTime, domain: &DomainName) -> Option<EvacuationChange> {
        self.domains.remove(domain)?;
        self.withdrawn_at.insert(domain.clone(), now);
        Some(EvacuationChange::Withdrawn(domain.clone()))
    }

    /// Records that all changes up to a revision were applied. A removal carries no revision of its
    /// own, so without this a listing from before it would bring the evacuation back.
    pub fn record_revision(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Returns the time since a domain was taken back, in milliseconds; `None` if it is evacuated
    /// or never was.
    pub fn returned_for_ms(&self, now: ClockTime, domain: &DomainName) -> Option<u64> {
        if self.domains.contains_key(domain) {
            return None;
        }
        let withdrawn_at = self.withdrawn_at.get(domain)?;
        Some(now.since(*withdrawn_at))
    }

    /// Returns the evacuations in force.
    pub fn in_force(&self) -> impl Iterator<Item = (&DomainName, EvacuationState)> {
        self.domains.iter().map(|(domain, state)| (domain, *state))
    }
}
