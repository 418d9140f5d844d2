//! The `crash_suspect` module provides the crashes recorded for one request or prompt part.

use std::collections::{BTreeMap, BTreeSet};

use super::{CrashFacts, CrashReport, SuspectKey, SuspectKind, TargetIncarnation};
use crate::clock::ClockTime;

/// Number of crashes under one request after which it is refused: as many as the platform
/// tolerates.
const REQUEST_CRASHES_MAX: usize = 3;

/// Number of crashes under one prompt part after which requests with it are refused: as many as the
/// platform tolerates.
const PART_CRASHES_MAX: usize = 5;

/// Number of crashes under one prompt part from which requests with it are tried one at a time. One
/// more may have happened that no router saw, and many such requests may arrive at once.
const PART_TRIAL_MIN: usize = 4;

/// Number of these that a request must have repeated, see [`CrashSuspect::has_repeated`].
const REQUEST_REPEATS_MIN: usize = 1;

/// The same for a prompt part. Many requests with a part may run on targets that end one after the
/// other for a reason of their own.
const PART_REPEATS_MIN: usize = 2;

/// Number of crashes from which all routers need to know them: the next ones may decide.
const SHARED_MIN: usize = 2;

/// The age from which a crash counts for detecting a repeat, in milliseconds. Targets that are
/// killed together are found dead one after the other, and a request retried after the first may
/// reach the next.
const SETTLED_MS: u64 = 100;

/// Number of crashes retained for one suspect.
const RETAINED_MAX: usize = 16;

/// The first time for which a request is refused after its last crash, in milliseconds: long enough
/// that callers who keep retrying cost hardly any targets, and short enough that a fixed target
/// soon serves the request again.
const FIRST_BLOCK_MS: u64 = 600_000;

/// The number of times that the refusal doubles, once for each further crash: up to about ten
/// hours.
const DOUBLINGS_MAX: usize = 6;

/// A request or prompt part under which targets have crashed.
#[derive(Clone, Debug)]
pub(super) struct CrashSuspect {
    kind: SuspectKind,
    crashes: BTreeMap<TargetIncarnation, CrashFacts>,
}

impl CrashSuspect {
    /// Creates a suspect without crashes.
    pub(super) fn new(kind: SuspectKind) -> Self {
        CrashSuspect {
            kind,
            crashes: BTreeMap::new(),
        }
    }

    /// Returns the number of crashes after which requests are refused.
    pub(super) fn crashes_max(&self) -> usize {
        match self.kind {
            SuspectKind::Request => REQUEST_CRASHES_MAX,
            SuspectKind::Part => PART_CRASHES_MAX,
        }
    }

    /// Merges a crash; returns whether it changed anything.
    pub(super) fn record(&mut self, target: TargetIncarnation, facts: CrashFacts) -> bool {
        let known = self.crashes.get(&target).copied();
        let merged = known.map_or(facts, |known| known.merge(facts));
        if known == Some(merged) {
            return false;
        }
        if known.is_none() && self.crashes.len() >= RETAINED_MAX {
            // Routers that dropped a crash must not take it up again from those that did not yet.
            let is_older = self
                .oldest_at()
                .is_some_and(|oldest| facts.seen_at <= oldest);
            if is_older {
                return false;
            }
            self.drop_oldest();
        }
        self.crashes.insert(target, merged);
        true
    }

    /// Returns the number of crashes from which requests are tried one at a time.
    pub(super) fn trial_min(&self) -> usize {
        match self.kind {
            SuspectKind::Request => REQUEST_CRASHES_MAX,
            SuspectKind::Part => PART_TRIAL_MIN,
        }
    }

    /// Records that a request ran to completion; returns the crashes that it is no longer
    /// suspected of.
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

    /// Returns the targets that the suspect may have crashed.
    pub(super) fn targets(&self) -> impl Iterator<Item = &TargetIncarnation> {
        self.open().map(|(target, _)| target)
    }

    /// Returns the number of crashes that no other request explains.
    pub(super) fn count_unexplained(&self, explained: &BTreeSet<TargetIncarnation>) -> usize {
        let targets = self.targets();
        targets.filter(|target| !explained.contains(target)).count()
    }

    /// Returns the number of unexplained crashes that are at least `SETTLED_MS` old.
    pub(super) fn settled_count(
        &self,
        now: ClockTime,
        explained: &BTreeSet<TargetIncarnation>,
    ) -> usize {
        let settled = self.open().filter(|(target, facts)| {
            now.since(facts.seen_at) >= SETTLED_MS && !explained.contains(target)
        });
        settled.count()
    }

    /// Whether targets crashed under the suspect after a router knew that others had, often enough to
    /// take it for the cause.
    ///
    /// If many targets end at once by a fault of their own, what runs on several of them looks like
    /// the cause. It does not crash another target when it is retried.
    pub(super) fn has_repeated(&self) -> bool {
        let repeats = self.open().filter(|(_, facts)| facts.known_before > 0);
        let repeats_min = match self.kind {
            SuspectKind::Request => REQUEST_REPEATS_MIN,
            SuspectKind::Part => PART_REPEATS_MIN,
        };
        repeats.count() >= repeats_min
    }

    /// Whether the suspect may have crashed a target.
    pub(super) fn has_crash(&self, target: &TargetIncarnation) -> bool {
        let facts = self.crashes.get(target);
        facts.is_some_and(|facts| !facts.is_cleared)
    }

    /// Returns the sum of the times that targets had a request before they crashed, in
    /// milliseconds.
    pub(super) fn run_ms(&self) -> u64 {
        self.open().map(|(_, facts)| u64::from(facts.run_ms)).sum()
    }

    /// Returns the end of the refusal, should requests be refused.
    pub(super) fn blocked_until(&self) -> ClockTime {
        self.last_at().plus_ms(self.block_ms())
    }

    /// Returns the end of the retention: the length of the refusal after its end. One more crash in
    /// that time has the request refused at once, and for longer.
    pub(super) fn retained_until(&self) -> ClockTime {
        self.blocked_until().plus_ms(self.block_ms())
    }

    /// Whether other routers need the crashes.
    pub(super) fn is_shared(&self) -> bool {
        self.crashes.len() >= SHARED_MIN
    }

    /// Whether the store needs the crashes. Those of parts without a repeat are many whenever targets
    /// end for a reason of their own, and each write has all that follow the store read it.
    pub(super) fn is_stored(&self) -> bool {
        match self.kind {
            SuspectKind::Request => self.is_shared(),
            SuspectKind::Part => {
                let has_repeat = self.open().any(|(_, facts)| facts.known_before > 0);
                has_repeat && self.open().count() >= SHARED_MIN
            }
        }
    }

    /// Returns all crashes as reports for other routers.
    pub(super) fn reports(&self, key: SuspectKey) -> impl Iterator<Item = CrashReport> {
        let crashes = self.crashes.iter();
        crashes.map(move |(target, facts)| CrashReport {
            key,
            target: target.clone(),
            facts: *facts,
        })
    }

    fn open(&self) -> impl Iterator<Item = (&TargetIncarnation, &CrashFacts)> {
        self.crashes.iter().filter(|(_, facts)| !facts.is_cleared)
    }

    /// Returns when another crash counts as a repeat: once the first of the open ones is settled.
    pub(super) fn settled_at(&self) -> ClockTime {
        let seen = self.open().map(|(_, facts)| facts.seen_at);
        let first_at = seen.min();
        first_at.map_or(ClockTime::ZERO, |first_at| first_at.plus_ms(SETTLED_MS))
    }

    /// Returns when the last crash was seen.
    pub(super) fn last_at(&self) -> ClockTime {
        let seen = self.crashes.values().map(|facts| facts.seen_at);
        seen.max().unwrap_or(ClockTime::ZERO)
    }

    fn block_ms(&self) -> u64 {
        let beyond = self.open().count().saturating_sub(self.crashes_max());
        FIRST_BLOCK_MS << beyond.min(DOUBLINGS_MAX)
    }

    fn oldest_at(&self) -> Option<ClockTime> {
        self.crashes.values().map(|facts| facts.seen_at).min()
    }

    fn drop_oldest(&mut self) {
        let oldest = self.crashes.iter().min_by_key(|(_, facts)| facts.seen_at);
        if let Some(target) = oldest.map(|(target, _)| target.clone()) {
            self.crashes.remove(&target);
        }
    }
}
