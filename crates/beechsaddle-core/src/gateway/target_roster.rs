//! The `target_roster` module provides the targets that discovery lists.

use std::collections::BTreeMap;
use std::net::SocketAddr;

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
    /// A target started again under its id, at this address; nothing of before holds.
    Restarted(TargetName, SocketAddr),
    /// A target takes no new work.
    Draining(TargetName),
    /// A target at this address is gone.
    Gone(TargetName, SocketAddr),
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
    listed_at: ClockTime,
    missing_since: Option<ClockTime>,
    doubted: Option<u64>,
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

/// How an entry relates to the one that is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EntryAge {
    /// It is older.
    Stale,
    /// It is of the same incarnation.
    Current,
    /// It is of another incarnation.
    Restarted,
}

impl RosterEntry {
    fn new(now: ClockTime, record: TargetRecord) -> Self {
        RosterEntry {
            gauge: TargetGauge::new(now),
            record,
            listed_at: now,
            missing_since: None,
            doubted: None,
        }
    }

    /// How an entry relates to this one.
    ///
    /// The store's revisions order entries, however late an answer brings them. One write of a process
    /// that has died can still land behind those of its successor, so an earlier start is believed only
    /// when it is told a second time: a dead process has one write under way at most, and clocks that
    /// were set back keep a living one out for one heartbeat, not for good.
    fn compare(&mut self, record: &TargetRecord) -> EntryAge {
        if record.revision < self.record.revision {
            return EntryAge::Stale;
        }
        if record.started == self.record.started {
            self.doubted = None;
            return EntryAge::Current;
        }
        let is_earlier = record.started < self.record.started;
        let is_told_again = record.revision > self.record.revision
            && self
                .doubted
                .is_some_and(|revision| revision < record.revision);
        if is_earlier && !is_told_again {
            self.doubted.get_or_insert(record.revision);
            return EntryAge::Stale;
        }
        EntryAge::Restarted
    }

    /// Takes over what the same incarnation says now.
    fn update(&mut self, record: TargetRecord) -> Option<RosterChange> {
        let was = self.record.phase;
        self.record = record;
        self.missing_since = None;
        let drains = self.record.phase == TargetPhase::Draining;
        (was == TargetPhase::Ready && drains)
            .then(|| RosterChange::Draining(self.record.name.clone()))
    }

    /// Whether the target came up less than `span_ms` ago, as far as this router knows.
    pub fn is_new(&self, now: ClockTime, span_ms: u64) -> bool {
        now.since(self.listed_at) < span_ms
    }

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
        let Some(entry) = self.entries.get_mut(&name) else {
            self.entries
                .insert(name.clone(), RosterEntry::new(now, record));
            return Some(RosterChange::Joined(name));
        };
        match entry.compare(&record) {
            EntryAge::Stale => None,
            EntryAge::Current => entry.update(record),
            EntryAge::Restarted => {
                let before = entry.record.address;
                *entry = RosterEntry::new(now, record);
                Some(RosterChange::Restarted(name, before))
            }
        }
    }

    /// Takes a target out of use whose entry cannot be read: it names no target, whatever it said
    /// before. Unlike an entry that lapsed with an outage it is there, and is not waited for.
    pub fn withdraw(&mut self, name: &TargetName) -> Option<RosterChange> {
        let entry = self.entries.remove(name)?;
        Some(RosterChange::Gone(name.clone(), entry.record.address))
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
        self.withdraw(name)
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
        let gone = late.iter().filter_map(|name| self.withdraw(name));
        gone.collect()
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
