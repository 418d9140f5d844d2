//! The `crash_report` module provides the report of a target that crashed while it ran a request.

use super::SuspectKey;
use crate::clock::ClockTime;
use crate::names::TargetName;

/// One incarnation of a target, from its first entry in the store to its end.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TargetIncarnation {
    pub name: TargetName,
    /// When it started, in Unix milliseconds by its own clock; `None` if its entry does not say.
    pub started: Option<u64>,
}

/// A crash, as exchanged between routers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// What ran on the target when it crashed: a request, or a part of one's prompt.
    pub key: SuspectKey,
    /// The target that crashed.
    pub target: TargetIncarnation,
    pub facts: CrashFacts,
}

/// The observations about a crash.
///
/// Reports on the same suspect and target merge in any order and may be duplicated: each field
/// keeps the value that decides, so that routers with the same reports reach the same verdict.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashFacts {
    /// The number of settled crashes under the suspect that the router knew of when it sent the
    /// request to this target; 0 if other targets, which did not run it, ended at the same time.
    pub known_before: u32,
    /// How long the target had the request, in milliseconds.
    pub run_ms: u32,
    /// Whether such a request has since run to completion, so that it was not the cause.
    pub is_cleared: bool,
    /// When the crash was observed, by the clock of the observing router.
    pub seen_at: ClockTime,
}

impl CrashFacts {
    /// Merges these observations with those of another router.
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
