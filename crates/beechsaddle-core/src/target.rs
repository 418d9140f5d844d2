//! The `target` module provides the events and actions of probes and orders.

use serde::{Deserialize, Serialize};

use crate::names::{ModelName, TargetName};

/// What an engine says of its load, some time after the fact.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests in its batch.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Share of its KV cache in use, in thousandths.
    pub cache_permille: u32,
}

/// What a model engine is set to serve.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EngineState {
    /// The model.
    pub model: ModelName,
    /// Its version.
    pub version: u64,
    /// Loaded adapters.
    pub adapters: Vec<String>,
    /// Its role.
    pub role: EngineRole,
}

/// The part that an engine takes in serving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Prompt and generation.
    Whole,
    /// Prompts only.
    Prefill,
    /// Generation only.
    Decode,
}

/// The outcome of a probe.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProbeOutcome {
    /// It serves.
    Healthy {
        /// Its load; zeros for a plain service.
        load: LoadReport,
        /// What it is set to serve; `None` for a plain service.
        engine: Option<EngineState>,
    },
    /// It says that it is leaving.
    Leaving,
    /// It did not answer, or not in time.
    Failed,
}

/// The outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderOutcome {
    /// Taken; the engine's state says when it is done.
    Accepted,
    /// Refused because a newer fencing number was seen.
    Fenced,
    /// Refused because the weight store is busy.
    Throttled {
        /// After how many milliseconds to come back.
        retry_after_ms: u64,
    },
    /// No answer: it may have been taken.
    Unknown,
}

/// Something that the edge towards targets tells the core.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub enum TargetEvent {
    /// A probe ended.
    Probed {
        /// The target.
        target: TargetName,
        /// How.
        outcome: ProbeOutcome,
        /// Cache events since the last probe.
        cache: Option<CacheNews>,
    },
    /// An order ended.
    Ordered {
        /// The target.
        target: TargetName,
        /// The fencing number it carried.
        fence: u64,
        /// How.
        outcome: OrderOutcome,
    },
}

/// Cache events of an engine: late, and with gaps.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheNews {
    /// The number of the first event in here.
    pub first: u64,
    /// The number after the last.
    pub next: u64,
    /// Prefix hashes that came into the cache.
    pub added: Vec<u64>,
    /// Prefix hashes that left it.
    pub removed: Vec<u64>,
}

/// Something that the core asks of the edge towards targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub enum TargetAction {
    /// Probe a target: `GET /health`, and for engines `GET /cache-events?after=N`.
    Probe {
        /// The target.
        target: TargetName,
        /// Where it listens, as `address:port`.
        address: String,
        /// Cache events after this number; `None` for a plain service.
        cache_after: Option<u64>,
    },
    /// Order an engine: `POST /orders`.
    Order {
        /// The target.
        target: TargetName,
        /// Where it listens, as `address:port`.
        address: String,
        /// The fencing number.
        fence: u64,
        /// The state that it shall reach.
        state: EngineState,
    },
}
