//! The `crash_registry` module provides the record of what may crash the targets that run it.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use super::crash_suspect::CrashSuspect;
use super::{CrashDecision, CrashReport, CrashVerdict, SuspectKey, SuspectKind, TargetIncarnation};
use crate::clock::ClockTime;

/// The largest number of suspected requests. A flood of different requests costs a router a few
/// hundred kilobytes.
const REQUESTS_MAX: usize = 512;

/// The largest number of suspected parts. One crash of a target with many requests adds some
/// hundreds, of which most are cleared soon.
const PARTS_MAX: usize = 2_048;

/// The largest number of reports that the store keeps: some 400 KB, of 1 MB that an object may have.
const STORED_REPORTS_MAX: usize = 2_048;

/// Number of crashes below which a suspect plays no part in finding the cause.
const RELEVANT_MIN: usize = 3;

/// Number of crashes by which two parts must differ to be told apart. One crash more or less may
/// have had another cause, or be known to fewer routers.
const SEPARATING_CRASHES: usize = 2;

/// The crashes that this router observed or received reports of, and the suspects that are refused
/// because of them.
///
/// A crash ends everything that runs on a target, so each request there and each part of its prompt
/// is a suspect until a request with it runs to completion. Among the remaining suspects, the one
/// under which most targets crashed is taken for the cause once the crashes are enough and it was
/// retried in between; crashes attributed to it no longer count against others. If two requests
/// crash together and the wrong one is blocked, the next crash of the other corrects the verdict.
///
/// Parts that crash together are refused where a request has all of them. Each by itself is
/// on trial: either it completes and is clear, or its next crash tells it from the others.
#[derive(Clone, Debug, Default)]
pub struct CrashRegistry {
    suspects: BTreeMap<SuspectKey, CrashSuspect>,
    blocked: BTreeSet<SuspectKey>,
    /// Sets of parts that cannot be told apart by the targets that crashed under them.
    inseparable: Vec<BTreeSet<SuspectKey>>,
    explained: BTreeSet<TargetIncarnation>,
}

impl CrashRegistry {
    /// Merges a crash that was observed here or received; returns whether it changed anything.
    pub fn record(&mut self, now: ClockTime, report: CrashReport) -> bool {
        let CrashReport { key, target, facts } = report;
        let suspect = self.suspects.entry(key);
        let suspect = suspect.or_insert_with(|| CrashSuspect::new(key.kind()));
        let was_relevant = is_relevant(suspect);
        let is_new = suspect.record(target, facts);
        let is_expired = suspect.retained_until() < now;
        let is_first = suspect.reports(key).nth(1).is_none();
        let is_relevant = was_relevant || is_relevant(suspect);
        if is_expired {
            self.suspects.remove(&key);
        } else if is_new && is_first {
            self.bound_size(key);
        }
        if is_relevant && (is_new || is_expired) {
            self.update_blocked();
        }
        is_new && !is_expired
    }

    /// Records that a request ran to completion; returns the changed reports, for other routers.
    pub fn clear(&mut self, key: SuspectKey) -> Vec<CrashReport> {
        let Some(suspect) = self.suspects.get_mut(&key) else {
            return Vec::new();
        };
        let was_relevant = is_relevant(suspect);
        let cleared = suspect.clear().into_iter();
        let cleared: Vec<_> = cleared
            .map(|(target, facts)| CrashReport { key, target, facts })
            .collect();
        if was_relevant {
            self.update_blocked();
        }
        cleared
    }

    /// Returns the number of crashes that a suspect may have caused and that no other suspect
    /// explains.
    pub fn crash_count(&self, key: SuspectKey) -> usize {
        let suspect = self.suspects.get(&key);
        suspect.map_or(0, |suspect| {
            suspect.count_unexplained(self.explained_for(key))
        })
    }

    /// Returns how many of these crashes are old enough that another one under the suspect counts
    /// as a repeat.
    pub fn settled_count(&self, now: ClockTime, key: SuspectKey) -> usize {
        let suspect = self.suspects.get(&key);
        suspect.map_or(0, |suspect| {
            suspect.settled_count(now, self.explained_for(key))
        })
    }

    /// Returns the decision on a request that has all of `keys` and arrives now.
    pub fn decide(&self, now: ClockTime, keys: &[SuspectKey]) -> CrashDecision {
        let mut trials = Vec::new();
        for key in keys {
            match self.verdict(now, *key) {
                CrashVerdict::Clear | CrashVerdict::Suspected => {}
                CrashVerdict::OnTrial => trials.push(*key),
                CrashVerdict::Blocked { left_ms } => {
                    return CrashDecision::Refused { key: *key, left_ms };
                }
            }
        }
        let mut inseparable = self.inseparable.iter();
        let held = inseparable.find(|parts| parts.iter().all(|part| keys.contains(part)));
        if let Some(key) = held.and_then(|parts| parts.first()) {
            let left_ms = self.blocked_for_ms(now, *key);
            if left_ms > 0 {
                return CrashDecision::Refused { key: *key, left_ms };
            }
        }
        match trials.is_empty() {
            true => CrashDecision::Admitted,
            false => CrashDecision::OnTrial(trials),
        }
    }

    /// Returns the decision on a suspect.
    pub fn verdict(&self, now: ClockTime, key: SuspectKey) -> CrashVerdict {
        let Some(suspect) = self.suspects.get(&key) else {
            return CrashVerdict::Clear;
        };
        let left_ms = suspect.blocked_until().since(now);
        if self.blocked.contains(&key) && left_ms > 0 {
            return CrashVerdict::Blocked { left_ms };
        }
        if self.is_inseparable(key) {
            return CrashVerdict::OnTrial;
        }
        match self.crash_count(key) {
            0 => CrashVerdict::Clear,
            count if count < suspect.trial_min() => CrashVerdict::Suspected,
            _ => CrashVerdict::OnTrial,
        }
    }

    /// Returns when another crash under a suspect counts as a repeat.
    pub fn settled_at(&self, key: SuspectKey) -> ClockTime {
        let suspect = self.suspects.get(&key);
        suspect.map_or(ClockTime::ZERO, CrashSuspect::settled_at)
    }

    /// Returns when the last crash under a suspect was seen.
    pub fn last_at(&self, key: SuspectKey) -> ClockTime {
        let suspect = self.suspects.get(&key);
        suspect.map_or(ClockTime::ZERO, CrashSuspect::last_at)
    }

    /// Whether a target is known to have crashed under a suspect.
    pub fn has_crash(&self, key: SuspectKey, target: &TargetIncarnation) -> bool {
        let suspect = self.suspects.get(&key);
        suspect.is_some_and(|suspect| suspect.has_crash(target))
    }

    /// Returns the targets that a suspect may have crashed, for logs.
    pub fn targets(&self, key: SuspectKey) -> Vec<&TargetIncarnation> {
        let suspect = self.suspects.get(&key);
        suspect
            .into_iter()
            .flat_map(CrashSuspect::targets)
            .collect()
    }

    /// Whether all routers need the crash reports of a suspect.
    pub fn is_shared(&self, key: SuspectKey) -> bool {
        let suspect = self.suspects.get(&key);
        suspect.is_some_and(CrashSuspect::is_shared)
    }

    /// Returns all crash reports of a suspect.
    pub fn reports(&self, key: SuspectKey) -> Vec<CrashReport> {
        let suspect = self.suspects.get(&key);
        let reports = suspect.map(|suspect| suspect.reports(key));
        reports.into_iter().flatten().collect()
    }

    /// Returns the crash reports that the store needs, those of suspects with most crashes first, as
    /// many as it keeps.
    pub fn stored(&self) -> impl Iterator<Item = CrashReport> {
        let suspects = self.suspects.iter();
        let stored = suspects.filter(|(_, suspect)| suspect.is_stored());
        let mut stored: Vec<_> = stored.collect();
        stored.sort_by_key(|(_, suspect)| Reverse(suspect.targets().count()));
        let reports = stored.into_iter();
        let reports = reports.flat_map(|(key, suspect)| suspect.reports(*key));
        reports.take(STORED_REPORTS_MAX)
    }

    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns the number of refused suspects of a kind.
    pub fn blocked_count(&self, kind: SuspectKind) -> usize {
        let blocked = self.blocked.iter().filter(|key| key.kind() == kind);
        blocked.count()
    }

    /// Removes suspects whose retention time has passed.
    pub fn expire(&mut self, now: ClockTime) {
        let before = self.suspects.len();
        self.suspects
            .retain(|_, suspect| suspect.retained_until() >= now);
        if self.suspects.len() != before {
            self.update_blocked();
        }
    }

    fn blocked_for_ms(&self, now: ClockTime, key: SuspectKey) -> u64 {
        let suspect = self.suspects.get(&key);
        suspect.map_or(0, |suspect| suspect.blocked_until().since(now))
    }

    /// Returns the crashes that do not count against a suspect. A cause is not excused by itself.
    fn explained_for(&self, key: SuspectKey) -> &BTreeSet<TargetIncarnation> {
        const NONE: &BTreeSet<TargetIncarnation> = &BTreeSet::new();
        match self.blocked.contains(&key) || self.is_inseparable(key) {
            true => NONE,
            false => &self.explained,
        }
    }

    fn is_inseparable(&self, key: SuspectKey) -> bool {
        self.inseparable.iter().any(|parts| parts.contains(&key))
    }

    /// Evicts the suspect with the fewest crashes if there are too many of a kind, but not the one that
    /// was just recorded.
    fn bound_size(&mut self, newest: SuspectKey) {
        let suspects_max = match newest.kind() {
            SuspectKind::Request => REQUESTS_MAX,
            SuspectKind::Part => PARTS_MAX,
        };
        let alike = self.suspects.iter();
        let alike = alike.filter(|(key, _)| key.kind() == newest.kind());
        if alike.clone().count() <= suspects_max {
            return;
        }
        let others = alike.filter(|(key, _)| **key != newest);
        let least =
            others.min_by_key(|(_, suspect)| (suspect.targets().count(), suspect.retained_until()));
        if let Some(key) = least.map(|(key, _)| *key) {
            self.suspects.remove(&key);
        }
    }

    /// Determines which suspects explain the crashes, starting with the most likely cause.
    fn update_blocked(&mut self) {
        self.blocked.clear();
        self.inseparable.clear();
        self.explained.clear();
        let mut open: BTreeSet<_> = self
            .suspects
            .iter()
            .filter(|(_, suspect)| suspect.targets().count() >= suspect.crashes_max())
            .filter(|(_, suspect)| suspect.has_repeated())
            .map(|(key, _)| *key)
            .collect();
        while let Some((key, suspect)) = self.likeliest(&open) {
            if suspect.count_unexplained(&self.explained) < suspect.crashes_max() {
                return;
            }
            let crashed: Vec<_> = suspect.targets().cloned().collect();
            let alike = self.parts_alike(key, suspect);
            open.remove(&key);
            self.explained.extend(crashed);
            if alike.len() > 1 {
                self.inseparable.push(alike);
            } else {
                self.blocked.insert(key);
            }
        }
    }

    /// Returns the suspect that explains most crashes. Of a request and its parts that crashed the
    /// same targets, prefers the request, as fewer callers depend on it; of two requests, the one
    /// with the shorter run time.
    fn likeliest(&self, open: &BTreeSet<SuspectKey>) -> Option<(SuspectKey, &CrashSuspect)> {
        let open = open.iter().filter_map(|key| {
            let suspect = self.suspects.get(key);
            suspect.map(|suspect| (*key, suspect))
        });
        open.max_by_key(|(key, suspect)| {
            let is_request = key.kind() == SuspectKind::Request;
            let brevity = u64::MAX - suspect.run_ms();
            let count = suspect.count_unexplained(&self.explained);
            (count, is_request, brevity)
        })
    }

    /// Returns the parts that cannot be told apart from `suspect` by the crashes that it explains; only
    /// itself if it is a request.
    fn parts_alike(&self, key: SuspectKey, suspect: &CrashSuspect) -> BTreeSet<SuspectKey> {
        if key.kind() == SuspectKind::Request {
            return BTreeSet::from([key]);
        }
        let unexplained = suspect.targets();
        let unexplained = unexplained.filter(|target| !self.explained.contains(target));
        let unexplained: Vec<_> = unexplained.collect();
        let parts = self.suspects.iter();
        let parts = parts.filter(|(key, _)| key.kind() == SuspectKind::Part);
        let alike = parts.filter(|(_, other)| {
            let missing = unexplained.iter().filter(|target| !other.has_crash(target));
            missing.count() < SEPARATING_CRASHES
        });
        alike.map(|(key, _)| *key).collect()
    }
}

fn is_relevant(suspect: &CrashSuspect) -> bool {
    suspect.targets().count() >= RELEVANT_MIN
}
