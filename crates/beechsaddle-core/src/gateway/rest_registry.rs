//! The `rest_registry` module provides the rests that targets have asked this router for.

use std::collections::BTreeMap;

use super::{TargetIncarnation, TargetRecord};
use crate::clock::ClockTime;

/// How long after its rest a target gets only what fits into its slots, in milliseconds. In this time
/// its answers show whether it takes more.
const RECOVERY_MS: u64 = 1_000;

/// The wait for a free slot of a target that recovers, in milliseconds: most plain requests end in
/// this time.
const SLOT_WAIT_MS: u64 = 150;

/// The ends of rests, by incarnation.
///
/// They are kept apart from the entries of targets, as an entry that expires and comes back under the
/// same incarnation still rests. A rest of any length is believed: an operator ends one that is a
/// mistake by a restart of the target, and a shorter time would be the router's own guess.
#[derive(Clone, Debug, Default)]
pub struct RestRegistry {
    ends: BTreeMap<TargetIncarnation, ClockTime>,
}

impl RestRegistry {
    /// Records that an answer that was received now asks for rest; returns whether the target rests
    /// longer than known before. A later answer with a shorter rest changes nothing, as each one is
    /// a request of its own.
    pub fn record(&mut self, now: ClockTime, target: TargetIncarnation, rest_ms: u64) -> bool {
        self.ends.retain(|_, end| now < end.plus_ms(RECOVERY_MS));
        if rest_ms == 0 {
            return false;
        }
        let end = now.plus_ms(rest_ms);
        let known = self.ends.entry(target).or_insert(now);
        let is_longer = end > *known;
        *known = end.max(*known);
        is_longer
    }

    /// Whether any target rests or has just rested.
    pub fn has_any(&self, now: ClockTime) -> bool {
        let mut ends = self.ends.values();
        ends.any(|end| now < end.plus_ms(RECOVERY_MS))
    }

    /// Returns how long a target still rests, in milliseconds.
    pub fn left_ms(&self, now: ClockTime, target: &TargetRecord) -> u64 {
        self.end_of(target).map_or(0, |end| end.since(now))
    }

    /// Returns how long this router sends a target nothing, in milliseconds; `active` of its requests
    /// are in flight there, and `routers` share the target.
    ///
    /// Directly after the rest, when all that waited would come at once, the target gets this router's
    /// part of its slots.
    pub fn wait_ms(&self, now: ClockTime, target: &TargetRecord, active: u64, routers: u64) -> u64 {
        let Some(end) = self.end_of(target) else {
            return 0;
        };
        let left_ms = end.since(now);
        let is_recovering = left_ms == 0 && now < end.plus_ms(RECOVERY_MS);
        let part = target.slots.div_ceil(routers.max(1)).max(1);
        match is_recovering && active >= part {
            true => SLOT_WAIT_MS,
            false => left_ms,
        }
    }

    fn end_of(&self, target: &TargetRecord) -> Option<ClockTime> {
        match self.ends.is_empty() {
            true => None,
            false => self.ends.get(&target.incarnation()).copied(),
        }
    }
}
