//! The `gateway_config` module provides one version of the operator's configuration.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{CallerLimits, RouteRule};
use crate::names::{ServiceName, WorkspaceName};

/// What is declared of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRule {
    /// Whether its targets are model engines that keep prompts in memory.
    pub is_engine: bool,
    /// The largest number of output tokens in one event of a stream; 1 for plain services.
    pub event_tokens: u64,
}

/// What is declared of a workspace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkspaceRule {
    /// Its name.
    pub name: WorkspaceName,
    /// The rank of its requests, before the route's; 0 goes first.
    pub priority: Option<u8>,
    /// The tokens it may use in all; `None` without a limit.
    pub prepaid: Option<u64>,
}

/// One version of the configuration, indexed for lookups.
#[derive(Clone, Debug, Default)]
pub struct GatewayConfig {
    /// Its number; larger is newer.
    pub version: u64,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServiceRule>,
    /// Whether callers need keys at all.
    pub has_workspaces: bool,
    routes: BTreeMap<String, Vec<Arc<RouteRule>>>,
    keys: BTreeMap<String, Arc<WorkspaceRule>>,
    workspaces: BTreeMap<WorkspaceName, Arc<WorkspaceRule>>,
}

/// What a lookup of a route gives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteMatch {
    /// The route of the request.
    Found(Arc<RouteRule>),
    /// No route takes the request.
    Missing,
}

impl GatewayConfig {
    /// An empty configuration of a version.
    pub fn new(version: u64, limits: CallerLimits) -> Self {
        GatewayConfig {
            version,
            limits,
            ..GatewayConfig::default()
        }
    }

    /// Adds a route.
    pub fn add_route(&mut self, mut route: RouteRule) {
        route.host = route.host.to_ascii_lowercase();
        let routes = self.routes.entry(route.host.clone()).or_default();
        routes.push(Arc::new(route));
        // Sorted so that the first match is the longest.
        routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
    }

    /// Adds a workspace and its keys.
    pub fn add_workspace(&mut self, rule: WorkspaceRule, keys: impl IntoIterator<Item = String>) {
        self.has_workspaces = true;
        let rule = Arc::new(rule);
        for key in keys {
            self.keys.insert(key, Arc::clone(&rule));
        }
        self.workspaces.insert(rule.name.clone(), rule);
    }

    /// The route with the longest prefix among those of a host. A port in `host` is not compared.
    pub fn find_route(&self, host: &str, path: &str) -> RouteMatch {
        let bare = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let routes = self
            .routes
            .get(&bare)
            .map(Vec::as_slice)
            .unwrap_or_default();
        let found = routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix));
        found.map_or(RouteMatch::Missing, |route| {
            RouteMatch::Found(Arc::clone(route))
        })
    }

    /// The workspace that holds a key.
    pub fn find_key(&self, key: &str) -> Option<&Arc<WorkspaceRule>> {
        self.keys.get(key)
    }

    /// All workspaces.
    pub fn workspaces(&self) -> impl Iterator<Item = &Arc<WorkspaceRule>> {
        self.workspaces.values()
    }

    /// How many routes there are.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}
