//! The `target_roster` module provides the targets that discovery lists.

use std::collections::BTreeMap;

use super::{TargetGauge, TargetPhase, TargetRecord};
use crate::clock::ClockTime;
use crate::names::{ServiceName, TargetName};

/// How long an entry may be missing after the store was away before its target counts as gone, in
/// milliseconds. Live targets write their entries again within two seconds.
const RETURN_GRACE_MS: u64 = 2_200;

/// What a listing or an event changed, for logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RosterChange {
    /// A target came up.
    Joined(TargetName),
    /// A target takes no new work.
    Draining(TargetName),
    /// A target is gone.
    Gone(TargetName),
    /// An entry is missing, but the store was away a moment ago.
    Unconfirmed(TargetName),
}

/// One listed target.
#[derive(Clone, Debug)]
pub struct RosterEntry {
    /// What discovery tells.
    pub record: TargetRecord,
    /// What this router sees.
    pub gauge: TargetGauge,
    missing_since: Option<ClockTime>,
}

/// All targets that may be in use.
///
/// Entries expire while the store is away, though their targets live: taking every missing entry
/// for gone would leave a healthy service without targets when the store returns. So an entry that
/// is missed right after an outage is kept for as long as a live target needs to write it again.
#[derive(Clone, Debug, Default)]
pub struct TargetRoster {
    entries: BTreeMap<TargetName, RosterEntry>,
    away_until: Option<ClockTime>,
}

impl RosterEntry {
    /// A word for what the list says, for operators.
    pub fn phase_word(&self) -> &'static str {
        match (self.missing_since, self.record.phase) {
            (Some(_), _) => "unlisted",
            (None, TargetPhase::Ready) => "ready",
            (None, TargetPhase::Draining) => "draining",
        }
    }
}

impl TargetRoster {
    /// Notes that the store did not answer.
    pub fn note_away(&mut self, now: ClockTime) {
        self.away_until = Some(now.plus_ms(RETURN_GRACE_MS));
    }

    /// Takes over a whole listing.
    pub fn take_listing(
        &mut self,
        now: ClockTime,
        records: impl IntoIterator<Item = TargetRecord>,
    ) -> Vec<RosterChange> {
        let mut changes = Vec::new();
        let mut listed = BTreeMap::new();
        for record in records {
            listed.insert(record.name.clone(), record);
        }
        let missing: Vec<_> = self
            .entries
            .keys()
            .filter(|name| !listed.contains_key(*name))
            .cloned()
            .collect();
        for name in missing {
            changes.extend(self.remove(now, &name));
        }
        for record in listed.into_values() {
            changes.extend(self.put(now, record));
        }
        changes
    }

    /// Takes over one entry.
    pub fn put(&mut self, now: ClockTime, record: TargetRecord) -> Option<RosterChange> {
        let name = record.name.clone();
        if let Some(entry) = self.entries.get_mut(&name) {
            let was = entry.record.phase;
            entry.record = record;
            entry.missing_since = None;
            let drains = entry.record.phase == TargetPhase::Draining;
            return (was == TargetPhase::Ready && drains).then_some(RosterChange::Draining(name));
        }
        let gauge = TargetGauge::new(now);
        let entry = RosterEntry {
            record,
            gauge,
            missing_since: None,
        };
        self.entries.insert(name.clone(), entry);
        Some(RosterChange::Joined(name))
    }

    /// Takes note that an entry is not listed any more.
    pub fn remove(&mut self, now: ClockTime, name: &TargetName) -> Option<RosterChange> {
        let entry = self.entries.get_mut(name)?;
        let was_away = self.away_until.is_some_and(|until| now < until);
        if was_away && entry.record.phase == TargetPhase::Ready {
            if entry.missing_since.is_some() {
                return None;
            }
            entry.missing_since = Some(now);
            return Some(RosterChange::Unconfirmed(name.clone()));
        }
        self.entries.remove(name);
        Some(RosterChange::Gone(name.clone()))
    }

    /// Drops entries that were missing for too long after the store's return.
    pub fn expire(&mut self, now: ClockTime) -> Vec<RosterChange> {
        if self.away_until.is_some_and(|until| now < until) {
            return Vec::new();
        }
        let late: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.missing_since.is_some())
            .map(|(name, _)| name.clone())
            .collect();
        for name in &late {
            self.entries.remove(name);
        }
        late.into_iter().map(RosterChange::Gone).collect()
    }

    /// One target.
    pub fn get(&self, name: &TargetName) -> Option<&RosterEntry> {
        self.entries.get(name)
    }

    /// What is seen of one target, for changes.
    pub fn gauge_mut(&mut self, name: &TargetName) -> Option<&mut TargetGauge> {
        self.entries.get_mut(name).map(|entry| &mut entry.gauge)
    }

    /// The targets of a service that take new work.
    pub fn ready<'a>(&'a self, service: &ServiceName) -> impl Iterator<Item = &'a RosterEntry> {
        let service = service.clone();
        self.entries.values().filter(move |entry| {
            entry.record.service == service && entry.record.phase == TargetPhase::Ready
        })
    }

    /// All targets.
    pub fn entries(&self) -> impl Iterator<Item = &RosterEntry> {
        self.entries.values()
    }
}
