//! The `soak_fleet` module provides the routers of a soak with their store, targets and proxies.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use beechsaddle_platform_stand_in::{
    CallRequest, ConfigDraft, DraftKind, EntryState, LimitsDraft, READY_LINE, RouteDraft,
    StoreStandIn, call,
};
use eyre::{WrapErr, bail};
use serde_json::Value;
use tokio::time::{Instant, sleep};

use super::call_log::{SoakEvidence, WorkspaceTotals};
use super::discovery_fault::DiscoveryFault;
use super::fault_plan::{DOMAINS, LeaveNotice};
use super::fault_proxy::{FaultProxy, PathFault};
use super::soak_target::{EVENTS, SoakTarget};
use crate::fleet::{LabProcess, free_address};

/// The workspaces as name, key and prepaid tokens: one that never runs out, and one that does.
pub const WORKSPACES: [(&str, &str, u64); 2] = [
    ("ample", "key-of-ample", 50_000_000),
    ("scant", "key-of-scant", 150_000),
];

/// A service that no configuration names, and the name of its entry.
const FORMER_SERVICE: &str = "plain-old";

/// How long a router may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(8);

/// Grace period between SIGTERM and SIGKILL, as set in the routers' settings.
pub const GRACE: Duration = Duration::from_secs(4);

/// Number of targets that are in service at a time. A fault selects one of these slots.
pub const TARGET_SLOTS: usize = 4;

/// A router with the proxies of its connections.
pub struct SoakRouter {
    /// Call address.
    pub calls: SocketAddr,
    /// Address of the readiness endpoint.
    pub ready: SocketAddr,
    /// Proxy of its connections to the store.
    pub store_path: FaultProxy,
    /// Proxy of the connections over which peers borrow tokens from it.
    pub peer_path: FaultProxy,
    /// Its process; `None` while it is down.
    pub process: Option<LabProcess>,
    /// Number of times that it was started.
    pub starts: u64,
    host: String,
    settings: PathBuf,
    log: PathBuf,
}

/// The routers, store and targets of a soak.
pub struct SoakFleet {
    pub store: StoreStandIn,
    pub routers: Vec<SoakRouter>,
    /// All targets, including replaced ones. The first [`TARGET_SLOTS`] are in service.
    pub targets: Vec<SoakTarget>,
    /// The latest configuration.
    pub config: ConfigDraft,
    /// Whether targets of two software versions serve side by side.
    has_versions: bool,
    /// The time between two events of a stream.
    event_gap: Duration,
    program: PathBuf,
}

impl SoakFleet {
    /// Starts a store, two targets of each service and routers in two domains, and waits until the
    /// routers are ready. With `has_versions`, two engines of another software version join them.
    /// Settings and logs are written to `folder`.
    pub async fn try_start(
        program: &Path,
        folder: &Path,
        routers: usize,
        has_versions: bool,
        event_gap: Duration,
    ) -> eyre::Result<Self> {
        let mut fleet = SoakFleet {
            store: StoreStandIn::try_start().await?,
            routers: Vec::new(),
            targets: Vec::new(),
            config: first_config(),
            has_versions,
            event_gap,
            program: program.to_owned(),
        };
        fleet.store.put_config(&fleet.config);
        for (service, zone) in [
            ("plain", "north"),
            ("plain", "south"),
            ("engine", "north"),
            ("engine", "south"),
        ] {
            fleet.add_target(service, zone).await?;
        }
        if has_versions {
            fleet.add_target("engine", "north").await?;
            fleet.add_target("engine", "south").await?;
        }
        for number in 0..routers {
            let router = make_router(&fleet.store, folder, number).await?;
            fleet.routers.push(router);
            fleet.start_router(number)?;
        }
        for number in 0..routers {
            fleet.wait_ready(number).await?;
        }
        Ok(fleet)
    }

    /// Starts the process of a router.
    pub fn start_router(&mut self, number: usize) -> eyre::Result<()> {
        let router = &mut self.routers[number];
        let process = LabProcess::try_start_router(&self.program, &router.settings, &router.log)?;
        router.process = Some(process);
        router.starts += 1;
        Ok(())
    }

    /// Waits until a router reports that it is ready.
    pub async fn wait_ready(&self, number: usize) -> eyre::Result<()> {
        let until = Instant::now() + READY_TIMEOUT;
        // Asked once more after the time is over: this program itself may have been blocked meanwhile.
        loop {
            let is_last = Instant::now() >= until;
            let request = CallRequest::new(READY_LINE, "ready", "");
            let reply = call(self.routers[number].ready, &request).await;
            if reply.is_ok_and(|reply| reply.status == 200) {
                return Ok(());
            }
            if is_last {
                bail!("router {number} was not ready within {READY_TIMEOUT:?}");
            }
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Starts a target and writes its entry to the store.
    pub async fn add_target(
        &mut self,
        service: &'static str,
        zone: &'static str,
    ) -> eyre::Result<()> {
        let name = format!("{service}-{}", self.targets.len());
        let version = self.next_version();
        let target = SoakTarget::try_start(&name, service, zone, version, self.event_gap).await?;
        self.targets.push(target);
        self.list_target(self.targets.len() - 1, EntryState::Ready);
        Ok(())
    }

    /// Returns the software version of the next target. With two versions, each gets two targets in
    /// turn, so that the first engines are of one version and those that join them of the other.
    fn next_version(&self) -> &'static str {
        let is_second = (self.targets.len() / 2).is_multiple_of(2);
        match self.has_versions && is_second {
            true => "v2",
            false => "v1",
        }
    }

    /// Writes the entry of a target to the store.
    pub fn list_target(&self, number: usize, state: EntryState) {
        let target = &self.targets[number];
        let address = target.path.address();
        let entry = target
            .stand_in
            .entry_at(address, target.service, target.zone, state);
        self.store.put("servers", target.stand_in.name(), &entry);
    }

    /// Announces by its entry how long a target is still cold.
    pub fn announce_cold(&self, number: usize, span: Duration) {
        let target = &self.targets[number];
        if target.stand_in.has_crashed() {
            return;
        }
        target.stand_in.set_cold(span.as_millis() as u64);
        self.list_target(number, EntryState::Ready);
    }

    /// Sets a target to draining and adds a replacement.
    pub async fn replace_target(&mut self, number: usize) -> eyre::Result<()> {
        self.refill_slot(number).await?;
        self.list_target(self.targets.len() - 1, EntryState::Draining);
        Ok(())
    }

    /// Adds a target of the same service and domain, which takes the slot, so that faults of the
    /// slot now hit it.
    async fn refill_slot(&mut self, number: usize) -> eyre::Result<()> {
        let (service, zone) = (self.targets[number].service, self.targets[number].zone);
        self.add_target(service, zone).await?;
        let last = self.targets.len() - 1;
        self.targets.swap(number, last);
        Ok(())
    }

    /// Replaces a target whose responses say that it leaves, unless another one has its slot by now.
    pub async fn replace_leaving(
        &mut self,
        number: usize,
        notice: LeaveNotice,
    ) -> eyre::Result<()> {
        if !self.targets[number].is_leaving {
            return Ok(());
        }
        match notice {
            LeaveNotice::Entry => self.replace_target(number).await,
            LeaveNotice::ResponsesOnly => self.refill_slot(number).await,
        }
    }

    /// Removes the entries of the targets that left after they had been replaced.
    pub fn remove_left(&self) {
        let replaced = self.targets[TARGET_SLOTS..].iter();
        for target in replaced.filter(|target| target.is_leaving) {
            self.store.remove_target(target.stand_in.name());
        }
    }

    /// Writes a new configuration version with another idle time of callers' connections.
    pub fn put_idle_time(&mut self, idle_ms: u64) {
        self.config.limits.idle_timeout_ms = idle_ms;
        self.put_config();
    }

    /// Replaces the targets whose restart delay after a crash has passed.
    pub async fn replace_crashed_targets(&mut self) -> eyre::Result<()> {
        for number in 0..self.targets.len().min(TARGET_SLOTS) {
            let target = &mut self.targets[number];
            if !target.is_replaceable() {
                continue;
            }
            let (service, zone) = (target.service, target.zone);
            self.store.remove_target(target.stand_in.name());
            self.add_target(service, zone).await?;
            let last = self.targets.len() - 1;
            self.targets.swap(number, last);
        }
        Ok(())
    }

    /// Returns the number of runs with a given body at all targets.
    pub fn arrivals(&self, body: &[u8]) -> usize {
        let runs = self
            .targets
            .iter()
            .flat_map(|target| target.stand_in.runs());
        runs.filter(|run| run.body == body).count()
    }

    /// Returns the number of runs with bodies that begin with `mark` at all targets.
    pub fn arrivals_with(&self, mark: &[u8]) -> usize {
        let runs = self
            .targets
            .iter()
            .flat_map(|target| target.stand_in.runs());
        runs.filter(|run| run.body.starts_with(mark)).count()
    }

    /// Writes a new configuration version with one more route.
    pub fn put_config(&mut self) {
        self.config.version += 1;
        let prefix: &'static str = version_prefix(self.config.version).leak();
        let route = RouteDraft::new(prefix, prefix, DraftKind::Idempotent, "plain");
        self.config.routes.push(route);
        self.store.put_config(&self.config);
    }

    /// Rewrites the store entries of routers so that peers reach them through their proxies.
    pub fn redirect_peers(&self) {
        for router in &self.routers {
            let Some(mut entry) = self.store.spec("routers", &router.host) else {
                continue;
            };
            let proxied = Value::String(router.peer_path.address().to_string());
            if entry["address"] != proxied {
                entry["address"] = proxied;
                self.store.put("routers", &router.host, &entry);
            }
        }
    }

    /// Begins a fault of what routers read in the store.
    pub fn begin_discovery(&self, fault: DiscoveryFault) {
        match fault {
            DiscoveryFault::OddEntry(kind, content) => {
                let target = &self.targets[0];
                let state = EntryState::Ready;
                let entry = target.stand_in.entry(target.service, target.zone, state);
                let text = content.text(&entry);
                self.store.put_raw(kind, content.entry_name(), text);
            }
            DiscoveryFault::SharedAddress(target) => {
                let target = &self.targets[target];
                let address = target.path.address();
                let state = EntryState::Ready;
                let entry = target
                    .stand_in
                    .entry_at(address, FORMER_SERVICE, target.zone, state);
                self.store.put("servers", FORMER_SERVICE, &entry);
            }
            DiscoveryFault::CutWatches(limit) => self.store.cut_watches_after(Some(limit)),
        }
    }

    /// Ends such a fault.
    pub fn end_discovery(&self, fault: DiscoveryFault) {
        match fault {
            DiscoveryFault::OddEntry(kind, content) => {
                self.store.remove(kind, content.entry_name());
            }
            DiscoveryFault::SharedAddress(_) => self.store.remove("servers", FORMER_SERVICE),
            DiscoveryFault::CutWatches(_) => self.store.cut_watches_after(None),
        }
    }

    /// Ends all faults of connections, store and targets.
    pub fn clear_faults(&self) {
        self.store.set_fault(Default::default());
        self.store.cut_watches_after(None);
        for domain in DOMAINS {
            self.store.withdraw_evacuation(domain);
        }
        for router in &self.routers {
            router.store_path.set(PathFault::None);
            router.peer_path.set(PathFault::None);
        }
        for target in &self.targets {
            if !target.stand_in.has_crashed() {
                target.path.set(PathFault::None);
            }
            target.stand_in.set_fault(Default::default());
            target.stand_in.set_limit(None);
            target.stand_in.set_rest(None);
        }
    }

    /// Returns the records of targets and store.
    pub fn evidence(&self) -> SoakEvidence {
        let targets = self.targets.iter().map(|target| &target.stand_in);
        let totals = WORKSPACES.iter().map(|(workspace, _, prepaid)| {
            let ledger = self.store.spec("budgets", &format!("ledger-{workspace}"));
            let taken = ledger.and_then(|ledger| ledger["taken"].as_u64());
            WorkspaceTotals {
                workspace,
                prepaid: *prepaid,
                // A workspace without calls has no ledger.
                taken: taken.unwrap_or(0),
            }
        });
        SoakEvidence {
            events: EVENTS,
            runs: targets
                .clone()
                .map(|target| (target.name().to_owned(), target.runs()))
                .collect(),
            arrivals: targets
                .map(|target| (target.name().to_owned(), target.arrivals()))
                .collect(),
            totals: totals.collect(),
        }
    }
}

impl SoakRouter {
    /// Changes the settings file and makes the process reload it.
    pub fn reload(&self, number: u64) -> eyre::Result<()> {
        let text = std::fs::read_to_string(&self.settings)?;
        let lines = text.lines().map(|line| match line.starts_with("watch_ms") {
            true => format!("watch_ms = {}", 1_500 + number * 10),
            false => line.to_owned(),
        });
        let text = lines.collect::<Vec<_>>().join("\n");
        std::fs::write(&self.settings, text).wrap_err("cannot write settings")?;
        match &self.process {
            Some(process) => process.reload(),
            None => Ok(()),
        }
    }
}

/// Returns the path prefix of the route that a configuration version adds.
pub fn version_prefix(version: u64) -> String {
    format!("/v{version}/")
}

fn first_config() -> ConfigDraft {
    let mut resumable = RouteDraft::new("on", "/stream/on/", DraftKind::Stream, "engine");
    resumable.is_resumable = true;
    ConfigDraft {
        version: 1,
        routes: vec![
            RouteDraft::new("get", "/get/", DraftKind::Idempotent, "plain"),
            RouteDraft::new("order", "/order/", DraftKind::NotRepeatable, "plain"),
            RouteDraft::new("once", "/stream/once/", DraftKind::Stream, "engine"),
            resumable,
        ],
        workspaces: WORKSPACES.to_vec(),
        limits: LimitsDraft::default(),
    }
}

async fn make_router(
    store: &StoreStandIn,
    folder: &Path,
    number: usize,
) -> eyre::Result<SoakRouter> {
    let host = format!("host-{number}");
    let domain = if number.is_multiple_of(2) {
        "north"
    } else {
        "south"
    };
    let (calls, ready, peer) = (free_address()?, free_address()?, free_address()?);
    let store_path = FaultProxy::try_start(store.address()).await?;
    let text = format!(
        "[gateway]\nhost = \"{host}\"\ndomain = \"{domain}\"\ncall_address = \"{calls}\"\n\
         ready_address = \"{ready}\"\npeer_address = \"{peer}\"\ngrace_s = {}\n\n\
         [store]\naddress = \"{}\"\nwatch_ms = 2000\n\
         evacuate_ms = 5000\n\n\
         [retries]\nratio = 0.2\nallowance = 50\nwindow_s = 10\n",
        GRACE.as_secs(),
        store_path.address()
    );
    let settings = folder.join(format!("{host}.toml"));
    std::fs::write(&settings, text)?;
    Ok(SoakRouter {
        calls,
        ready,
        store_path,
        peer_path: FaultProxy::try_start(peer).await?,
        process: None,
        starts: 0,
        log: folder.join(format!("{host}.log")),
        host,
        settings,
    })
}
