//! The `deployment` module provides deployments run as processes on this machine.

use std::path::PathBuf;

use beechsaddle_core::catalogue::ServiceKind;

use super::deployment_catalogue::catalogue_text;
use super::{CallerSettings, CallerWorkspace, FleetFile, FleetService};
use crate::fleet::{FleetPlan, LabFleet, RouterPlan, TargetPlan};

/// A deployment with one process for each router and each replica.
///
/// The network delays of the file are not simulated: all traffic stays on the loopback interface.
#[derive(Clone, Debug)]
pub struct Deployment {
    file: FleetFile,
    engine_arguments: Vec<String>,
    settings: String,
}

impl Deployment {
    /// Creates a deployment whose stand-ins run with their default timing.
    pub fn new(file: FleetFile) -> Self {
        Deployment {
            file,
            engine_arguments: Vec::new(),
            settings: String::new(),
        }
    }

    /// Adds a command-line argument of the engine stand-ins, such as `--first-token-ms`.
    #[must_use]
    pub fn with_engine(mut self, argument: &str, value: u64) -> Self {
        self.engine_arguments.push(argument.to_owned());
        self.engine_arguments.push(value.to_string());
        self
    }

    /// Sets TOML tables that are merged into the settings of each router.
    #[must_use]
    pub fn with_settings(mut self, settings: impl Into<String>) -> Self {
        self.settings = settings.into();
        self
    }

    /// Starts all processes and waits until the routers are ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not start.
    pub async fn start(&self) -> eyre::Result<LabFleet> {
        LabFleet::try_start(self.plan(std::env::current_exe()?)).await
    }

    /// Returns the plan of the fleet; `program` is the path of the lab's binary.
    pub fn plan(&self, program: PathBuf) -> FleetPlan {
        FleetPlan {
            program,
            region: self.file.name.clone(),
            routers: self.routers(),
            targets: self.targets(),
            catalogue: catalogue_text(&self.file),
            settings: self.settings.clone(),
        }
    }

    /// Returns the caller settings for the running fleet.
    pub fn callers(&self, fleet: &LabFleet) -> CallerSettings {
        let routers = fleet.routers().values();
        let targets = fleet.targets().values();
        let engine = self.file.service_of(ServiceKind::Engine);
        let plain = self.file.service_of(ServiceKind::Plain);
        let model = engine.and_then(|service| service.model.as_ref());
        CallerSettings {
            routers: routers
                .map(|router| router.file.call_address.to_string())
                .collect(),
            platform: Some(fleet.platform().to_string()),
            targets: targets.map(|target| target.address.to_string()).collect(),
            model: model.map_or_else(String::new, ToString::to_string),
            service: plain.map_or_else(String::new, |service| service.name.to_string()),
            call_cost: plain.map_or(0, |service| service.call_cost),
            repeatable: plain.is_some_and(|service| service.repeatable),
            workspaces: self.workspaces(),
        }
    }

    fn routers(&self) -> Vec<RouterPlan> {
        let hosts = |count: u32| 1..=count;
        self.file
            .domains
            .iter()
            .flat_map(|domain| hosts(domain.routers).map(move |number| (domain, number)))
            .map(|(domain, number)| {
                let host = format!("{}-{number}", domain.name);
                RouterPlan::new(host.as_str(), domain.name.clone())
            })
            .collect()
    }

    // Replicas are assigned to the domains round-robin, so that each domain has replicas of every
    // service.
    fn targets(&self) -> Vec<TargetPlan> {
        let domains = self.file.domains.iter().cycle();
        let replicas = self.file.services.iter().flat_map(|service| {
            let numbers = 1..=service.replicas;
            numbers.map(move |number| (service, number))
        });
        replicas
            .zip(domains)
            .map(|((service, number), domain)| {
                let host = format!("{}-{number}", service.name);
                let target = TargetPlan::new(
                    host.as_str(),
                    domain.name.clone(),
                    service.name.clone(),
                    service.kind,
                );
                self.with_target_arguments(target, service)
            })
            .collect()
    }

    fn with_target_arguments(&self, target: TargetPlan, service: &FleetService) -> TargetPlan {
        let Some(model) = &service.model else {
            return target;
        };
        let mut arguments = vec!["--model", model.as_str()];
        arguments.extend(self.engine_arguments.iter().map(String::as_str));
        target.with_arguments(&arguments)
    }

    // Only workspaces that may call every service send load: calls that a service refuses would
    // only measure refusals.
    fn workspaces(&self) -> Vec<CallerWorkspace> {
        self.file
            .workspaces
            .iter()
            .filter(|workspace| workspace.services.len() == self.file.services.len())
            .map(|workspace| CallerWorkspace {
                name: workspace.name.to_string(),
                key: FleetFile::key_of(&workspace.name),
                budget: workspace.name.to_string(),
            })
            .collect()
    }
}
