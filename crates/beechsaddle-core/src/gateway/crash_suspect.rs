//! The `crash_suspect` module provides the crashes that were seen under one request.

use std::collections::{BTreeMap, BTreeSet};

use super::{CrashFacts, CrashSighting, RequestFingerprint, TargetIncarnation};
use crate::clock::ClockTime;

/// Crashes under one request after which it is refused: as many as the platform forgives.
pub(super) const CRASHES_MAX: usize = 3;

/// How long ago a crash was seen when what follows it counts as a repeat, in milliseconds. Targets that are killed
/// together are found dead one after the other, and a request that is sent on from the first meets the next.
const SETTLED_MS: u64 = 100;

/// Crashes that are kept of one request.
const KEPT_MAX: usize = 16;

/// How long a request is refused after its last crash at first, in milliseconds: long enough that callers who ask
/// again and again cost next to no target, and short enough that a mended target soon serves it again.
const FIRST_BLOCK_MS: u64 = 600_000;

/// How often that span doubles, once for each further crash: about ten hours in the end.
const DOUBLINGS_MAX: usize = 6;

/// A request under which targets have crashed.
#[derive(Clone, Debug, Default)]
pub(super) struct CrashSuspect {
    crashes: BTreeMap<TargetIncarnation, CrashFacts>,
}

impl CrashSuspect {
    /// Takes over a crash; tells whether that changed anything.
    pub(super) fn note(&mut self, target: TargetIncarnation, facts: CrashFacts) -> bool {
        let known = self.crashes.get(&target).copied();
        let merged = known.map_or(facts, |known| known.merge(facts));
        if known == Some(merged) {
            return false;
        }
        if known.is_none() && self.crashes.len() >= KEPT_MAX {
            self.drop_oldest();
        }
        self.crashes.insert(target, merged);
        true
    }

    /// Notes that the request ran to its end; gives the targets that this clears it of.
    pub(super) fn clear(&mut self) -> Vec<(TargetIncarnation, CrashFacts)> {
        let mut cleared = Vec::new();
        for (target, facts) in &mut self.crashes {
            if !facts.is_cleared {
                facts.is_cleared = true;
                cleared.push((target.clone(), *facts));
            }
        }
        cleared
    }

    /// The targets that may have crashed because of the request.
    pub(super) fn targets(&self) -> impl Iterator<Item = &TargetIncarnation> {
        self.open().map(|(target, _)| target)
    }

    /// How many of them nothing else explains.
    pub(super) fn count_beside(&self, explained: &BTreeSet<TargetIncarnation>) -> usize {
        let targets = self.targets();
        targets.filter(|target| !explained.contains(target)).count()
    }

    /// How many of them nothing else explains and were seen some time before `now`.
    pub(super) fn settled_beside(
        &self,
        now: ClockTime,
        explained: &BTreeSet<TargetIncarnation>,
    ) -> usize {
        let settled = self.open().filter(|(target, facts)| {
            now.since(facts.seen_at) >= SETTLED_MS && !explained.contains(target)
        });
        settled.count()
    }

    /// Whether the request crashed a target after a router knew that it had crashed another one.
    ///
    /// Where many targets end at once by a fault of their own, a request that runs on several of them looks like the
    /// cause. That it was sent again and crashed again does not happen to such a request.
    pub(super) fn has_repeated(&self) -> bool {
        self.open().any(|(_, facts)| facts.known_before > 0)
    }

    /// How long targets had the request before they crashed, added up, in milliseconds.
    pub(super) fn run_ms(&self) -> u64 {
        self.open().map(|(_, facts)| u64::from(facts.run_ms)).sum()
    }

    /// Until when the request is refused, if it is.
    pub(super) fn blocked_until(&self) -> ClockTime {
        self.last_at().plus_ms(self.block_ms())
    }

    /// Until when the crashes are remembered: as long again as the request was refused. One more crash in that
    /// time has it refused at once, and for longer.
    pub(super) fn kept_until(&self) -> ClockTime {
        self.blocked_until().plus_ms(self.block_ms())
    }

    /// Whether other routers need to know of it: with two crashes the next one decides.
    pub(super) fn is_shared(&self) -> bool {
        self.crashes.len() + 1 >= CRASHES_MAX
    }

    /// All crashes, as they are told to others.
    pub(super) fn sightings(
        &self,
        fingerprint: RequestFingerprint,
    ) -> impl Iterator<Item = CrashSighting> {
        let crashes = self.crashes.iter();
        crashes.map(move |(target, facts)| CrashSighting {
            fingerprint,
            target: target.clone(),
            facts: *facts,
        })
    }

    fn open(&self) -> impl Iterator<Item = (&TargetIncarnation, &CrashFacts)> {
        self.crashes.iter().filter(|(_, facts)| !facts.is_cleared)
    }

    fn last_at(&self) -> ClockTime {
        let seen = self.crashes.values().map(|facts| facts.seen_at);
        seen.max().unwrap_or(ClockTime::ZERO)
    }

    fn block_ms(&self) -> u64 {
        let beyond = self.open().count().saturating_sub(CRASHES_MAX);
        FIRST_BLOCK_MS << beyond.min(DOUBLINGS_MAX)
    }

    fn drop_oldest(&mut self) {
        let oldest = self.crashes.iter().min_by_key(|(_, facts)| facts.seen_at);
        if let Some(target) = oldest.map(|(target, _)| target.clone()) {
            self.crashes.remove(&target);
        }
    }
}
