//! The `speed_plan` module provides what the speed of targets means for one choice.

use super::target_chooser::ACTIVE_TOKENS;
use super::target_roster::RosterEntry;
use super::{ChoiceInput, SpeedKind, SpeedStep};
use crate::clock::ClockTime;
use crate::hash::rendezvous_weight;

/// The prompt tokens, shared or, without a shared part, its own, from which a request waits longer for
/// reading than between two events.
const LONG_PROMPT_TOKENS: u64 = 2_000;

/// Cost of each step of an engine, in streams in flight: beside that many, a usual engine takes as
/// long for an event as a slow one alone.
const STEP_STREAMS: f64 = 8.0;

/// Cost of an engine whose slots are all taken by the fleet's streams, in tokens: more than processing
/// the shared tokens of most prompts elsewhere, as it would decline the request.
const FULL_TOKENS: f64 = 20_000.0;

/// What the speed of targets means for one choice.
///
/// If all candidates are as fast as usual, all of it is neutral.
#[derive(Clone, Copy, Debug)]
pub(super) struct SpeedPlan {
    kind: SpeedKind,
    is_uneven: bool,
}

/// The rank of a target in the order of a shared part; the highest one is its affinity target.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub(super) struct PlaceRank {
    score: f64,
    weight: u64,
}

impl PlaceRank {
    pub(super) const LEAST: PlaceRank = PlaceRank {
        score: f64::NEG_INFINITY,
        weight: 0,
    };
}

impl SpeedPlan {
    pub(super) fn new(candidates: &[&RosterEntry], input: &ChoiceInput<'_>) -> Self {
        let waiting_tokens = match input.prompt.shared_id() {
            Some(_) => input.prompt.shared_tokens(),
            None => input.prompt.own_tokens(),
        };
        let kind = match waiting_tokens >= LONG_PROMPT_TOKENS {
            true => SpeedKind::Reading,
            false => SpeedKind::Events,
        };
        let is_slow = |entry: &&RosterEntry| entry.steps.step(kind) > SpeedStep::Usual;
        SpeedPlan {
            kind,
            is_uneven: input.policy.places_by_speed && candidates.iter().any(is_slow),
        }
    }

    /// Returns the step that counts for the request.
    pub(super) fn step(&self, entry: &RosterEntry) -> SpeedStep {
        match self.is_uneven {
            true => entry.steps.step(self.kind),
            false => SpeedStep::Usual,
        }
    }

    /// Returns how many times the usual time a target takes at least, roughly.
    pub(super) fn slowdown(&self, entry: &RosterEntry) -> f64 {
        self.step(entry).slowdown()
    }

    /// Returns the cost of an engine's speed, in tokens.
    pub(super) fn cost_tokens(&self, entry: &RosterEntry, now: ClockTime) -> f64 {
        if !self.is_uneven {
            return 0.0;
        }
        let steps = match self.step(entry) {
            SpeedStep::Usual => 0.0,
            SpeedStep::Slow => 1.0,
            SpeedStep::VerySlow => 2.0,
        };
        let is_full = entry.fleet_active(now) >= entry.record.slots.max(1);
        let full = if is_full { FULL_TOKENS } else { 0.0 };
        steps * STEP_STREAMS * ACTIVE_TOKENS + full
    }

    /// Returns a target's rank in the order of a shared part: weighted rendezvous hashing. The rank
    /// depends on no other target, so that a change of step moves the parts of one target only.
    pub(super) fn rank(&self, shared: &str, entry: &RosterEntry) -> PlaceRank {
        let weight = rendezvous_weight(shared, entry.record.name.as_str());
        let score = match self.is_uneven {
            true => unit(weight).ln() / self.step(entry).weight(),
            false => 0.0,
        };
        PlaceRank { score, weight }
    }
}

/// Scales a weight to a value above 0 and up to 1.
fn unit(weight: u64) -> f64 {
    (weight as f64 + 0.5) / (u64::MAX as f64 + 1.0)
}
