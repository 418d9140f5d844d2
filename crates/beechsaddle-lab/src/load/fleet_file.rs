//! The `fleet_file` module provides the description of a deployment.

use std::path::Path;

use beechsaddle_core::catalogue::{EntryClass, ServiceKind};
use beechsaddle_core::names::{DomainName, ModelName, ServiceName, WorkspaceName};
use eyre::WrapErr;
use serde::Deserialize;

/// A deployment, read from a TOML file under `examples/`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetFile {
    /// Its region.
    pub name: String,
    /// One way between domains, in milliseconds.
    pub delay_between_domains_ms: f64,
    /// One way between callers and routers, in milliseconds.
    pub delay_to_clients_ms: f64,
    /// The failure domains.
    pub domains: Vec<FleetDomain>,
    /// The services.
    pub services: Vec<FleetService>,
    /// The workspaces, the busiest first.
    pub workspaces: Vec<FleetWorkspace>,
}

/// A failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetDomain {
    /// Its name.
    pub name: DomainName,
    /// How many entry hosts it has.
    pub routers: u32,
}

/// A service with its targets, which are spread over the domains.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetService {
    /// Its name.
    pub name: ServiceName,
    /// What kind of targets it has.
    pub kind: ServiceKind,
    /// The model of engines.
    #[serde(default)]
    pub model: Option<ModelName>,
    /// How many targets it has in all.
    pub replicas: u32,
    /// Whether calls may be repeated.
    #[serde(default = "repeatable_unless_said")]
    pub repeatable: bool,
    /// What a call costs, in tokens; for plain services.
    #[serde(default)]
    pub call_cost: u64,
}

/// A workspace with one budget of the same name.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetWorkspace {
    /// Its name.
    pub name: WorkspaceName,
    /// How early its load is shed.
    pub class: EntryClass,
    /// What is paid in, in tokens.
    pub budget: u64,
    /// The services it may call.
    pub services: Vec<ServiceName>,
}

impl FleetFile {
    /// Reads a file.
    ///
    /// # Errors
    ///
    /// When it cannot be read, is not TOML, or has unknown keys.
    pub fn try_read(path: impl AsRef<Path>) -> eyre::Result<Self> {
        let path = path.as_ref();
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("cannot read {}", path.display()))?;
        toml::from_str(&text).wrap_err_with(|| format!("in {}", path.display()))
    }

    /// How many routers there are.
    pub fn routers(&self) -> u32 {
        self.domains.iter().map(|domain| domain.routers).sum()
    }

    /// How many targets there are.
    pub fn replicas(&self) -> u32 {
        self.services.iter().map(|service| service.replicas).sum()
    }

    /// The key of a workspace, for callers on this machine.
    pub fn key_of(workspace: &WorkspaceName) -> String {
        format!("key-of-{workspace}")
    }

    /// The first service of a kind.
    pub fn service_of(&self, kind: ServiceKind) -> Option<&FleetService> {
        self.services.iter().find(|service| service.kind == kind)
    }
}

fn repeatable_unless_said() -> bool {
    true
}
