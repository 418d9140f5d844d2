//! The `fleet_plan` module provides what a fleet is made of.

use std::path::PathBuf;

use beechsaddle_core::catalogue::ServiceKind;
use beechsaddle_core::names::{DomainName, HostName, ServiceName};

/// What a fleet is made of.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// The lab's own program.
    pub program: PathBuf,
    /// The region that the domains are in.
    pub region: String,
    /// The routers.
    pub routers: Vec<RouterPlan>,
    /// The targets.
    pub targets: Vec<TargetPlan>,
    /// The catalogue, as an operator writes it.
    pub catalogue: String,
    /// Tables that go into the settings of each router.
    pub settings: String,
}

/// One router.
#[derive(Clone, Debug)]
pub struct RouterPlan {
    /// Its host.
    pub host: HostName,
    /// Its domain.
    pub domain: DomainName,
}

/// One target.
#[derive(Clone, Debug)]
pub struct TargetPlan {
    /// Its host.
    pub host: HostName,
    /// Its domain.
    pub domain: DomainName,
    /// Its service.
    pub service: ServiceName,
    /// What it is.
    pub kind: ServiceKind,
    /// Further arguments of its stand-in.
    pub arguments: Vec<String>,
}

impl RouterPlan {
    /// A router on a host of a domain.
    pub fn new(host: impl Into<HostName>, domain: impl Into<DomainName>) -> Self {
        RouterPlan {
            host: host.into(),
            domain: domain.into(),
        }
    }
}

impl TargetPlan {
    /// A target without further arguments.
    pub fn new(
        host: impl Into<HostName>,
        domain: impl Into<DomainName>,
        service: impl Into<ServiceName>,
        kind: ServiceKind,
    ) -> Self {
        TargetPlan {
            host: host.into(),
            domain: domain.into(),
            service: service.into(),
            kind,
            arguments: Vec::new(),
        }
    }

    /// Adds arguments of its stand-in.
    #[must_use]
    pub fn with_arguments(mut self, arguments: &[&str]) -> Self {
        let arguments = arguments.iter().map(|text| (*text).to_owned());
        self.arguments.extend(arguments);
        self
    }

    /// The name of its stand-in.
    pub(super) fn stand_in(&self) -> &'static str {
        match self.kind {
            ServiceKind::Engine => "engine",
            ServiceKind::Plain => "plain",
        }
    }
}
