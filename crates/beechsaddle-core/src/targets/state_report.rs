//! The `state_report` module provides the state of a target that the routers of a domain converge
//! on.

use std::cmp::Ordering;

use crate::members::HostState;

/// The result of merging a received report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportMerge {
    /// The report was new and is now in effect.
    Adopted,
    /// The report matches the known state.
    Known,
    /// The report is older than the known state, which should be sent to its sender again.
    Outdated,
}

/// The state of one epoch of a target, as converged between routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StateReport {
    state: HostState,
    sequence: u64,
}

impl Default for StateReport {
    fn default() -> Self {
        StateReport {
            state: HostState::Live,
            sequence: 0,
        }
    }
}

impl StateReport {
    pub fn state(self) -> HostState {
        self.state
    }

    /// The number of observations that led to this state.
    pub fn sequence(self) -> u64 {
        self.sequence
    }

    /// Whether any router has observed the target.
    pub fn is_observed(self) -> bool {
        self.sequence > 0
    }

    /// Records an observation of this router. Returns whether it changed the state.
    pub fn observe(&mut self, state: HostState) -> bool {
        // Leaving is final for an epoch. Otherwise a late probe result or an old host list with
        // state live would send new calls to a host that is about to exit, and their streams would
        // be cut.
        if self.state == HostState::Leaving || self.state == state {
            return false;
        }
        self.state = state;
        self.sequence += 1;
        true
    }

    /// Merges a peer's report about the same epoch.
    pub fn merge(&mut self, other: StateReport) -> ReportMerge {
        match (self.state, other.state) {
            (HostState::Leaving, HostState::Leaving) => {
                self.sequence = self.sequence.max(other.sequence);
                ReportMerge::Known
            }
            (HostState::Leaving, HostState::Live | HostState::Down) => ReportMerge::Outdated,
            (HostState::Live | HostState::Down, HostState::Leaving) => self.adopt(other),
            (HostState::Live | HostState::Down, HostState::Live | HostState::Down) => {
                self.merge_by_sequence(other)
            }
        }
    }

    fn merge_by_sequence(&mut self, other: StateReport) -> ReportMerge {
        match other.sequence.cmp(&self.sequence) {
            Ordering::Greater if other.state == self.state => {
                self.sequence = other.sequence;
                ReportMerge::Known
            }
            Ordering::Greater => self.adopt(other),
            // Two routers made different observations concurrently. All routers must converge on
            // the same state, and wrongly treating a target as down costs less than the opposite.
            Ordering::Equal if other.state > self.state => self.adopt(other),
            Ordering::Equal if other.state == self.state => ReportMerge::Known,
            Ordering::Less if other.state == self.state => ReportMerge::Known,
            Ordering::Equal | Ordering::Less => ReportMerge::Outdated,
        }
    }

    fn adopt(&mut self, other: StateReport) -> ReportMerge {
        self.state = other.state;
        self.sequence = self.sequence.max(other.sequence);
        ReportMerge::Adopted
    }

    /// Creates a report as received in a heartbeat.
    pub fn new(state: HostState, sequence: u64) -> Self {
        StateReport { state, sequence }
    }
}
