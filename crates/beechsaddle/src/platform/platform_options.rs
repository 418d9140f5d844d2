//! The `platform_options` module provides the options of the platform edge.

use std::net::SocketAddr;

/// The options of the platform edge.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformOptions {
    /// The address of the object API.
    pub address: SocketAddr,
    /// The time limit of a call, in milliseconds. Watches have [`PlatformOptions::WATCH_MS`].
    pub timeout_ms: u64,
    /// The maximum number of calls in flight, including pending watches.
    pub calls_max: usize,
}

impl PlatformOptions {
    /// The default time limit of a call. The platform usually responds within milliseconds.
    pub const TIMEOUT_MS: u64 = 3_000;

    /// The time limit of a watch. The platform responds after 25 s at the latest (`docs/API.md`),
    /// and the transfer of the response takes additional time.
    pub const WATCH_MS: u64 = 30_000;

    /// The default maximum of calls in flight: far more than a router needs, and few enough
    /// connections for the platform.
    pub const CALLS_MAX: usize = 128;

    /// Creates the default options for a platform at an address.
    pub fn new(address: SocketAddr) -> Self {
        PlatformOptions {
            address,
            timeout_ms: Self::TIMEOUT_MS,
            calls_max: Self::CALLS_MAX,
        }
    }
}
