//! The `crash_registry` module provides the record of requests that may crash the targets which run
//! them.

use std::collections::{BTreeMap, BTreeSet};

use super::crash_suspect::{CRASHES_MAX, CrashSuspect};
use super::{CrashReport, SuspectKey, TargetIncarnation};
use crate::clock::ClockTime;

/// The largest number of suspected requests. A flood of different requests costs a router a few
/// hundred kilobytes.
const SUSPECTS_MAX: usize = 512;

/// The decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashVerdict {
    /// The request is routed normally.
    Clear,
    /// The request may have crashed one or two targets and is isolated from other requests.
    Suspected,
    /// The request may have crashed three or more targets, but all at once or long ago: one router
    /// of each domain tries it, one attempt at a time.
    OnTrial,
    /// The request is refused.
    Blocked {
        /// The remaining time of the refusal, in milliseconds.
        left_ms: u64,
    },
}

/// The crashes that this router observed or received reports of, and the requests refused because
/// of them.
///
/// A crash ends everything that runs on a target, so each request there is a suspect until it runs
/// to completion. Among the remaining suspects, the request under which most targets crashed is
/// taken for the cause once there are three crashes and it was retried in between; crashes
/// attributed to it no longer count against other requests. If two requests crash together and the
/// wrong one is blocked, the next crash of the other corrects the verdict.
#[derive(Clone, Debug, Default)]
pub struct CrashRegistry {
    suspects: BTreeMap<SuspectKey, CrashSuspect>,
    blocked: BTreeSet<SuspectKey>,
    explained: BTreeSet<TargetIncarnation>,
}

impl CrashRegistry {
    /// Merges a crash that was observed here or received; returns whether it changed anything.
    pub fn record(&mut self, now: ClockTime, report: CrashReport) -> bool {
        let CrashReport {
            fingerprint,
            target,
            facts,
        } = report;
        let suspect = self.suspects.entry(fingerprint).or_default();
        let is_new = suspect.record(target, facts);
        if suspect.retained_until() < now {
            self.suspects.remove(&fingerprint);
            self.update_blocked();
            return false;
        }
        if is_new {
            self.bound_size(fingerprint);
            self.update_blocked();
        }
        is_new
    }

    /// Records that a request ran to completion; returns the changed reports, for other routers.
    pub fn clear(&mut self, fingerprint: SuspectKey) -> Vec<CrashReport> {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return Vec::new();
        };
        let cleared = suspect.clear().into_iter();
        let cleared: Vec<_> = cleared
            .map(|(target, facts)| CrashReport {
                fingerprint,
                target,
                facts,
            })
            .collect();
        if !cleared.is_empty() {
            self.update_blocked();
        }
        cleared
    }

    /// Returns the number of crashes that a request may have caused and that no other request
    /// explains.
    pub fn crash_count(&self, fingerprint: SuspectKey) -> usize {
        let Some(suspect) = self.suspects.get(&fingerprint) else {
            return 0;
        };
        match self.blocked.contains(&fingerprint) {
            true => suspect.targets().count(),
            false => suspect.count_unexplained(&self.explained),
        }
    }

    /// Returns how many of these crashes are old enough that another one under the request counts
    /// as a repeat.
    pub fn settled_count(&self, now: ClockTime, fingerprint: SuspectKey) -> usize {
        let suspect = self.suspects.get(&fingerprint);
        suspect.map_or(0, |suspect| suspect.settled_count(now, &self.explained))
    }

    /// Returns the decision on a request that arrives now.
    pub fn verdict(&self, now: ClockTime, fingerprint: SuspectKey) -> CrashVerdict {
        let Some(suspect) = self.suspects.get(&fingerprint) else {
            return CrashVerdict::Clear;
        };
        let left_ms = suspect.blocked_until().since(now);
        if self.blocked.contains(&fingerprint) && left_ms > 0 {
            return CrashVerdict::Blocked { left_ms };
        }
        match self.crash_count(fingerprint) {
            0 => CrashVerdict::Clear,
            count if count < CRASHES_MAX => CrashVerdict::Suspected,
            _ => CrashVerdict::OnTrial,
        }
    }

    /// Returns the targets that a request may have crashed, for logs.
    pub fn targets(&self, fingerprint: SuspectKey) -> Vec<&TargetIncarnation> {
        let suspect = self.suspects.get(&fingerprint);
        suspect
            .into_iter()
            .flat_map(CrashSuspect::targets)
            .collect()
    }

    /// Whether all routers need the crash reports of a request.
    pub fn is_shared(&self, fingerprint: SuspectKey) -> bool {
        let suspect = self.suspects.get(&fingerprint);
        suspect.is_some_and(CrashSuspect::is_shared)
    }

    /// Returns all crash reports of a request.
    pub fn reports(&self, fingerprint: SuspectKey) -> Vec<CrashReport> {
        let suspect = self.suspects.get(&fingerprint);
        let reports = suspect.map(|suspect| suspect.reports(fingerprint));
        reports.into_iter().flatten().collect()
    }

    /// Returns all crash reports that all routers need.
    pub fn shared(&self) -> impl Iterator<Item = CrashReport> {
        let suspects = self.suspects.iter();
        suspects
            .filter(|(_, suspect)| suspect.is_shared())
            .flat_map(|(fingerprint, suspect)| suspect.reports(*fingerprint))
    }

    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns the number of refused requests.
    pub fn blocked_count(&self) -> usize {
        self.blocked.len()
    }

    /// Removes requests whose retention time has passed.
    pub fn expire(&mut self, now: ClockTime) {
        let before = self.suspects.len();
        self.suspects
            .retain(|_, suspect| suspect.retained_until() >= now);
        if self.suspects.len() != before {
            self.update_blocked();
        }
    }

    /// Evicts the request with the fewest crashes if there are too many, but not the one that was
    /// just recorded.
    fn bound_size(&mut self, newest: SuspectKey) {
        if self.suspects.len() <= SUSPECTS_MAX {
            return;
        }
        let others = self
            .suspects
            .iter()
            .filter(|(fingerprint, _)| **fingerprint != newest);
        let least =
            others.min_by_key(|(_, suspect)| (suspect.targets().count(), suspect.retained_until()));
        if let Some(fingerprint) = least.map(|(fingerprint, _)| *fingerprint) {
            self.suspects.remove(&fingerprint);
        }
    }

    /// Determines which requests explain the crashes, starting with the most likely cause.
    fn update_blocked(&mut self) {
        self.blocked.clear();
        self.explained.clear();
        let mut open: Vec<_> = self
            .suspects
            .iter()
            .filter(|(_, suspect)| suspect.targets().count() >= CRASHES_MAX)
            .filter(|(_, suspect)| suspect.has_repeated())
            .collect();
        loop {
            let likeliest = open.iter().enumerate().max_by_key(|(_, (_, suspect))| {
                // If two requests crashed the same targets, prefers the one with the shorter run
                // time.
                let brevity = u64::MAX - suspect.run_ms();
                (suspect.count_unexplained(&self.explained), brevity)
            });
            let Some((index, (fingerprint, suspect))) = likeliest else {
                return;
            };
            if suspect.count_unexplained(&self.explained) < CRASHES_MAX {
                return;
            }
            self.blocked.insert(**fingerprint);
            self.explained.extend(suspect.targets().cloned());
            open.swap_remove(index);
        }
    }
}
