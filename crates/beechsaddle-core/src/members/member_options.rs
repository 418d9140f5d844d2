//! The `member_options` module provides the settings of membership.

use crate::names::{DomainName, HostName};

/// A router known from the settings, for a start during a platform outage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeedPeer {
    pub host: HostName,
    pub domain: DomainName,
    /// The address for peers, as `address:port`.
    pub address: String,
}

/// The settings of membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberOptions {
    /// The heartbeat interval, in milliseconds.
    pub heartbeat_ms: u64,
    /// The time since the last heartbeat after which a router is down, in milliseconds.
    pub down_after_ms: u64,
    /// The number of bridges per domain.
    pub bridges: usize,
    /// The number of heartbeat periods between two heartbeats to a router that is in another domain
    /// or does not answer.
    pub slow_heartbeat_periods: u64,
    /// The time after which a router that is down and unlisted is gone, in milliseconds; longer
    /// than the delay of the platform's list.
    pub list_lag_ms: u64,
    /// The routers known from the settings.
    pub seeds: Vec<SeedPeer>,
}

impl Default for MemberOptions {
    fn default() -> Self {
        MemberOptions {
            heartbeat_ms: 1_000,
            down_after_ms: 2_500,
            bridges: 2,
            slow_heartbeat_periods: 3,
            list_lag_ms: 60_000,
            seeds: Vec::new(),
        }
    }
}
