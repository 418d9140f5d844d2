//! The `member_options` module provides the settings of membership.

use crate::names::{DomainName, HostName};

/// A router to begin with while the platform is away.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeedPeer {
    /// Its host.
    pub host: HostName,
    /// Its domain.
    pub domain: DomainName,
    /// Where its peers reach it, as `address:port`.
    pub address: String,
}

/// The settings of membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberOptions {
    /// How often a heartbeat is sent, in milliseconds.
    pub heartbeat_ms: u64,
    /// A router that was not heard for so long, in milliseconds, is down.
    pub down_after_ms: u64,
    /// How many routers of a domain talk to each other domain.
    pub bridges: usize,
    /// How many heartbeat periods pass between two heartbeats to a router of another domain or to
    /// one that does not answer.
    pub slow_beats: u64,
    /// A router that is down and was never listed is gone after so long, in milliseconds: more than
    /// the platform's list lags.
    pub list_lag_ms: u64,
    /// Routers to begin with.
    pub seeds: Vec<SeedPeer>,
}

impl Default for MemberOptions {
    fn default() -> Self {
        MemberOptions {
            heartbeat_ms: 1_000,
            down_after_ms: 2_500,
            bridges: 2,
            slow_beats: 3,
            list_lag_ms: 60_000,
            seeds: Vec::new(),
        }
    }
}
