//! The `path_monitor` module provides which targets a router reaches by itself.

use std::collections::BTreeSet;

use crate::names::TargetName;

/// Number of targets that have to be unreachable in a row, without one that is reached in between,
/// for a router to count as partitioned from all. Fewer often crash at the same time.
const LOST_TARGETS: usize = 6;

/// Number of unreachable targets from which on a partition is suspected. A single one is most
/// likely unreachable for other routers as well.
const SUSPECT_TARGETS: usize = 2;

/// How connecting to a target failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectFault {
    /// It was refused: most likely no process serves the address.
    Refused,
    /// The target's host did not answer.
    Silent,
}

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
    /// Targets whose hosts did not answer the last connection.
    silent: BTreeSet<TargetName>,
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
        let is_suspected = self.silent.len() >= SUSPECT_TARGETS;
        self.is_lost || (is_suspected && self.silent.contains(target))
    }

    /// Whether other targets should be tried to find out if the router is partitioned from all.
    pub fn is_suspected(&self) -> bool {
        !self.is_lost && self.streak.len() >= SUSPECT_TARGETS
    }

    /// Whether a target was tried since the last one that was reached.
    pub fn was_tried(&self, target: &TargetName) -> bool {
        self.streak.contains(target)
    }

    /// Whether a target's host did not answer the last connection.
    pub fn is_silent(&self, target: &TargetName) -> bool {
        self.silent.contains(target)
    }

    /// Whether targets should be tried regularly.
    pub fn needs_probes(&self) -> bool {
        self.is_lost || !self.silent.is_empty()
    }

    /// Returns the targets that are not known to be reachable.
    pub fn suspects(&self) -> impl Iterator<Item = &TargetName> {
        self.silent.union(&self.streak)
    }

    /// Records that a connection to a target was made.
    pub fn record_reached(&mut self, target: &TargetName) -> Option<PathChange> {
        self.silent.remove(target);
        self.streak.clear();
        std::mem::take(&mut self.is_lost).then_some(PathChange::Regained)
    }

    /// Records that connecting to a target failed. `ready_targets` is the number of targets that the
    /// router knows; if there are few, all of them have to be unreachable.
    pub fn record_unreached(
        &mut self,
        target: &TargetName,
        fault: ConnectFault,
        ready_targets: usize,
    ) -> Option<PathChange> {
        match fault {
            ConnectFault::Refused => self.silent.remove(target),
            ConnectFault::Silent => self.silent.insert(target.clone()),
        };
        self.streak.insert(target.clone());
        let needed = LOST_TARGETS.min(ready_targets);
        if self.is_lost || self.streak.len() < needed {
            return None;
        }
        self.is_lost = true;
        Some(PathChange::Lost)
    }

    /// Forgets a target that is gone. Without any target left that was not reached, nothing shows that
    /// the router is partitioned from those that are there now.
    pub fn forget(&mut self, target: &TargetName) -> Option<PathChange> {
        self.silent.remove(target);
        self.streak.remove(target);
        let is_regained = self.is_lost && self.streak.is_empty();
        self.is_lost &= !is_regained;
        is_regained.then_some(PathChange::Regained)
    }
}
