//! The `lab_fleet` module provides a running fleet.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eyre::{WrapErr, eyre};
use http::{Request, StatusCode};
use http_body_util::Full;
use rand::Rng;

use beechsaddle::catalogue_files::BaseFile;
use beechsaddle::platform::{PlatformClient, PlatformOptions};
use beechsaddle_core::members::HostState;
use beechsaddle_core::names::HostName;

use super::fleet_caller::FleetCaller;
use super::fleet_plan::FleetPlan;
use super::host_lists::host_lists;
use super::lab_process::LabProcess;
use super::lab_target::LabTarget;
use super::operator_part::{apply_catalogue, write_hosts};
use super::router_file::{FleetCommons, RouterFile};
use super::scratch_directory::ScratchDirectory;

/// How often a router that is to become ready is asked.
const READY_PAUSE: Duration = Duration::from_millis(20);

/// How long a router may take to become ready.
pub const READY_PATIENCE: Duration = Duration::from_secs(15);

/// A running fleet of processes; all end when this is dropped.
#[derive(Debug)]
pub struct LabFleet {
    plan: FleetPlan,
    commons: FleetCommons,
    directory: ScratchDirectory,
    routers: BTreeMap<HostName, LabRouter>,
    targets: BTreeMap<HostName, LabTarget>,
    base: BaseFile,
    _platform: LabProcess,
}

/// A router of the fleet.
#[derive(Debug)]
pub struct LabRouter {
    /// Where it listens.
    pub file: RouterFile,
    /// Whether the platform lists its host.
    pub is_listed: bool,
    /// Its process, unless it was killed.
    pub process: Option<LabProcess>,
}

impl LabFleet {
    /// Starts the stand-ins, declares the catalogue and the hosts, starts the routers, and waits
    /// until they take calls.
    ///
    /// # Errors
    ///
    /// When a process does not start or the catalogue has findings.
    pub async fn try_start(plan: FleetPlan) -> eyre::Result<Self> {
        let (platform, address) = LabProcess::try_start_stand_in(&plan.program, ["platform"])?;
        let commons = FleetCommons {
            region: plan.region.clone(),
            platform: address,
            secret: random_secret(),
            settings: plan.settings.clone(),
        };
        let mut fleet = LabFleet {
            directory: ScratchDirectory::try_new()?,
            routers: BTreeMap::new(),
            targets: BTreeMap::new(),
            base: BaseFile::default(),
            _platform: platform,
            plan,
            commons,
        };
        fleet.start_targets()?;
        fleet.plan_routers()?;
        fleet.write_hosts().await?;
        fleet.apply_catalogue(&fleet.plan.catalogue.clone()).await?;
        let hosts: Vec<HostName> = fleet.routers.keys().cloned().collect();
        for host in &hosts {
            fleet.start_router(host.as_str())?;
        }
        for host in &hosts {
            fleet.wait_ready(host.as_str(), READY_PATIENCE).await?;
        }
        Ok(fleet)
    }

    /// Where the platform listens.
    pub fn platform(&self) -> SocketAddr {
        self.commons.platform
    }

    /// A client of the platform, as an operator has it.
    pub fn platform_client(&self) -> eyre::Result<PlatformClient> {
        PlatformClient::try_new(&PlatformOptions::new(self.platform()), None)
    }

    /// Applies a catalogue, edited from the one before.
    pub async fn apply_catalogue(&mut self, text: &str) -> eyre::Result<()> {
        let client = self.platform_client()?;
        self.base = apply_catalogue(&client, text, self.base.clone()).await?;
        Ok(())
    }

    /// All routers.
    pub fn routers(&self) -> &BTreeMap<HostName, LabRouter> {
        &self.routers
    }

    /// All targets.
    pub fn targets(&self) -> &BTreeMap<HostName, LabTarget> {
        &self.targets
    }

    /// A router.
    pub fn router(&self, host: &str) -> eyre::Result<&LabRouter> {
        self.routers
            .get(host)
            .ok_or_else(|| eyre!("there is no router {host}"))
    }

    /// Where a router takes calls.
    pub fn call_address(&self, host: &str) -> eyre::Result<String> {
        Ok(self.router(host)?.file.call_address.to_string())
    }

    /// Where a target listens.
    pub fn target_address(&self, host: &str) -> eyre::Result<String> {
        let target = self.targets.get(host);
        let target = target.ok_or_else(|| eyre!("there is no target {host}"))?;
        Ok(target.address.to_string())
    }

    /// The process of a router that runs.
    pub fn process(&mut self, host: &str) -> eyre::Result<&mut LabProcess> {
        self.routers
            .get_mut(host)
            .and_then(|router| router.process.as_mut())
            .ok_or_else(|| eyre!("router {host} does not run"))
    }

    /// Kills a router, with everything that it knows.
    pub fn kill_router(&mut self, host: &str) -> eyre::Result<()> {
        self.process(host)?.kill()?;
        if let Some(router) = self.routers.get_mut(host) {
            router.process = None;
        }
        Ok(())
    }

    /// Starts a router that does not run, as another incarnation at the same addresses.
    pub fn start_router(&mut self, host: &str) -> eyre::Result<()> {
        let files: Vec<RouterFile> = self
            .routers
            .values()
            .map(|router| router.file.clone())
            .collect();
        let settings = self.directory.path().join(format!("{host}.toml"));
        let log = self.log_path(host);
        let router = self
            .routers
            .get_mut(host)
            .ok_or_else(|| eyre!("there is no router {host}"))?;
        let text = router.file.try_text(&self.commons, &files)?;
        std::fs::write(&settings, text)
            .wrap_err_with(|| format!("cannot write {}", settings.display()))?;
        let process = LabProcess::try_start_router(&self.plan.program, &settings, &log)?;
        router.process = Some(process);
        Ok(())
    }

    /// Waits until a router takes calls.
    ///
    /// # Errors
    ///
    /// When it ends before, or does not within `patience`; the error has the end of its log.
    pub async fn wait_ready(&mut self, host: &str, patience: Duration) -> eyre::Result<()> {
        let started = Instant::now();
        let address = self.call_address(host)?;
        let caller = FleetCaller::new();
        while started.elapsed() < patience {
            let request = Request::get("/healthz").header("host", &address);
            let request = request.body(Full::new(Bytes::new()))?;
            let answer = caller.send(&address, request).await;
            if answer.is_ok_and(|answer| answer.status == StatusCode::OK) {
                return Ok(());
            }
            if let Some(status) = self.process(host)?.wait(Duration::ZERO)? {
                return Err(eyre!("{host} ended, {status}: {}", self.log_end(host)));
            }
            tokio::time::sleep(READY_PAUSE).await;
        }
        Err(eyre!("{host} is not ready: {}", self.log_end(host)))
    }

    /// Tells the platform's host list that a target is leaving, or is not.
    pub async fn set_target_state(&mut self, host: &str, state: HostState) -> eyre::Result<()> {
        let target = self
            .targets
            .get_mut(host)
            .ok_or_else(|| eyre!("there is no target {host}"))?;
        target.state = state;
        self.write_hosts().await
    }

    /// Takes a router's host off the platform's list, as the platform does some time after the host
    /// has died, or puts it back.
    pub async fn set_router_listed(&mut self, host: &str, is_listed: bool) -> eyre::Result<()> {
        let router = self
            .routers
            .get_mut(host)
            .ok_or_else(|| eyre!("there is no router {host}"))?;
        router.is_listed = is_listed;
        self.write_hosts().await
    }

    /// The log of a router.
    pub fn log_path(&self, host: &str) -> PathBuf {
        self.directory.path().join(format!("{host}.log"))
    }

    /// The last lines of a router's log.
    pub fn log_end(&self, host: &str) -> String {
        let log = std::fs::read_to_string(self.log_path(host)).unwrap_or_default();
        let lines: Vec<&str> = log.lines().collect();
        lines[lines.len().saturating_sub(40)..].join("\n")
    }

    fn start_targets(&mut self) -> eyre::Result<()> {
        for plan in self.plan.targets.clone() {
            let stand_in = plan.stand_in().to_owned();
            let arguments = std::iter::once(stand_in).chain(plan.arguments.clone());
            let (process, address) = LabProcess::try_start_stand_in(&self.plan.program, arguments)?;
            let target = LabTarget {
                address,
                state: HostState::Live,
                _process: process,
                plan: plan.clone(),
            };
            self.targets.insert(plan.host, target);
        }
        Ok(())
    }

    fn plan_routers(&mut self) -> eyre::Result<()> {
        for plan in &self.plan.routers {
            let router = LabRouter {
                file: RouterFile::try_new(plan)?,
                is_listed: true,
                process: None,
            };
            self.routers.insert(plan.host.clone(), router);
        }
        Ok(())
    }

    async fn write_hosts(&self) -> eyre::Result<()> {
        let listed = self.routers.values().filter(|router| router.is_listed);
        let files = listed.map(|router| &router.file);
        let lists = host_lists(files, self.targets.values());
        write_hosts(&self.platform_client()?, lists).await
    }
}

impl Drop for LabFleet {
    fn drop(&mut self) {
        // The logs go away with the directory, and a test that failed needs them.
        if std::thread::panicking() {
            for host in self.routers.keys() {
                eprintln!("log of {host}:\n{}", self.log_end(host.as_str()));
            }
        }
    }
}

fn random_secret() -> String {
    let mut generator = rand::rng();
    (0..4)
        .map(|_| format!("{:016x}", generator.random::<u64>()))
        .collect()
}
