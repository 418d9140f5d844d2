//! The `table_engines` module provides the known engines of the own domain.

use super::{TargetEntry, TargetTable};
use crate::clock::ClockTime;
use crate::members::HostState;
use crate::names::{ServiceName, TargetName};
use crate::target::EngineState;

/// The known state of an engine of the own domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineUpdate {
    pub target: TargetName,
    /// The address for calls, as `address:port`.
    pub address: String,
    pub service: ServiceName,
    /// The state last observed by this router's probes or reported by a peer.
    pub state: EngineState,
}

impl TargetTable {
    /// The listed engines of the own domain whose state is known.
    pub fn engines(&self) -> impl Iterator<Item = EngineUpdate> {
        self.entries
            .values()
            .filter(|entry| entry.domain == self.domain)
            .filter_map(engine_update)
    }

    /// The number of targets of the own domain that accept new calls.
    pub fn live_count(&self, now: ClockTime) -> u64 {
        self.entries
            .values()
            .filter(|entry| entry.domain == self.domain && entry.listed.is_some())
            .filter(|entry| entry.state(now, &self.options) == HostState::Live)
            .count() as u64
    }
}

fn engine_update(entry: &TargetEntry) -> Option<EngineUpdate> {
    entry.listed?;
    Some(EngineUpdate {
        target: entry.target.clone(),
        address: entry.address.clone(),
        service: entry.service.clone(),
        state: entry.engine.clone()?,
    })
}
