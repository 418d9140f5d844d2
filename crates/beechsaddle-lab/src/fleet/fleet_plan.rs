//! The `fleet_plan` module provides the description of a fleet of processes.

use std::path::PathBuf;

use beechsaddle_core::catalogue::ServiceKind;
use beechsaddle_core::names::{DomainName, HostName, ServiceName};

/// The routers, targets, catalogue and settings of a fleet.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Path of the lab's binary.
    pub program: PathBuf,
    /// The region of the domains.
    pub region: String,
    pub routers: Vec<RouterPlan>,
    pub targets: Vec<TargetPlan>,
    /// The catalogue file, as TOML.
    pub catalogue: String,
    /// TOML tables that are merged into the settings of each router.
    pub settings: String,
}

/// A router to start.
#[derive(Clone, Debug)]
pub struct RouterPlan {
    pub host: HostName,
    pub domain: DomainName,
}

/// A target to start.
#[derive(Clone, Debug)]
pub struct TargetPlan {
    pub host: HostName,
    pub domain: DomainName,
    pub service: ServiceName,
    /// The kind of its service.
    pub kind: ServiceKind,
    /// Additional command-line arguments of its stand-in.
    pub arguments: Vec<String>,
}

impl RouterPlan {
    /// Creates a router on a host of a domain.
    pub fn new(host: impl Into<HostName>, domain: impl Into<DomainName>) -> Self {
        RouterPlan {
            host: host.into(),
            domain: domain.into(),
        }
    }
}

impl TargetPlan {
    /// Creates a target without additional arguments.
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

    /// Adds command-line arguments of its stand-in.
    #[must_use]
    pub fn with_arguments(mut self, arguments: &[&str]) -> Self {
        let arguments = arguments.iter().map(|text| (*text).to_owned());
        self.arguments.extend(arguments);
        self
    }

    /// Returns the subcommand of its stand-in.
    pub(super) fn stand_in(&self) -> &'static str {
        match self.kind {
            ServiceKind::Engine => "engine",
            ServiceKind::Plain => "plain",
        }
    }
}
