//! The `platform_options` module provides the settings of the edge towards the platform.

use std::net::SocketAddr;

/// How the platform is called.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformOptions {
    /// Where the object API listens.
    pub address: SocketAddr,
    /// How long a call may take, in milliseconds; watches have [`PlatformOptions::WATCH_MS`].
    pub timeout_ms: u64,
    /// How many calls may be in flight, waiting watches included.
    pub calls_max: usize,
}

impl PlatformOptions {
    /// The platform answers in milliseconds; a call that takes this long is given up on.
    pub const TIMEOUT_MS: u64 = 3_000;

    /// A watch is answered after 25 s at the latest (`docs/API.md`), and its answer takes a while.
    pub const WATCH_MS: u64 = 30_000;

    /// Far more than a router needs at a time, and few enough connections for the platform.
    pub const CALLS_MAX: usize = 128;

    /// The default settings for a platform at an address.
    pub fn new(address: SocketAddr) -> Self {
        PlatformOptions {
            address,
            timeout_ms: Self::TIMEOUT_MS,
            calls_max: Self::CALLS_MAX,
        }
    }
}
