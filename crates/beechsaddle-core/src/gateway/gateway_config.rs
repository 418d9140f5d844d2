//! The `gateway_config` module provides one version of the operator's configuration.

use std::collections::BTreeMap;
use std::sync::Arc;

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

/// One version of the configuration, indexed for lookups.
#[derive(Clone, Debug, Default)]
pub struct GatewayConfig {
    /// The version number; a larger one is newer.
    pub version: u64,
    pub limits: CallerLimits,
    pub services: BTreeMap<ServiceName, ServiceRule>,
    /// Whether callers need keys.
    pub has_workspaces: bool,
    routes: BTreeMap<String, Vec<Arc<RouteRule>>>,
    keys: BTreeMap<String, Arc<WorkspaceRule>>,
    workspaces: BTreeMap<WorkspaceName, Arc<WorkspaceRule>>,
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

    pub fn add_route(&mut self, mut route: RouteRule) {
        route.host = route.host.to_ascii_lowercase();
        let routes = self.routes.entry(route.host.clone()).or_default();
        routes.push(Arc::new(route));
        // Sorted by descending prefix length, so that the first match is the longest.
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

    /// Returns the route with the longest matching prefix among those of a host, ignoring a port in
    /// `host`.
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

    /// Returns the workspace that owns a key.
    pub fn find_key(&self, key: &str) -> Option<&Arc<WorkspaceRule>> {
        self.keys.get(key)
    }

    pub fn workspaces(&self) -> impl Iterator<Item = &Arc<WorkspaceRule>> {
        self.workspaces.values()
    }

    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}
