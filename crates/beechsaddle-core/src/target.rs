//! The `target` module provides the events and actions of probes and orders.

use serde::{Deserialize, Serialize};

use crate::names::{ModelName, TargetName};

/// The load that an engine reports; it lags behind the actual load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests in the engine's batch.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
    /// The used share of the KV cache, in thousandths.
    pub cache_permille: u32,
}

/// The configuration of a model engine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EngineState {
    pub model: ModelName,
    /// The model's version.
    pub version: u64,
    pub adapters: Vec<String>,
    pub role: EngineRole,
}

/// The phases of inference that an engine serves.
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
    /// The target serves.
    Healthy {
        /// The load; zeros for a plain service.
        load: LoadReport,
        /// The engine's configuration; `None` for a plain service.
        engine: Option<EngineState>,
    },
    /// The target reports that it is leaving.
    Leaving,
    /// The target did not answer in time.
    Failed,
}

/// The outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderOutcome {
    /// Accepted; the reported engine state shows when the order is complete.
    Accepted,
    /// Rejected because the engine has seen a higher fencing number.
    Fenced,
    /// Rejected because the weight store is overloaded.
    Throttled {
        /// The delay before a retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// No reply: the order may have been accepted.
    Unknown,
}

/// An event from the edge towards targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub enum TargetEvent {
    /// A probe ended.
    Probed {
        target: TargetName,
        outcome: ProbeOutcome,
        /// Cache events since the last probe.
        cache: Option<CacheUpdate>,
    },
    /// An order ended.
    Ordered {
        target: TargetName,
        /// The fencing number of the order.
        fence: u64,
        outcome: OrderOutcome,
    },
}

/// Cache events of an engine; they may be late and have gaps.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheUpdate {
    /// The number of the first event.
    pub first: u64,
    /// The number after the last event.
    pub next: u64,
    /// Prefix hashes that were added to the cache.
    pub added: Vec<u64>,
    /// Prefix hashes that were evicted.
    pub removed: Vec<u64>,
}

/// An action for the edge towards targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub enum TargetAction {
    /// Probes a target: `GET /health`, and for engines `GET /cache-events?after=N`.
    Probe {
        target: TargetName,
        /// The target's address, as `address:port`.
        address: String,
        /// The number after which cache events are requested; `None` for a plain service.
        cache_after: Option<u64>,
    },
    /// Sends an order to an engine: `POST /orders`.
    Order {
        target: TargetName,
        /// The target's address, as `address:port`.
        address: String,
        fence: u64,
        /// The desired state.
        state: EngineState,
    },
}
