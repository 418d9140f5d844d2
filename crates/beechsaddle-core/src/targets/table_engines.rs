//! The `table_engines` module provides what is known of engines, for those who order them.

use super::{TargetEntry, TargetTable};
use crate::clock::ClockTime;
use crate::members::HostState;
use crate::names::{ServiceName, TargetName};
use crate::target::EngineState;

/// What is known of an engine of the own domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineNews {
    /// The engine.
    pub target: TargetName,
    /// Where it listens, as `address:port`.
    pub address: String,
    /// Its service.
    pub service: ServiceName,
    /// What it was last seen to serve, by own probes or by a peer's.
    pub state: EngineState,
}

impl TargetTable {
    /// The engines of the own domain that are listed and whose state was seen.
    pub fn engines(&self) -> impl Iterator<Item = EngineNews> {
        self.entries
            .values()
            .filter(|entry| entry.domain == self.domain)
            .filter_map(engine_news)
    }

    /// How many targets of the own domain get new work.
    pub fn live_count(&self, now: ClockTime) -> u64 {
        self.entries
            .values()
            .filter(|entry| entry.domain == self.domain && entry.listed.is_some())
            .filter(|entry| entry.state(now, &self.options) == HostState::Live)
            .count() as u64
    }
}

fn engine_news(entry: &TargetEntry) -> Option<EngineNews> {
    entry.listed?;
    Some(EngineNews {
        target: entry.target.clone(),
        address: entry.address.clone(),
        service: entry.service.clone(),
        state: entry.engine.clone()?,
    })
}
