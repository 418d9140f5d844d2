//! The `crash_book` module provides what is known of requests that crash the targets which run them.

use std::collections::{BTreeMap, BTreeSet};

use super::crash_suspect::{CRASHES_MAX, CrashSuspect};
use super::{CrashSighting, RequestFingerprint, TargetIncarnation};
use crate::clock::ClockTime;

/// Requests that are kept in mind. A flood of different ones costs a router a few hundred kilobytes.
const SUSPECTS_MAX: usize = 512;

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashVerdict {
    /// It goes the usual way.
    Clear,
    /// It may have crashed one or two targets: it is sent apart from others.
    Suspected,
    /// It may have crashed more, at once, or long ago: one router of a domain tries it, once at a time.
    OnTrial,
    /// It is refused.
    Blocked {
        /// For how long yet, in milliseconds.
        left_ms: u64,
    },
}

/// What this router has seen and heard of crashes, and which requests it refuses for them.
///
/// A crash ends everything that runs on a target, so that each request there is a suspect. Whatever runs to its end
/// is cleared. Of those that are left, the one under which most targets crashed is taken for the cause once there
/// are three and it was sent again in between; the crashes that it explains no longer count against others. A verdict
/// against the wrong one of two that crashed together rights itself with the next crash of the other one.
#[derive(Clone, Debug, Default)]
pub struct CrashBook {
    suspects: BTreeMap<RequestFingerprint, CrashSuspect>,
    blocked: BTreeSet<RequestFingerprint>,
    explained: BTreeSet<TargetIncarnation>,
}

impl CrashBook {
    /// Takes over a crash that was seen here or heard of; tells whether it is news.
    pub fn note(&mut self, now: ClockTime, sighting: CrashSighting) -> bool {
        let CrashSighting {
            fingerprint,
            target,
            facts,
        } = sighting;
        let suspect = self.suspects.entry(fingerprint).or_default();
        let is_news = suspect.note(target, facts);
        if suspect.kept_until() < now {
            self.suspects.remove(&fingerprint);
            self.judge();
            return false;
        }
        if is_news {
            self.bound_size(fingerprint);
            self.judge();
        }
        is_news
    }

    /// Notes that a request ran to its end; gives what changed by it, for other routers.
    pub fn clear(&mut self, fingerprint: RequestFingerprint) -> Vec<CrashSighting> {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return Vec::new();
        };
        let cleared = suspect.clear().into_iter();
        let cleared: Vec<_> = cleared
            .map(|(target, facts)| CrashSighting {
                fingerprint,
                target,
                facts,
            })
            .collect();
        if !cleared.is_empty() {
            self.judge();
        }
        cleared
    }

    /// How many crashes a request may have caused that nothing else explains.
    pub fn crash_count(&self, fingerprint: RequestFingerprint) -> usize {
        let Some(suspect) = self.suspects.get(&fingerprint) else {
            return 0;
        };
        match self.blocked.contains(&fingerprint) {
            true => suspect.targets().count(),
            false => suspect.count_beside(&self.explained),
        }
    }

    /// How many of these crashes were not seen just now, so that one more under the request is a repeat.
    pub fn settled_count(&self, now: ClockTime, fingerprint: RequestFingerprint) -> usize {
        let suspect = self.suspects.get(&fingerprint);
        suspect.map_or(0, |suspect| suspect.settled_beside(now, &self.explained))
    }

    /// What becomes of a request that arrives now.
    pub fn verdict(&self, now: ClockTime, fingerprint: RequestFingerprint) -> CrashVerdict {
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

    /// The targets that a request may have crashed, for logs.
    pub fn targets(&self, fingerprint: RequestFingerprint) -> Vec<&TargetIncarnation> {
        let suspect = self.suspects.get(&fingerprint);
        suspect
            .into_iter()
            .flat_map(CrashSuspect::targets)
            .collect()
    }

    /// Whether every router needs to know what is known of a request.
    pub fn is_shared(&self, fingerprint: RequestFingerprint) -> bool {
        let suspect = self.suspects.get(&fingerprint);
        suspect.is_some_and(CrashSuspect::is_shared)
    }

    /// All crashes of a request.
    pub fn sightings(&self, fingerprint: RequestFingerprint) -> Vec<CrashSighting> {
        let suspect = self.suspects.get(&fingerprint);
        let sightings = suspect.map(|suspect| suspect.sightings(fingerprint));
        sightings.into_iter().flatten().collect()
    }

    /// All crashes that every router needs to know.
    pub fn shared(&self) -> impl Iterator<Item = CrashSighting> {
        let suspects = self.suspects.iter();
        suspects
            .filter(|(_, suspect)| suspect.is_shared())
            .flat_map(|(fingerprint, suspect)| suspect.sightings(*fingerprint))
    }

    /// Whether nothing is known of any request.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// How many requests are refused.
    pub fn blocked_count(&self) -> usize {
        self.blocked.len()
    }

    /// Forgets requests whose time is over.
    pub fn expire(&mut self, now: ClockTime) {
        let before = self.suspects.len();
        self.suspects
            .retain(|_, suspect| suspect.kept_until() >= now);
        if self.suspects.len() != before {
            self.judge();
        }
    }

    /// Drops the request that tells least where there are too many, but not the one that was just noted.
    fn bound_size(&mut self, newest: RequestFingerprint) {
        if self.suspects.len() <= SUSPECTS_MAX {
            return;
        }
        let others = self
            .suspects
            .iter()
            .filter(|(fingerprint, _)| **fingerprint != newest);
        let least =
            others.min_by_key(|(_, suspect)| (suspect.targets().count(), suspect.kept_until()));
        if let Some(fingerprint) = least.map(|(fingerprint, _)| *fingerprint) {
            self.suspects.remove(&fingerprint);
        }
    }

    /// Finds the requests that explain the crashes, the likeliest first.
    fn judge(&mut self) {
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
                // Of two that crashed the same targets, the one that had just begun each time.
                let brevity = u64::MAX - suspect.run_ms();
                (suspect.count_beside(&self.explained), brevity)
            });
            let Some((place, (fingerprint, suspect))) = likeliest else {
                return;
            };
            if suspect.count_beside(&self.explained) < CRASHES_MAX {
                return;
            }
            self.blocked.insert(**fingerprint);
            self.explained.extend(suspect.targets().cloned());
            open.swap_remove(place);
        }
    }
}
