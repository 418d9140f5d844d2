//! The `routing_call` module provides the calls of the model.

use beechsaddle_core::targets::CallWork;

/// One call.
#[derive(Clone, Debug)]
pub struct RoutingCall {
    /// When it arrives, in milliseconds.
    pub arrives_ms: f64,
    /// Which router the balancer gives it to.
    pub router: usize,
    /// Hashes of its prompt's leading blocks.
    pub prefix: Vec<u64>,
    /// Tokens of its prompt.
    pub prompt_tokens: u64,
    /// Tokens that it generates.
    pub output_tokens: u64,
}

impl RoutingCall {
    /// Its expected work as a router sees it.
    pub fn work(&self) -> CallWork {
        CallWork {
            prompt_tokens: self.prompt_tokens,
            output_tokens: self.output_tokens,
        }
    }
}
