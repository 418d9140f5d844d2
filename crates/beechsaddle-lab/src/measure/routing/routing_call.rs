//! The `routing_call` module provides the calls of the simulation.

use beechsaddle_core::targets::CallWork;

/// A simulated call.
#[derive(Clone, Debug)]
pub struct RoutingCall {
    /// The time of arrival, in milliseconds.
    pub arrives_ms: f64,
    /// The index of the router that receives the call.
    pub router: usize,
    /// The hashes of the leading prompt blocks.
    pub prefix: Vec<u64>,
    /// The number of prompt tokens.
    pub prompt_tokens: u64,
    /// The number of generated tokens.
    pub output_tokens: u64,
}

impl RoutingCall {
    /// Returns the work that a router expects of the call, which is exact here.
    pub fn work(&self) -> CallWork {
        CallWork {
            prompt_tokens: self.prompt_tokens,
            output_tokens: self.output_tokens,
        }
    }
}
