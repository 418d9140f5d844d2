//! The `plain_options` module provides the options of a plain service stand-in.

use std::net::SocketAddr;

/// Options of a plain service stand-in.
#[derive(Clone, Debug)]
pub struct PlainOptions {
    /// The address to listen on; port 0 picks a free port.
    pub listen: SocketAddr,
    /// The seed of the random draws for fault rules.
    pub seed: u64,
    /// The time to answer a call, in milliseconds.
    pub answer_ms: u64,
}

impl Default for PlainOptions {
    fn default() -> Self {
        PlainOptions {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            seed: 1,
            answer_ms: 0,
        }
    }
}
