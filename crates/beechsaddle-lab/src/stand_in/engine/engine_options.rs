//! The `engine_options` module provides the options of an engine stand-in.

use std::net::SocketAddr;

use beechsaddle_core::names::ModelName;
use beechsaddle_core::target::{EngineRole, EngineState};

/// Options of an engine stand-in. Times are in milliseconds.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// The address to listen on; port 0 picks a free port.
    pub listen: SocketAddr,
    /// The seed of the random draws and of response lengths.
    pub seed: u64,
    /// The initial state: model, version, adapters and role.
    pub state: EngineState,
    /// Time to the first token, without queueing and prompt processing.
    pub first_token_ms: u64,
    /// Time to process each prompt block that is not in the prefix cache.
    pub block_ms: u64,
    /// Time between tokens at a batch size of one.
    pub between_tokens_ms: u64,
    /// Increase of the time between tokens for each further running request, in thousandths.
    pub slowdown_permille: u64,
    /// The largest batch size; further requests are queued.
    pub batch_max: usize,
    /// The mean response length in tokens.
    pub answer_tokens: u64,
    /// The capacity of the prefix cache in blocks.
    pub cache_blocks: usize,
    /// Delay before cache events are published.
    pub event_lag_ms: u64,
    /// The share of cache event reads that lose events, in thousandths.
    pub event_gap_permille: u32,
    /// Age of the reported load.
    pub load_lag_ms: u64,
    /// Whether orders with an outdated fencing number are rejected.
    pub checks_fence: bool,
    /// Time until an accepted order takes effect.
    pub load_ms: u64,
    /// The minimum time between two loads from the weight store.
    pub weight_gap_ms: u64,
}

impl Default for EngineOptions {
    fn default() -> Self {
        EngineOptions {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            seed: 1,
            state: EngineState {
                model: ModelName::new("small"),
                version: 1,
                adapters: Vec::new(),
                role: EngineRole::Whole,
            },
            first_token_ms: 5,
            block_ms: 0,
            between_tokens_ms: 1,
            slowdown_permille: 50,
            batch_max: 256,
            answer_tokens: 16,
            cache_blocks: 4096,
            event_lag_ms: 50,
            event_gap_permille: 0,
            load_lag_ms: 50,
            checks_fence: true,
            load_ms: 50,
            weight_gap_ms: 0,
        }
    }
}
