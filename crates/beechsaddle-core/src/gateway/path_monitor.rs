//! The `path_monitor` module provides which targets a router reaches by itself.

use std::collections::BTreeSet;

use crate::names::TargetName;

/// Number of targets that have to be unreachable in a row, without one that is reached in between,
/// for a router to count as partitioned from all. Two often crash at the same time.
const LOST_TARGETS: usize = 3;

/// Number of unreachable targets from which on a partition is suspected. A single one has most
/// likely crashed, and is unreachable for other routers as well.
const SUSPECT_TARGETS: usize = 2;

/// A change of whether a router reaches any target by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathChange {
    /// The router is partitioned from all targets.
    Lost,
    /// The router reaches a target again.
    Regained,
}

/// Which targets a router reaches by itself, as far as its new connections show.
///
/// Only new connections count. During a partition established ones may hang without an error, or
/// live on although no new one can be made.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PathMonitor {
    /// Targets to which the last connection failed.
    unreached: BTreeSet<TargetName>,
    /// Targets that could not be reached since the last one that was.
    streak: BTreeSet<TargetName>,
    is_lost: bool,
}

impl PathMonitor {
    /// Whether the router is partitioned from all targets.
    pub fn is_lost(&self) -> bool {
        self.is_lost
    }

    /// Whether to connect to a target by way of another router.
    pub fn needs_tunnel(&self, target: &TargetName) -> bool {
        let is_suspected = self.unreached.len() >= SUSPECT_TARGETS;
        self.is_lost || (is_suspected && self.unreached.contains(target))
    }

    /// Whether another target should be tried to find out if the router is partitioned from all.
    pub fn is_suspected(&self) -> bool {
        !self.is_lost && self.streak.len() >= SUSPECT_TARGETS
    }

    /// Whether the last connection to a target failed.
    pub fn is_unreached(&self, target: &TargetName) -> bool {
        self.unreached.contains(target)
    }

    /// Returns the targets to which the last connection failed.
    pub fn unreached(&self) -> impl Iterator<Item = &TargetName> {
        self.unreached.iter()
    }

    /// Records that a connection to a target was made.
    pub fn record_reached(&mut self, target: &TargetName) -> Option<PathChange> {
        self.unreached.remove(target);
        self.streak.clear();
        std::mem::take(&mut self.is_lost).then_some(PathChange::Regained)
    }

    /// Records that connecting to a target was refused or timed out. `ready_targets` is the number
    /// of targets that the router knows; if there are few, all of them have to be unreachable.
    pub fn record_unreached(
        &mut self,
        target: &TargetName,
        ready_targets: usize,
    ) -> Option<PathChange> {
        self.unreached.insert(target.clone());
        self.streak.insert(target.clone());
        let needed = LOST_TARGETS.min(ready_targets);
        if self.is_lost || self.streak.len() < needed {
            return None;
        }
        self.is_lost = true;
        Some(PathChange::Lost)
    }

    /// Forgets a target that is gone.
    pub fn forget(&mut self, target: &TargetName) {
        self.unreached.remove(target);
        self.streak.remove(target);
    }
}
