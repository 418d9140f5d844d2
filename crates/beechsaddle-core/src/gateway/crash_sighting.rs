//! The `crash_sighting` module provides the crash of one target while it ran one request.

use super::RequestFingerprint;
use crate::clock::ClockTime;
use crate::names::TargetName;

/// One start of a target, from its first entry to its end.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TargetIncarnation {
    /// The target's id.
    pub name: TargetName,
    /// When it started, in Unix milliseconds of its own clock; `None` where its entry does not say.
    pub started: Option<u64>,
}

/// What routers tell each other of a crash.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashSighting {
    /// The request that ran on the target when it crashed.
    pub fingerprint: RequestFingerprint,
    /// The target.
    pub target: TargetIncarnation,
    /// What was seen.
    pub facts: CrashFacts,
}

/// What was seen of a crash.
///
/// Sightings of one request on one target merge in any order and however often they come: each part takes the one
/// value that decides, so that all routers which heard the same come to the same verdict.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashFacts {
    /// How many crashes under the request were known to the router, and not just seen, when it sent the request to this
    /// target.
    pub known_before: u32,
    /// How long the target had the request, in milliseconds.
    pub run_ms: u32,
    /// Whether the request has since run to its end, so that it was not the cause.
    pub is_cleared: bool,
    /// When the crash was seen, by the clock of the router that saw it.
    pub seen_at: ClockTime,
}

impl CrashFacts {
    /// These facts together with what another router saw.
    #[must_use]
    pub fn merge(self, other: CrashFacts) -> Self {
        CrashFacts {
            known_before: self.known_before.max(other.known_before),
            run_ms: self.run_ms.min(other.run_ms),
            is_cleared: self.is_cleared || other.is_cleared,
            seen_at: self.seen_at.max(other.seen_at),
        }
    }
}
