//! The `host_list` module provides the platform's lagging list of hosts.

use serde::{Deserialize, Serialize};

use crate::names::{DomainName, HostName, ServiceName, TargetName};

/// The hosts of one domain, at `hosts/<domain>`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// The hosts; a host that is gone is no longer listed.
    pub hosts: Vec<HostRecord>,
}

impl HostList {
    /// Whether a target refuses orders with an old fencing number, as far as the list says.
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

/// One host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// Its name. A target has the name of its host.
    pub host: HostName,
    /// Its domain.
    pub domain: DomainName,
    /// Grows each time the host is replaced, also at the same name or address.
    pub epoch: u64,
    /// Where it listens for calls, as `address:port`.
    pub address: String,
    /// What it does.
    pub role: HostRole,
    /// Whether it is leaving.
    pub state: HostState,
}

/// What a host does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HostRole {
    /// It runs a router.
    Router {
        /// Where its peers reach it, as `address:port`.
        peer_address: String,
        /// Where operators reach it, as `address:port`.
        admin_address: String,
    },
    /// It is a target of a service.
    Target {
        /// The service.
        service: ServiceName,
        /// Whether it refuses orders with an old fencing number.
        checks_fence: bool,
    },
}

/// Whether a host serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// It serves.
    Live,
    /// It finishes what it has and takes nothing new.
    Leaving,
    /// It does not answer.
    Down,
}
