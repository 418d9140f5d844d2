//! The `path_monitor` module provides whether a router reaches the targets by itself.

use std::collections::BTreeSet;

use crate::names::TargetName;

/// Number of targets that have to be unreachable in a row, without one that is reached in between.
/// Two often crash at the same time, while a service of three targets must still be noticed.
const UNREACHED_TARGETS: usize = 3;

/// A change of whether a router reaches the targets by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathChange {
    /// The router is partitioned from the targets.
    Lost,
    /// The router reaches a target again.
    Regained,
}

/// Whether a router reaches the targets by itself, as far as its new connections show.
///
/// Only new connections count. During a partition established ones may hang without an error, or
/// live on although no new one can be made.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PathMonitor {
    /// The targets that could not be reached since the last one that was.
    unreached: BTreeSet<TargetName>,
    is_lost: bool,
}

impl PathMonitor {
    /// Whether the router is partitioned from the targets.
    pub fn is_lost(&self) -> bool {
        self.is_lost
    }

    /// Records that a connection to a target was made.
    pub fn record_reached(&mut self) -> Option<PathChange> {
        self.unreached.clear();
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
        let needed = UNREACHED_TARGETS.min(ready_targets);
        if self.is_lost || self.unreached.len() < needed {
            return None;
        }
        self.is_lost = true;
        Some(PathChange::Lost)
    }
}
