//! The `host_list` module provides the platform's delayed list of hosts.

use serde::{Deserialize, Serialize};

use crate::names::{DomainName, HostName, ServiceName, TargetName};

/// The hosts of one domain, at `hosts/<domain>`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// The hosts; a removed host is no longer listed.
    pub hosts: Vec<HostRecord>,
}

impl HostList {
    /// Whether a target rejects orders with an outdated fencing number, according to the list.
    pub fn checks_fence(&self, target: &TargetName) -> bool {
        self.hosts
            .iter()
            .find(|record| record.host.as_str() == target.as_str())
            .is_some_and(|record| {
                matches!(
                    record.role,
                    HostRole::Target {
                        checks_fence: true,
                        ..
                    }
                )
            })
    }
}

/// The record of one host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// The name of the host, which is also that of its target.
    pub host: HostName,
    pub domain: DomainName,
    /// Increases each time the host is replaced, even under the same name or address.
    pub epoch: u64,
    /// The address for calls, as `address:port`.
    pub address: String,
    pub role: HostRole,
    pub state: HostState,
}

/// The role of a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HostRole {
    /// The host runs a router.
    Router {
        /// The address for peers, as `address:port`.
        peer_address: String,
        /// The address for operators, as `address:port`.
        admin_address: String,
    },
    /// The host is a target of a service.
    Target {
        service: ServiceName,
        /// Whether the target rejects orders with an outdated fencing number.
        checks_fence: bool,
    },
}

/// The service state of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// Accepts calls.
    Live,
    /// Finishes running calls and accepts no new ones.
    Leaving,
    /// Does not answer.
    Down,
}
