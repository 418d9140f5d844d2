//! The `fleet_file` module provides the description file of a deployment.

use std::path::Path;

use beechsaddle_core::catalogue::{EntryClass, ServiceKind};
use beechsaddle_core::names::{DomainName, ModelName, ServiceName, WorkspaceName};
use eyre::WrapErr;
use serde::Deserialize;

/// A deployment as described by a TOML file, such as those under `examples/`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetFile {
    /// The region of the deployment.
    pub name: String,
    /// One-way network delay between domains in milliseconds.
    pub delay_between_domains_ms: f64,
    /// One-way network delay between callers and routers in milliseconds.
    pub delay_to_clients_ms: f64,
    pub domains: Vec<FleetDomain>,
    pub services: Vec<FleetService>,
    /// The workspaces by descending load.
    pub workspaces: Vec<FleetWorkspace>,
}

#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetDomain {
    pub name: DomainName,
    /// Number of its routers, one for each host.
    pub routers: u32,
}

/// A service whose targets are distributed over the domains.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetService {
    pub name: ServiceName,
    /// The kind of its targets.
    pub kind: ServiceKind,
    /// The model that its engines serve; `None` for plain services.
    #[serde(default)]
    pub model: Option<ModelName>,
    /// Total number of its targets.
    pub replicas: u32,
    /// Whether its calls may be repeated.
    #[serde(default = "repeatable_unless_said")]
    pub repeatable: bool,
    /// The cost of a call in tokens, for plain services.
    #[serde(default)]
    pub call_cost: u64,
}

/// A workspace with a single budget of the same name.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetWorkspace {
    pub name: WorkspaceName,
    /// Its class, which decides the order of load shedding.
    pub class: EntryClass,
    /// The top-up of its budget in tokens.
    pub budget: u64,
    /// The services that it may call.
    pub services: Vec<ServiceName>,
}

impl FleetFile {
    /// Reads a deployment from a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, is not TOML, or has unknown keys.
    pub fn try_read(path: impl AsRef<Path>) -> eyre::Result<Self> {
        let path = path.as_ref();
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("cannot read {}", path.display()))?;
        toml::from_str(&text).wrap_err_with(|| format!("in {}", path.display()))
    }

    /// Returns the number of routers of all domains.
    pub fn routers(&self) -> u32 {
        self.domains.iter().map(|domain| domain.routers).sum()
    }

    /// Returns the number of targets of all services.
    pub fn replicas(&self) -> u32 {
        self.services.iter().map(|service| service.replicas).sum()
    }

    /// Returns the test API key of a workspace.
    pub fn key_of(workspace: &WorkspaceName) -> String {
        format!("key-of-{workspace}")
    }

    /// Returns the first service of a kind.
    pub fn service_of(&self, kind: ServiceKind) -> Option<&FleetService> {
        self.services.iter().find(|service| service.kind == kind)
    }
}

fn repeatable_unless_said() -> bool {
    true
}
