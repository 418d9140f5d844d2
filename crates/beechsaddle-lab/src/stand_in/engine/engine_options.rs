//! The `engine_options` module provides how an engine stand-in is started.

use std::net::SocketAddr;

use beechsaddle_core::names::ModelName;
use beechsaddle_core::target::{EngineRole, EngineState};

/// How an engine stand-in is started. Times are in milliseconds.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Where it listens.
    pub listen: SocketAddr,
    /// The seed of chances and of the lengths of answers.
    pub seed: u64,
    /// What it serves at the start.
    pub state: EngineState,
    /// Time to the first token, beside waiting and the prompt.
    pub first_token_ms: u64,
    /// Time for each block of the prompt that is not in the cache.
    pub block_ms: u64,
    /// Time between tokens when one request runs.
    pub between_tokens_ms: u64,
    /// How much longer that is for each further request that runs, in thousandths.
    pub slowdown_permille: u64,
    /// How many requests run at a time; more wait.
    pub batch_max: usize,
    /// The mean length of an answer, in tokens.
    pub answer_tokens: u64,
    /// How many prefix blocks the cache holds.
    pub cache_blocks: usize,
    /// How late cache events are published.
    pub event_lag_ms: u64,
    /// The share of reads of the events that find a gap, in thousandths.
    pub event_gap_permille: u32,
    /// How old the load report is.
    pub load_lag_ms: u64,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fence: bool,
    /// How long an order takes to come into force.
    pub load_ms: u64,
    /// The shortest time between two loads from the weight store.
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
