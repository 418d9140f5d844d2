//! The `small_fleet` module provides the deployments that experiments start.

use beechsaddle_core::catalogue::{EntryClass, ServiceKind};

use crate::load::{Deployment, FleetDomain, FleetFile, FleetService, FleetWorkspace};

/// The name of the engine service.
pub const ENGINES: &str = "engines";

/// The name of the plain service.
pub const PLAIN: &str = "plain";

/// The model that all engines serve.
pub const MODEL: &str = "small";

/// The tokens of each budget, far more than any cost experiment uses.
const AMPLE_BUDGET: u64 = 1_000_000_000;

/// The numbers of domains, routers, targets and workspaces of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSize {
    pub domains: u32,
    /// Routers in each domain.
    pub routers: u32,
    /// Engines in all domains together.
    pub engines: u32,
    /// Plain targets in all domains together.
    pub plain: u32,
    /// Workspaces, each with a budget.
    pub workspaces: u32,
}

impl Default for FleetSize {
    /// The smallest fleet in which each router has a peer: one domain with two routers.
    fn default() -> Self {
        FleetSize {
            domains: 1,
            routers: 2,
            engines: 1,
            plain: 1,
            workspaces: 1,
        }
    }
}

impl FleetSize {
    /// Returns a deployment of this size.
    pub fn deployment(self) -> Deployment {
        let domains = 0..self.domains;
        let workspaces = 0..self.workspaces;
        Deployment::new(FleetFile {
            name: "lab".to_owned(),
            delay_between_domains_ms: 0.0,
            delay_to_clients_ms: 0.0,
            domains: domains.map(|number| self.domain(number)).collect(),
            services: vec![engine_service(self.engines), plain_service(self.plain)],
            workspaces: workspaces.map(workspace).collect(),
        })
    }

    fn domain(self, number: u32) -> FleetDomain {
        FleetDomain {
            name: format!("domain-{number}").as_str().into(),
            routers: self.routers,
        }
    }
}

fn engine_service(replicas: u32) -> FleetService {
    FleetService {
        name: ENGINES.into(),
        kind: ServiceKind::Engine,
        model: Some(MODEL.into()),
        replicas,
        repeatable: true,
        call_cost: 0,
    }
}

fn plain_service(replicas: u32) -> FleetService {
    FleetService {
        name: PLAIN.into(),
        kind: ServiceKind::Plain,
        model: None,
        replicas,
        repeatable: true,
        call_cost: 1,
    }
}

fn workspace(number: u32) -> FleetWorkspace {
    FleetWorkspace {
        name: format!("workspace-{number}").as_str().into(),
        class: EntryClass::Standard,
        budget: AMPLE_BUDGET,
        services: vec![ENGINES.into(), PLAIN.into()],
    }
}
