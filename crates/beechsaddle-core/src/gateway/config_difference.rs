//! The `config_difference` module provides what changes from one version of the configuration to
//! another.
//!
//! Routers send each other differences: a version that changes one route costs a router as much as
//! that route, however many there are.

use std::collections::BTreeMap;
use std::error::Error;
use std::fmt;
use std::sync::Arc;

use super::gateway_config::{GatewayConfig, ServiceRule, WorkspaceEntry};
use super::route_table::RouteTable;
use super::{CallerLimits, RouteRule};
use crate::names::{ServiceName, WorkspaceName};

/// The changes of the routes of one host name.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HostDifference {
    /// The path prefixes of removed routes.
    pub removed: Vec<Arc<str>>,
    /// Routes that are new or different.
    pub routes: Vec<Arc<RouteRule>>,
}

/// What changes from one version of the configuration to a newer one.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigDifference {
    /// The version that it applies to; 0 for an empty configuration.
    pub base: u64,
    /// The version that it leads to.
    pub version: u64,
    pub limits: CallerLimits,
    /// The limits of the versions in between, which callers may still go by.
    pub passed_limits: Vec<CallerLimits>,
    /// Whether callers need keys.
    pub has_workspaces: bool,
    /// All services of the newer version.
    pub services: BTreeMap<ServiceName, ServiceRule>,
    pub hosts: BTreeMap<Arc<str>, HostDifference>,
    pub removed_workspaces: Vec<WorkspaceName>,
    /// Workspaces that are new or different.
    pub workspaces: Vec<WorkspaceEntry>,
}

/// A difference does not apply to the known version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigMismatch {
    /// The known version.
    pub known: u64,
    /// The version that the difference applies to.
    pub base: u64,
}

impl fmt::Display for ConfigMismatch {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ConfigMismatch { known, base } = self;
        write!(
            formatter,
            "the difference applies to version {base}, not {known}"
        )
    }
}

impl Error for ConfigMismatch {}

impl GatewayConfig {
    /// Returns what leads from an older version to this one.
    pub fn difference_from(&self, base: &GatewayConfig) -> ConfigDifference {
        let former = base.workspace_entries();
        let current = self.workspace_entries();
        let removed = former.keys().filter(|name| !current.contains_key(*name));
        let changed = current
            .iter()
            .filter(|(name, entry)| former.get(*name) != Some(entry));
        ConfigDifference {
            base: base.version,
            version: self.version,
            limits: self.limits,
            passed_limits: Vec::new(),
            has_workspaces: self.has_workspaces,
            services: self.services.clone(),
            hosts: host_differences(base, self),
            removed_workspaces: removed.cloned().collect(),
            workspaces: changed.map(|(_, entry)| entry.clone()).collect(),
        }
    }

    /// Returns the version that a difference leads to from this one.
    ///
    /// # Errors
    ///
    /// A [`ConfigMismatch`] if the difference applies to another version.
    pub fn try_apply(
        &self,
        difference: &ConfigDifference,
    ) -> Result<GatewayConfig, ConfigMismatch> {
        if difference.base != self.version {
            return Err(ConfigMismatch {
                known: self.version,
                base: difference.base,
            });
        }
        let mut config = self.clone();
        config.version = difference.version;
        config.limits = difference.limits;
        config.has_workspaces = difference.has_workspaces;
        config.services = difference.services.clone();
        for (host, change) in &difference.hosts {
            apply_routes(&mut config, host, change);
        }
        for name in &difference.removed_workspaces {
            config.remove_workspace(name);
        }
        for entry in &difference.workspaces {
            config.set_workspace(entry.clone());
        }
        Ok(config)
    }
}

fn host_differences(
    base: &GatewayConfig,
    config: &GatewayConfig,
) -> BTreeMap<Arc<str>, HostDifference> {
    let empty = Arc::new(RouteTable::default());
    let hosts = base.hosts.keys().chain(config.hosts.keys());
    let differences = hosts.filter_map(|host| {
        let former = base.hosts.get(host).unwrap_or(&empty);
        let current = config.hosts.get(host).unwrap_or(&empty);
        let difference = route_difference(former, current)?;
        Some((Arc::clone(host), difference))
    });
    differences.collect()
}

/// Returns what leads from one table to another; `None` if they are equal.
fn route_difference(former: &Arc<RouteTable>, current: &Arc<RouteTable>) -> Option<HostDifference> {
    if Arc::ptr_eq(former, current) {
        return None;
    }
    let removed = former.iter().map(|(prefix, _)| prefix);
    let removed = removed.filter(|prefix| current.get(prefix).is_none());
    let changed = current.iter();
    let changed = changed.filter(|(prefix, route)| former.get(prefix) != Some(*route));
    let difference = HostDifference {
        removed: removed.cloned().collect(),
        routes: changed.map(|(_, route)| Arc::clone(route)).collect(),
    };
    (difference != HostDifference::default()).then_some(difference)
}

fn apply_routes(config: &mut GatewayConfig, host: &Arc<str>, change: &HostDifference) {
    let shared = config.hosts.entry(Arc::clone(host)).or_default();
    let table = Arc::make_mut(shared);
    for prefix in &change.removed {
        table.remove(prefix);
    }
    for route in &change.routes {
        table.set(Arc::clone(route));
    }
    if table.is_empty() {
        config.hosts.remove(host);
    }
}
