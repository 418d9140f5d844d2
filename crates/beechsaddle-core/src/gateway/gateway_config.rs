//! The `gateway_config` module provides one version of the operator's configuration.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::route_table::RouteTable;
use super::{CallerLimits, RouteRule, WarmUpRule};
use crate::names::{ServiceName, WorkspaceName};

/// The declaration of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// Whether its targets are model engines that cache prompts.
    pub is_engine: bool,
    /// The largest number of output tokens in one event of a stream; 1 for plain services.
    pub event_tokens: u64,
    /// The slow start of its targets; `None` if they take all requests from their start on.
    pub warm_up: Option<WarmUpRule>,
}

/// The declaration of a workspace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkspaceRule {
    pub name: WorkspaceName,
    /// The priority of its requests, ahead of the route's; 0 is served first.
    pub priority: Option<u8>,
    /// The tokens that it may use in total; `None` without a limit.
    pub prepaid: Option<u64>,
}

/// A workspace and its keys. A key belongs to one workspace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkspaceEntry {
    pub rule: Arc<WorkspaceRule>,
    /// The keys of its callers.
    pub keys: Vec<Arc<str>>,
}

/// One version of the configuration, indexed for lookups. Copies share its rules.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GatewayConfig {
    /// The version number; a larger one is newer.
    pub version: u64,
    pub limits: CallerLimits,
    pub services: BTreeMap<ServiceName, ServiceRule>,
    /// Whether callers need keys.
    pub has_workspaces: bool,
    pub(super) hosts: BTreeMap<Arc<str>, Arc<RouteTable>>,
    keys: BTreeMap<Arc<str>, Arc<WorkspaceRule>>,
    workspaces: BTreeMap<WorkspaceName, WorkspaceEntry>,
}

/// The result of a route lookup.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteMatch {
    Found(Arc<RouteRule>),
    /// No route matches the request.
    Missing,
}

impl GatewayConfig {
    /// Creates an empty configuration of a version.
    pub fn new(version: u64, limits: CallerLimits) -> Self {
        GatewayConfig {
            version,
            limits,
            ..GatewayConfig::default()
        }
    }

    /// Adds a route. Of two routes of a host with the same prefix the first one is in force.
    pub fn add_route(&mut self, mut route: RouteRule) {
        route.host = route.host.to_ascii_lowercase();
        let host = Arc::from(route.host.as_str());
        let table = self.hosts.entry(host).or_default();
        Arc::make_mut(table).add(Arc::new(route));
    }

    /// Adds a workspace and its keys.
    pub fn add_workspace(&mut self, rule: WorkspaceRule, keys: impl IntoIterator<Item = String>) {
        self.has_workspaces = true;
        let keys = keys.into_iter().map(Arc::from);
        self.set_workspace(WorkspaceEntry {
            rule: Arc::new(rule),
            keys: keys.collect(),
        });
    }

    /// Adds a workspace or replaces the one of its name, with all its keys.
    pub(super) fn set_workspace(&mut self, entry: WorkspaceEntry) {
        self.remove_workspace(&entry.rule.name);
        for key in &entry.keys {
            self.keys.insert(Arc::clone(key), Arc::clone(&entry.rule));
        }
        self.workspaces.insert(entry.rule.name.clone(), entry);
    }

    /// Removes a workspace and its keys, except for those that belong to another one by now.
    pub(super) fn remove_workspace(&mut self, name: &WorkspaceName) {
        let removed = self.workspaces.remove(name);
        for key in removed.iter().flat_map(|entry| &entry.keys) {
            if self.keys.get(key).is_some_and(|rule| rule.name == *name) {
                self.keys.remove(key);
            }
        }
    }

    /// Returns the route with the longest matching prefix among those of a host, ignoring a port in
    /// `host`.
    pub fn find_route(&self, host: &str, path: &str) -> RouteMatch {
        let bare = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let table = self.hosts.get(bare.as_str());
        let found = table.and_then(|table| table.find(path));
        found.map_or(RouteMatch::Missing, |route| {
            RouteMatch::Found(Arc::clone(route))
        })
    }

    /// Returns the workspace that owns a key.
    pub fn find_key(&self, key: &str) -> Option<&Arc<WorkspaceRule>> {
        self.keys.get(key)
    }

    pub fn workspaces(&self) -> impl Iterator<Item = &Arc<WorkspaceRule>> {
        self.workspaces.values().map(|entry| &entry.rule)
    }

    /// Returns the workspaces with their keys.
    pub(super) fn workspace_entries(&self) -> &BTreeMap<WorkspaceName, WorkspaceEntry> {
        &self.workspaces
    }

    pub fn route_count(&self) -> usize {
        self.hosts.values().map(|table| table.len()).sum()
    }
}
