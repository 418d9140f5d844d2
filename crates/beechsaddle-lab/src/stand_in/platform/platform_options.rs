//! The `platform_options` module provides how a platform stand-in is started.

use std::net::SocketAddr;

use super::platform_faults::PlatformFaults;

/// How a platform stand-in is started.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// Where it listens.
    pub listen: SocketAddr,
    /// The seed of chances.
    pub seed: u64,
    /// How long a watch waits at most, in milliseconds.
    pub watch_wait_ms: u64,
    /// Faults and limits from the start.
    pub faults: PlatformFaults,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        PlatformOptions {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            seed: 1,
            watch_wait_ms: 25_000,
            faults: PlatformFaults::default(),
        }
    }
}
