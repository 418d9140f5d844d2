//! The `target_roster` module provides the targets listed by discovery.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::{
    ORIGIN_RETENTION_MS, RestRegistry, SpeedSurvey, StepChange, TargetIncarnation, TargetPhase,
    TargetRecord, TargetReport, TargetStats, TargetSteps,
};
use crate::clock::ClockTime;
use crate::names::{ServiceName, SoftwareVersion, TargetName};

/// How long an entry may be missing after a store outage before its target counts as gone, in
/// milliseconds. Running targets write their entries again within two seconds.
const RELIST_GRACE_MS: u64 = 2_200;

/// How long a caller whose stream broke may take to come back with it, in milliseconds: its retry after a
/// usual refusal.
const RETURN_MS: u64 = 2_000;

/// Maximum number of leave notices of targets that are not listed. A target may run on for a while
/// after its entry is gone; in the largest fleet, fewer than this do at any time.
const UNLISTED_NOTICES_MAX: usize = 1_024;

/// A change of the roster by a listing or an event, for logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RosterChange {
    /// A new target.
    Joined(TargetName),
    /// A target restarted under its id; the state of its previous incarnation at this address is
    /// dropped.
    Restarted(TargetName, SocketAddr),
    /// The target accepts no new requests.
    Draining(TargetName),
    /// A newer entry has the address of this target, which may have ended.
    Contested {
        target: TargetName,
        address: SocketAddr,
        /// The target of the newer entry.
        newer: TargetName,
    },
    /// The target at this address is gone.
    Gone(TargetName, SocketAddr),
    /// The entry is missing, but the store was unavailable a moment ago.
    Unconfirmed(TargetName),
}

/// One listed target.
#[derive(Clone, Debug)]
pub struct RosterEntry {
    /// The discovery record.
    pub record: TargetRecord,
    /// This router's statistics of the target.
    pub stats: TargetStats,
    /// What other routers have measured of this incarnation; `None` if nothing is known.
    pub report: Option<TargetReport>,
    /// Its speed relative to the usual one of its service.
    pub steps: TargetSteps,
    listed_at: ClockTime,
    cold_until: ClockTime,
    is_replaced: bool,
    has_announced_leave: bool,
    missing_since: Option<ClockTime>,
    earlier_start_revision: Option<u64>,
}

/// All targets that may be in use.
///
/// Entries expire during a store outage although their targets run. Treating every missing entry as
/// gone would leave a healthy service without targets when the store returns. Therefore an entry
/// that is missing right after an outage is retained for as long as a running target needs to write
/// it again.
#[derive(Clone, Debug, Default)]
pub struct TargetRoster {
    entries: BTreeMap<TargetName, RosterEntry>,
    /// When a target of a service and version last left.
    left: BTreeMap<(ServiceName, SoftwareVersion), ClockTime>,
    /// The incarnations without an entry that have announced that they leave, and when the entry was
    /// removed or, if it was removed before, when the notice came.
    unlisted_notices: BTreeMap<TargetIncarnation, ClockTime>,
    outage_until: Option<ClockTime>,
    /// When the first complete listing was taken; `None` before. What is listed then says nothing about
    /// starts.
    first_listed_at: Option<ClockTime>,
    /// The rests that targets have asked for.
    pub rests: RestRegistry,
    speeds: SpeedSurvey,
}

/// The relation of an entry to the known one.
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
    fn new(now: ClockTime, record: TargetRecord, has_announced_leave: bool) -> Self {
        RosterEntry {
            stats: TargetStats::new(now),
            report: None,
            steps: TargetSteps::default(),
            cold_until: now.plus_ms(record.cold_ms),
            record,
            listed_at: now,
            is_replaced: false,
            has_announced_leave,
            missing_since: None,
            earlier_start_revision: None,
        }
    }

    /// Returns the relation of an entry to this one.
    ///
    /// The store's revisions order entries even if answers arrive late. A single write of a dead
    /// process may still be applied after those of its successor, so an earlier start time is
    /// accepted only when it is seen a second time: a dead process has at most one write in flight,
    /// and a running process whose clock was set back is excluded for one heartbeat only.
    fn compare(&mut self, record: &TargetRecord) -> EntryAge {
        if record.revision < self.record.revision {
            return EntryAge::Stale;
        }
        if record.started == self.record.started {
            self.earlier_start_revision = None;
            return EntryAge::Current;
        }
        let is_earlier = record.started < self.record.started;
        let is_confirmed = record.revision > self.record.revision
            && self
                .earlier_start_revision
                .is_some_and(|revision| revision < record.revision);
        if is_earlier && !is_confirmed {
            self.earlier_start_revision.get_or_insert(record.revision);
            return EntryAge::Stale;
        }
        EntryAge::Restarted
    }

    /// Updates the record with a newer entry of the same incarnation.
    fn update(&mut self, now: ClockTime, record: TargetRecord) -> Option<RosterChange> {
        let was = self.record.phase;
        // An entry that is read once more is as old as before, and says nothing new.
        if record.revision > self.record.revision {
            self.cold_until = now.plus_ms(record.cold_ms);
            self.is_replaced = false;
        }
        self.record = record;
        self.missing_since = None;
        let is_draining = self.record.phase == TargetPhase::Draining;
        (was == TargetPhase::Ready && is_draining)
            .then(|| RosterChange::Draining(self.record.name.clone()))
    }

    /// Whether the target was listed less than `span_ms` ago, as far as this router knows.
    pub fn is_new(&self, now: ClockTime, span_ms: u64) -> bool {
        now.since(self.listed_at) < span_ms
    }

    /// Returns for how long the target is still cold, in milliseconds, as far as it has announced.
    pub fn cold_for_ms(&self, now: ClockTime) -> u64 {
        self.cold_until.since(now)
    }

    /// Records that a response of the target announces how long it is still cold. Responses may
    /// overtake each other, so that none of them ends what another one has announced.
    pub fn record_cold(&mut self, now: ClockTime, cold_ms: u64) {
        self.cold_until = self.cold_until.max(now.plus_ms(cold_ms));
    }

    /// Records that another process answers at the target's address, so that the target has ended;
    /// returns whether that is news. Only a newer entry of the target brings it back.
    pub fn mark_replaced(&mut self) -> bool {
        !std::mem::replace(&mut self.is_replaced, true)
    }

    /// Whether the target leaves, by its entry or by one of its responses.
    pub fn is_leaving(&self) -> bool {
        self.has_announced_leave || self.record.phase == TargetPhase::Draining
    }

    /// Whether the target accepts new requests, as far as this router knows.
    pub fn accepts_requests(&self) -> bool {
        !self.is_leaving() && !self.is_replaced
    }

    /// Returns the name of the target's phase, for operators.
    pub fn phase_name(&self) -> &'static str {
        match (self.missing_since, self.record.phase) {
            _ if self.is_replaced => "replaced",
            (_, TargetPhase::Ready) if self.has_announced_leave => "leaving",
            (Some(_), _) => "unlisted",
            (None, TargetPhase::Ready) => "ready",
            (None, TargetPhase::Draining) => "draining",
        }
    }
}

impl TargetRoster {
    /// Records that the store did not answer.
    pub fn record_outage(&mut self, now: ClockTime) {
        self.outage_until = Some(now.plus_ms(RELIST_GRACE_MS));
    }

    /// Replaces all targets by a complete listing.
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
            changes.extend(self.take_entry(now, record));
        }
        self.first_listed_at.get_or_insert(now);
        changes
    }

    /// Applies one entry, and narrows the windows of targets whose address is contested by it.
    pub fn take_entry(&mut self, now: ClockTime, record: TargetRecord) -> Vec<RosterChange> {
        let address = record.address;
        let change = self.put(now, record);
        let is_start = matches!(
            change,
            Some(RosterChange::Joined(_) | RosterChange::Restarted(..))
        );
        let mut changes = Vec::from_iter(change);
        if is_start {
            changes.extend(self.contest(now, address));
        }
        changes
    }

    /// Narrows the windows of all targets with an address but the one with the newest entry.
    ///
    /// A newer entry does not prove that the process of an older one has ended: it may be of another
    /// writer, and a running target need not write its own entry again. So the older target stays in
    /// use. It gets few requests until it has answered some; if it has ended, the process at the
    /// address rejects the first one without running it.
    fn contest(&mut self, now: ClockTime, address: SocketAddr) -> Vec<RosterChange> {
        let holders = self.entries.values().map(|entry| &entry.record);
        let holders = holders.filter(|record| record.address == address);
        let newest = holders.max_by_key(|record| record.revision).cloned();
        let Some(newest) = newest else {
            return Vec::new();
        };
        let older = self.entries.values_mut().filter(|entry| {
            entry.record.address == address && entry.record.revision < newest.revision
        });
        let changes = older.map(|entry| {
            entry.stats.pace.begin(now);
            RosterChange::Contested {
                target: entry.record.name.clone(),
                address,
                newer: newest.name.clone(),
            }
        });
        changes.collect()
    }

    /// Applies one entry.
    pub fn put(&mut self, now: ClockTime, record: TargetRecord) -> Option<RosterChange> {
        let name = record.name.clone();
        let Some(entry) = self.entries.get_mut(&name) else {
            self.list(now, record);
            return Some(RosterChange::Joined(name));
        };
        match entry.compare(&record) {
            EntryAge::Stale => None,
            EntryAge::Current => entry.update(now, record),
            EntryAge::Restarted => {
                let earlier = self.list(now, record)?;
                self.record_left(now, &earlier);
                Some(RosterChange::Restarted(name, earlier.record.address))
            }
        }
    }

    /// Lists an incarnation, and returns the entry of the one before.
    fn list(&mut self, now: ClockTime, record: TargetRecord) -> Option<RosterEntry> {
        let notice = self.unlisted_notices.remove(&record.incarnation());
        let name = record.name.clone();
        let mut entry = RosterEntry::new(now, record, notice.is_some());
        if self.first_listed_at.is_some() {
            entry.stats.pace.begin(now);
        }
        self.entries.insert(name, entry)
    }

    /// Records that a response of a target announces that it leaves; returns whether that is news.
    ///
    /// Nothing undoes this for the incarnation: an entry that says `ready` may have been written
    /// before the response, or have crossed it, and an entry that expired may be written again by the
    /// same process. A target does not return from leaving; only another incarnation, with another
    /// start or another name, accepts requests.
    pub fn mark_leaving(&mut self, now: ClockTime, target: &TargetIncarnation) -> bool {
        let entry = self.entries.get_mut(&target.name);
        if let Some(entry) = entry.filter(|entry| entry.record.started == target.started) {
            return !std::mem::replace(&mut entry.has_announced_leave, true);
        }
        let is_news = !self.unlisted_notices.contains_key(target);
        self.keep_notice(now, target.clone());
        is_news
    }

    /// Keeps the notice of an incarnation that is not listed, which may come back.
    fn keep_notice(&mut self, now: ClockTime, target: TargetIncarnation) {
        let notices = &mut self.unlisted_notices;
        notices.entry(target).or_insert(now);
        if notices.len() <= UNLISTED_NOTICES_MAX {
            return;
        }
        let oldest = notices.iter().min_by_key(|(_, noted_at)| **noted_at);
        let oldest = oldest.map(|(target, _)| target.clone());
        if let Some(target) = oldest {
            notices.remove(&target);
        }
    }

    /// Removes a target whose entry cannot be read, as it no longer names a target. Unlike an entry
    /// that expired in an outage it is present, so no grace period applies.
    pub fn withdraw(&mut self, now: ClockTime, name: &TargetName) -> Option<RosterChange> {
        let entry = self.entries.remove(name)?;
        self.record_left(now, &entry);
        Some(RosterChange::Gone(name.clone(), entry.record.address))
    }

    /// Records that an entry is no longer listed.
    pub fn remove(&mut self, now: ClockTime, name: &TargetName) -> Option<RosterChange> {
        let entry = self.entries.get_mut(name)?;
        let in_outage = self.outage_until.is_some_and(|until| now < until);
        if in_outage && !entry.is_leaving() {
            if entry.missing_since.is_some() {
                return None;
            }
            entry.missing_since = Some(now);
            return Some(RosterChange::Unconfirmed(name.clone()));
        }
        self.withdraw(now, name)
    }

    /// Records that an entry was removed, which was last written at `revision`. Answers of the store may
    /// repeat changes: one that was written again since stays.
    pub fn remove_at(
        &mut self,
        now: ClockTime,
        name: &TargetName,
        revision: u64,
    ) -> Option<RosterChange> {
        let known = self.entries.get(name)?.record.revision;
        match known > revision {
            true => None,
            false => self.remove(now, name),
        }
    }

    fn record_left(&mut self, now: ClockTime, entry: &RosterEntry) {
        let record = &entry.record;
        if entry.has_announced_leave {
            self.keep_notice(now, record.incarnation());
        }
        self.left
            .retain(|_, left_at| now.since(*left_at) < ORIGIN_RETENTION_MS);
        let key = (record.service.clone(), record.version.clone());
        self.left.insert(key, now);
    }

    /// Removes entries that stayed missing after the store's return.
    pub fn expire(&mut self, now: ClockTime) -> Vec<RosterChange> {
        if self.outage_until.is_some_and(|until| now < until) {
            return Vec::new();
        }
        let late: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.missing_since.is_some())
            .map(|(name, _)| name.clone())
            .collect();
        let gone = late.iter().filter_map(|name| self.withdraw(now, name));
        gone.collect()
    }

    pub fn get(&self, name: &TargetName) -> Option<&RosterEntry> {
        self.entries.get(name)
    }

    pub fn get_mut(&mut self, name: &TargetName) -> Option<&mut RosterEntry> {
        self.entries.get_mut(name)
    }

    /// Ends all ejections, since the router itself was the reason of recent failures.
    pub fn clear_ejections(&mut self) {
        for entry in self.entries.values_mut() {
            entry.stats.clear_ejection();
            entry.stats.pace.open();
        }
    }

    pub fn stats_mut(&mut self, name: &TargetName) -> Option<&mut TargetStats> {
        self.entries.get_mut(name).map(|entry| &mut entry.stats)
    }

    /// Returns the targets of a service that accept new requests.
    pub fn ready<'a>(&'a self, service: &ServiceName) -> impl Iterator<Item = &'a RosterEntry> {
        let service = service.clone();
        self.entries
            .values()
            .filter(move |entry| entry.record.service == service && entry.accepts_requests())
    }

    /// Returns the targets of a service that leave, by their entries or by their responses.
    pub fn leaving<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a RosterEntry> {
        self.entries
            .values()
            .filter(move |entry| entry.record.service == *service && entry.is_leaving())
    }

    /// Returns the software version of a service's targets if all that are listed, or have left while
    /// a stream that they began may still be resumed, are of one version.
    ///
    /// Which targets have left before the first listing is not known. So there is no such version until
    /// streams of at most `span_ms` that such targets ran would have come back.
    pub fn sole_version(
        &self,
        now: ClockTime,
        service: &ServiceName,
        span_ms: u64,
    ) -> Option<SoftwareVersion> {
        let since = self.first_listed_at?;
        if now.since(since) < span_ms.saturating_add(RETURN_MS) {
            return None;
        }
        let listed = self.entries.values().map(|entry| &entry.record);
        let listed = listed.filter(|record| record.service == *service);
        let left = self.left.iter().filter(|((other, _), left_at)| {
            other == service && now.since(**left_at) < ORIGIN_RETENTION_MS
        });
        let mut versions = listed
            .map(|record| &record.version)
            .chain(left.map(|((_, version), _)| version));
        let first = versions.next()?;
        versions
            .all(|version| version == first)
            .then(|| first.clone())
    }

    /// Returns all targets for changes of what is known of them.
    pub fn entries_mut(&mut self) -> impl Iterator<Item = &mut RosterEntry> {
        self.entries.values_mut()
    }

    /// Recomputes the steps of speed of all targets, once a second at most; returns their changes.
    pub fn look_at_speeds(&mut self, now: ClockTime) -> Vec<StepChange> {
        self.speeds.look(now, self.entries.values_mut())
    }

    /// Returns all targets.
    pub fn entries(&self) -> impl Iterator<Item = &RosterEntry> {
        self.entries.values()
    }
}
