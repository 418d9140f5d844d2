//! The `target_word` module provides what the routers of a domain agree on about a target.

use std::cmp::Ordering;

use crate::members::HostState;

/// What to do about a word that was heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WordMerge {
    /// It was news and is in force.
    Adopted,
    /// It says what is known.
    Known,
    /// It is older than what is known: the speaker should hear the newer one again.
    Outdated,
}

/// The agreed state of one epoch of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetWord {
    state: HostState,
    sequence: u64,
}

impl Default for TargetWord {
    fn default() -> Self {
        TargetWord {
            state: HostState::Live,
            sequence: 0,
        }
    }
}

impl TargetWord {
    /// The state.
    pub fn state(self) -> HostState {
        self.state
    }

    /// How many observations led to it.
    pub fn sequence(self) -> u64 {
        self.sequence
    }

    /// Whether any router observed the target.
    pub fn is_observed(self) -> bool {
        self.sequence > 0
    }

    /// Notes an own observation. Tells whether the state changed by it.
    pub fn observe(&mut self, state: HostState) -> bool {
        // Leaving is final for an epoch. A late probe or an old host list that says live would
        // otherwise bring new work to a host that is about to exit, and callers would see it cut.
        if self.state == HostState::Leaving || self.state == state {
            return false;
        }
        self.state = state;
        self.sequence += 1;
        true
    }

    /// Merges a peer's word of the same epoch.
    pub fn merge(&mut self, other: TargetWord) -> WordMerge {
        match (self.state, other.state) {
            (HostState::Leaving, HostState::Leaving) => {
                self.sequence = self.sequence.max(other.sequence);
                WordMerge::Known
            }
            (HostState::Leaving, HostState::Live | HostState::Down) => WordMerge::Outdated,
            (HostState::Live | HostState::Down, HostState::Leaving) => self.adopt(other),
            (HostState::Live | HostState::Down, HostState::Live | HostState::Down) => {
                self.merge_by_sequence(other)
            }
        }
    }

    fn merge_by_sequence(&mut self, other: TargetWord) -> WordMerge {
        match other.sequence.cmp(&self.sequence) {
            Ordering::Greater if other.state == self.state => {
                self.sequence = other.sequence;
                WordMerge::Known
            }
            Ordering::Greater => self.adopt(other),
            // Two routers observed different things at once. All have to settle on the same one,
            // and taking a target for down by mistake costs less than the other way round.
            Ordering::Equal if other.state > self.state => self.adopt(other),
            Ordering::Equal if other.state == self.state => WordMerge::Known,
            Ordering::Less if other.state == self.state => WordMerge::Known,
            Ordering::Equal | Ordering::Less => WordMerge::Outdated,
        }
    }

    fn adopt(&mut self, other: TargetWord) -> WordMerge {
        self.state = other.state;
        self.sequence = self.sequence.max(other.sequence);
        WordMerge::Adopted
    }

    /// The word as told in a heartbeat.
    pub fn new(state: HostState, sequence: u64) -> Self {
        TargetWord { state, sequence }
    }
}
