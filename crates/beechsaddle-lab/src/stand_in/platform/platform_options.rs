//! The `platform_options` module provides the options of a platform stand-in.

use std::net::SocketAddr;

use super::platform_faults::PlatformFaults;

/// Options of a platform stand-in.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// The address to listen on; port 0 picks a free port.
    pub listen: SocketAddr,
    /// The seed of the random draws for fault rules.
    pub seed: u64,
    /// The longest wait of a watch without changes, in milliseconds.
    pub watch_wait_ms: u64,
    /// The initial faults and rate limits.
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
