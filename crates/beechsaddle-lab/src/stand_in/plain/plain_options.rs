//! The `plain_options` module provides how a plain service stand-in is started.

use std::net::SocketAddr;

/// How a plain service stand-in is started.
#[derive(Clone, Debug)]
pub struct PlainOptions {
    /// Where it listens.
    pub listen: SocketAddr,
    /// The seed of chances.
    pub seed: u64,
    /// How long a call takes, in milliseconds.
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
