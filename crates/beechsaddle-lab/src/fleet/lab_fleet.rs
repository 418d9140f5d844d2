//! The `lab_fleet` module provides a running fleet of processes.

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
use super::operator_actions::{apply_catalogue, write_hosts};
use super::router_file::{FleetSettings, RouterFile};
use super::scratch_directory::ScratchDirectory;

/// The time between two readiness checks of a router.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How long a router may take to become ready.
pub const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// A running fleet of processes, all of which are killed on drop.
#[derive(Debug)]
pub struct LabFleet {
    plan: FleetPlan,
    settings: FleetSettings,
    directory: ScratchDirectory,
    routers: BTreeMap<HostName, LabRouter>,
    targets: BTreeMap<HostName, LabTarget>,
    base: BaseFile,
    _platform: LabProcess,
}

#[derive(Debug)]
pub struct LabRouter {
    /// The settings file with its addresses.
    pub file: RouterFile,
    /// Whether its host is on the platform's host list.
    pub is_listed: bool,
    /// Its process; `None` before the start and after a kill.
    pub process: Option<LabProcess>,
}

impl LabFleet {
    /// Starts the stand-ins, writes the host lists and the catalogue, starts the routers, and waits
    /// until they are ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not start, or if the catalogue is invalid.
    pub async fn try_start(plan: FleetPlan) -> eyre::Result<Self> {
        let (platform, address) = LabProcess::try_start_stand_in(&plan.program, ["platform"])?;
        let settings = FleetSettings {
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
            settings,
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
            fleet.wait_ready(host.as_str(), READY_TIMEOUT).await?;
        }
        Ok(fleet)
    }

    /// Returns the address of the platform.
    pub fn platform(&self) -> SocketAddr {
        self.settings.platform
    }

    /// Creates an operator's client of the platform.
    pub fn platform_client(&self) -> eyre::Result<PlatformClient> {
        PlatformClient::try_new(&PlatformOptions::new(self.platform()), None)
    }

    /// Applies a catalogue, with the previously applied one as its base.
    pub async fn apply_catalogue(&mut self, text: &str) -> eyre::Result<()> {
        let client = self.platform_client()?;
        self.base = apply_catalogue(&client, text, self.base.clone()).await?;
        Ok(())
    }

    /// Returns all routers by host.
    pub fn routers(&self) -> &BTreeMap<HostName, LabRouter> {
        &self.routers
    }

    /// Returns all targets by host.
    pub fn targets(&self) -> &BTreeMap<HostName, LabTarget> {
        &self.targets
    }

    pub fn router(&self, host: &str) -> eyre::Result<&LabRouter> {
        self.routers
            .get(host)
            .ok_or_else(|| eyre!("there is no router {host}"))
    }

    /// Returns the call address of a router.
    pub fn call_address(&self, host: &str) -> eyre::Result<String> {
        Ok(self.router(host)?.file.call_address.to_string())
    }

    /// Returns the address of a target.
    pub fn target_address(&self, host: &str) -> eyre::Result<String> {
        let target = self.targets.get(host);
        let target = target.ok_or_else(|| eyre!("there is no target {host}"))?;
        Ok(target.address.to_string())
    }

    /// Returns the process of a running router.
    pub fn process(&mut self, host: &str) -> eyre::Result<&mut LabProcess> {
        self.routers
            .get_mut(host)
            .and_then(|router| router.process.as_mut())
            .ok_or_else(|| eyre!("router {host} is not running"))
    }

    /// Kills a router, which loses its state in memory.
    pub fn kill_router(&mut self, host: &str) -> eyre::Result<()> {
        self.process(host)?.kill()?;
        if let Some(router) = self.routers.get_mut(host) {
            router.process = None;
        }
        Ok(())
    }

    /// Starts a router that is not running, as a new incarnation at the same addresses.
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
        let text = router.file.try_text(&self.settings, &files)?;
        std::fs::write(&settings, text)
            .wrap_err_with(|| format!("cannot write {}", settings.display()))?;
        let process = LabProcess::try_start_router(&self.plan.program, &settings, &log)?;
        router.process = Some(process);
        Ok(())
    }

    /// Waits until a router is ready.
    ///
    /// # Errors
    ///
    /// Returns an error with the tail of its log if it exits, or is not ready within `timeout`.
    pub async fn wait_ready(&mut self, host: &str, timeout: Duration) -> eyre::Result<()> {
        let started = Instant::now();
        let address = self.call_address(host)?;
        let caller = FleetCaller::new();
        while started.elapsed() < timeout {
            let request = Request::get("/healthz").header("host", &address);
            let request = request.body(Full::new(Bytes::new()))?;
            let answer = caller.send(&address, request).await;
            if answer.is_ok_and(|answer| answer.status == StatusCode::OK) {
                return Ok(());
            }
            if let Some(status) = self.process(host)?.wait(Duration::ZERO)? {
                return Err(eyre!("{host} exited, {status}: {}", self.log_tail(host)));
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
        Err(eyre!("{host} is not ready: {}", self.log_tail(host)))
    }

    /// Sets the state of a target in the platform's host list.
    pub async fn set_target_state(&mut self, host: &str, state: HostState) -> eyre::Result<()> {
        let target = self
            .targets
            .get_mut(host)
            .ok_or_else(|| eyre!("there is no target {host}"))?;
        target.state = state;
        self.write_hosts().await
    }

    /// Removes a router's host from the platform's list, as the platform does some time after the
    /// death of a host, or adds it again.
    pub async fn set_router_listed(&mut self, host: &str, is_listed: bool) -> eyre::Result<()> {
        let router = self
            .routers
            .get_mut(host)
            .ok_or_else(|| eyre!("there is no router {host}"))?;
        router.is_listed = is_listed;
        self.write_hosts().await
    }

    /// Returns the path of a router's log.
    pub fn log_path(&self, host: &str) -> PathBuf {
        self.directory.path().join(format!("{host}.log"))
    }

    /// Returns the last lines of a router's log.
    pub fn log_tail(&self, host: &str) -> String {
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
        // The logs are removed with the directory, so they are printed if a test fails.
        if std::thread::panicking() {
            for host in self.routers.keys() {
                eprintln!("log of {host}:\n{}", self.log_tail(host.as_str()));
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
