//! The `soak_run` module provides the run of one seed of a soak.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use beechsaddle_platform_stand_in::TargetFault;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

use super::announcement_checks::{CalmSpan, check_announcements};
use super::call_load::CallLoad;
use super::excuse_log::{ExcuseLog, ExcuseSubject};
use super::fault_plan::{FaultPlan, PlannedFault, REST_MAX_MS, SoakFault};
use super::fault_proxy::PathFault;
use super::idle_times::IdleTimes;
use super::recovery_checks::{RECOVERY_BOUND, check_recovery};
use super::shutdown_checks::check_shutdowns;
use super::soak_fleet::{GRACE, SoakFleet, TARGET_SLOTS};
use super::soak_target::{EVENT_GAP, LONG_EVENT_GAP};
use super::version_watch::VersionWatch;

/// How long a target that becomes cold stays so by its entry, as the configuration declares.
const COLD_SPAN: Duration = Duration::from_millis(3_000);

/// How often peer addresses are rewritten so that routers reach each other through proxies.
const PEER_REDIRECT_INTERVAL: Duration = Duration::from_millis(200);

/// The time between two checks whether a terminated router has exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// The time of announcements without other faults.
const CALM_SPAN: Duration = Duration::from_millis(12_000);

/// The time of shutdowns without other faults.
const SHUTDOWN_SPAN: Duration = Duration::from_millis(12_000);

/// Callers of each router that rest between their calls.
const RESTING_CALLERS: u64 = 2;

/// Separates the announcements of the calm span from those beside other faults.
const CALM_SEED: u64 = 0xca13;

/// The options of a soak.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// Path of the lab's binary, which also runs the routers.
    pub program: PathBuf,
    /// Directory for settings and logs.
    pub folder: PathBuf,
    /// The time during which faults are injected.
    pub span: Duration,
    /// Number of routers.
    pub routers: usize,
    /// Number of callers.
    pub callers: u64,
    /// Whether targets crash and set rate limits, and some calls crash their targets.
    pub has_target_faults: bool,
    /// Whether targets of two software versions serve side by side, and callers resume streams.
    pub has_versions: bool,
    /// Whether configurations change callers' idle time, and targets fall silent, leave and ask for
    /// rest.
    pub has_announcements: bool,
    /// Whether another writer leaves odd entries in the store, and the store cuts watches off.
    pub has_discovery_faults: bool,
    /// Whether routers are shut down in series once the other faults are over, with callers that send
    /// their calls in parts.
    pub has_shutdowns: bool,
}

/// The outcome of a seed.
#[derive(Clone, Debug)]
pub struct SoakOutcome {
    pub seed: u64,
    /// Number of calls.
    pub calls: usize,
    /// Number of calls that a target answered with success.
    pub answered: usize,
    /// Number of calls that resumed a stream.
    pub resumed: usize,
    /// Number of calls that continued the stream that they resumed.
    pub continued: usize,
    /// Number of faults injected.
    pub faults: usize,
    /// Violations of invariants, each with the call that shows it.
    pub violations: Vec<String>,
}

/// The start or end of a fault.
#[derive(Clone, Copy, Debug)]
enum SoakStep {
    Begin(PlannedFault),
    End(SoakFault),
}

/// Runs one seed: starts a fleet, injects its faults and checks the invariants.
///
/// # Errors
///
/// Returns an error if a process cannot be started, or if a router does not become ready.
pub async fn run_seed(options: &SoakOptions, seed: u64) -> eyre::Result<SoakOutcome> {
    let folder = options.folder.join(seed.to_string());
    std::fs::create_dir_all(&folder)?;
    let event_gap = match options.has_announcements {
        true => LONG_EVENT_GAP,
        false => EVENT_GAP,
    };
    let fleet = SoakFleet::try_start(
        &options.program,
        &folder,
        options.routers,
        options.has_versions,
        event_gap,
    )
    .await?;
    let routers = fleet.routers.iter().map(|router| router.calls).collect();
    let mut load = CallLoad::new(routers, options.has_target_faults, options.has_versions);
    load.has_pauses = options.has_shutdowns;
    let mut callers = JoinSet::new();
    for caller in 0..options.callers {
        callers.spawn(load.clone().run(seed, caller));
    }
    let mut plan = FaultPlan::new(seed, options.span, options.routers, TARGET_SLOTS);
    if options.has_target_faults {
        plan = plan
            .with_target_faults(seed, options.span, TARGET_SLOTS)
            .with_domain_faults(seed, options.span, TARGET_SLOTS);
    }
    if options.has_discovery_faults {
        plan = plan.with_discovery_faults(seed, options.span, TARGET_SLOTS);
    }
    if options.has_announcements {
        plan = plan.with_announcements(seed, options.span, TARGET_SLOTS);
        for caller in 0..RESTING_CALLERS * options.routers as u64 {
            callers.spawn(load.clone().run_resting(seed, caller));
        }
    }
    let faults = plan.faults.len();
    let mut run = SeedRun::new(fleet, &load);
    run.inject_faults(plan).await?;
    load.has_crashing.store(false, Ordering::Relaxed);
    let calm = match options.has_announcements {
        true => Some(run.announce_in_calm(seed).await?),
        false => None,
    };
    let shutdowns = match options.has_shutdowns {
        true => Some(run.shut_down_in_calm(seed).await?),
        false => None,
    };
    let mut violations = check_recovery(&mut run.fleet, options.has_target_faults).await?;
    load.is_stopped.store(true, Ordering::Relaxed);
    callers.join_all().await;
    let evidence = run.fleet.evidence();
    violations.extend(load.log.check(&evidence));
    if let Some(calm) = calm {
        let calls = load.log.calls();
        violations.extend(check_announcements(&calls, &evidence, &run.excuses, calm));
    }
    if let Some(calm) = shutdowns {
        let calls = load.log.calls();
        violations.extend(check_shutdowns(&calls, &evidence, calm));
    }
    let (calls, answered) = load.log.counts();
    let (resumed, continued) = load.log.resume_counts();
    drop(run);
    if violations.is_empty() {
        remove_folder(&folder);
    }
    Ok(SoakOutcome {
        seed,
        calls,
        answered,
        resumed,
        continued,
        faults,
        violations,
    })
}

fn remove_folder(folder: &Path) {
    if let Err(error) = std::fs::remove_dir_all(folder) {
        eprintln!("cannot remove {}: {error}", folder.display());
    }
}

/// A fleet with fault injection.
struct SeedRun {
    fleet: SoakFleet,
    starts: Vec<Arc<AtomicU64>>,
    terminated: Vec<u64>,
    newest: watch::Sender<u64>,
    idle_times: IdleTimes,
    excuses: ExcuseLog,
    _watches: JoinSet<()>,
}

impl SeedRun {
    fn new(fleet: SoakFleet, load: &CallLoad) -> Self {
        let starts: Vec<_> = fleet
            .routers
            .iter()
            .map(|_| Arc::new(AtomicU64::new(1)))
            .collect();
        let newest = watch::Sender::new(fleet.config.version);
        let mut watches = JoinSet::new();
        for (router, starts) in fleet.routers.iter().zip(&starts) {
            let version_watch = VersionWatch {
                router: router.calls,
                starts: Arc::clone(starts),
                newest: newest.subscribe(),
                log: load.log.clone(),
            };
            watches.spawn(version_watch.run());
        }
        SeedRun {
            terminated: vec![0; fleet.routers.len()],
            fleet,
            starts,
            newest,
            idle_times: load.idle_times.clone(),
            excuses: ExcuseLog::default(),
            _watches: watches,
        }
    }

    /// Starts and ends all faults at their times, and waits until all routers are ready again.
    async fn inject_faults(&mut self, plan: FaultPlan) -> eyre::Result<()> {
        let start = Instant::now();
        let begins = plan.faults.into_iter().enumerate();
        let mut steps: BTreeMap<(Duration, usize), SoakStep> = begins
            .map(|(number, planned)| ((planned.at, number), SoakStep::Begin(planned)))
            .collect();
        let mut number = steps.len();
        while let Some(((at, _), step)) = steps.pop_first() {
            while Instant::now() < start + at {
                self.fleet.redirect_peers();
                self.fleet.replace_crashed_targets().await?;
                sleep_until((start + at).min(Instant::now() + PEER_REDIRECT_INTERVAL)).await;
            }
            number += 1;
            match step {
                SoakStep::Begin(planned) => {
                    self.begin(planned.fault, number as u64).await?;
                    let end = SoakStep::End(planned.fault);
                    steps.insert((at + planned.span, number), end);
                }
                SoakStep::End(fault) => {
                    if !self.end(fault).await? {
                        steps.insert((at + EXIT_POLL_INTERVAL, number), step);
                    }
                }
            }
        }
        self.fleet.clear_faults();
        self.fleet.redirect_peers();
        for router in 0..self.fleet.routers.len() {
            self.fleet.wait_ready(router).await?;
        }
        Ok(())
    }

    /// Injects announcements without other faults, once the others are over.
    async fn announce_in_calm(&mut self, seed: u64) -> eyre::Result<CalmSpan> {
        sleep(RECOVERY_BOUND).await;
        self.fleet.replace_crashed_targets().await?;
        self.fleet.remove_left();
        let from = Instant::now().into_std();
        let plan = FaultPlan::announcements(seed ^ CALM_SEED, CALM_SPAN, TARGET_SLOTS);
        self.inject_faults(plan).await?;
        // Until the last rest is over.
        sleep(Duration::from_millis(REST_MAX_MS)).await;
        let until = Instant::now().into_std();
        Ok(CalmSpan { from, until })
    }

    /// Shuts routers down in series without other faults, once the others are over.
    async fn shut_down_in_calm(&mut self, seed: u64) -> eyre::Result<CalmSpan> {
        sleep(RECOVERY_BOUND).await;
        self.fleet.replace_crashed_targets().await?;
        let from = Instant::now().into_std();
        let routers = self.fleet.routers.len();
        let plan = FaultPlan::shutdowns(seed, SHUTDOWN_SPAN, routers, GRACE / 3);
        self.inject_faults(plan).await?;
        let until = Instant::now().into_std();
        Ok(CalmSpan { from, until })
    }

    async fn begin(&mut self, fault: SoakFault, number: u64) -> eyre::Result<()> {
        if let Some(subject) = self.excused(fault) {
            self.excuses.open(subject);
        }
        let fleet = &mut self.fleet;
        match fault {
            SoakFault::Kill(router) => {
                if let Some(mut process) = fleet.routers[router].process.take() {
                    process.kill()?;
                }
            }
            SoakFault::Terminate(router) => {
                if let Some(process) = &fleet.routers[router].process {
                    process.terminate()?;
                }
                self.terminated[router] = fleet.routers[router].starts;
            }
            SoakFault::Pause(router) => {
                if let Some(process) = &fleet.routers[router].process {
                    process.freeze()?;
                }
            }
            SoakFault::Reload(router) => fleet.routers[router].reload(number)?,
            SoakFault::StorePath(router, fault) => fleet.routers[router].store_path.set(fault),
            SoakFault::PeerPath(router, fault) => fleet.routers[router].peer_path.set(fault),
            SoakFault::TargetPath(target, fault) => fleet.targets[target].path.set(fault),
            SoakFault::Store(fault) => fleet.store.set_fault(fault),
            SoakFault::Compact => fleet.store.compact(),
            SoakFault::Target(target, fault) => fleet.targets[target].stand_in.set_fault(fault),
            SoakFault::Crash(target) => fleet.targets[target].stand_in.crash(),
            SoakFault::Limit(target, per_s) => {
                let limit = per_s.to_string();
                fleet.targets[target].stand_in.set_limit(Some(&limit));
            }
            SoakFault::Evacuate(domain) => fleet.store.evacuate(domain),
            SoakFault::Cold(target) => fleet.announce_cold(target, COLD_SPAN),
            SoakFault::Replace(target) => fleet.replace_target(target).await?,
            SoakFault::Lapse(target) => {
                fleet
                    .store
                    .remove_target(fleet.targets[target].stand_in.name());
            }
            SoakFault::Config => {
                fleet.put_config();
                self.newest.send_replace(fleet.config.version);
            }
            SoakFault::Idle(idle_ms) => {
                fleet.put_idle_time(idle_ms);
                self.idle_times.record(idle_ms);
                self.newest.send_replace(fleet.config.version);
            }
            SoakFault::Silence(target, silence) => {
                fleet.targets[target].stand_in.set_silence(silence);
            }
            SoakFault::Rest(target, rest_ms) => {
                let rest = Duration::from_millis(rest_ms).as_secs_f64().to_string();
                let resting = &fleet.targets[target].stand_in;
                resting.set_rest(Some(&rest));
                resting.set_fault(TargetFault::Full);
            }
            SoakFault::Leave(target, _) => fleet.targets[target].leave(),
            SoakFault::Discovery(fault) => fleet.begin_discovery(fault),
        }
        Ok(())
    }

    /// Returns what a fault hits that excuses a router from promises about announcements.
    fn excused(&self, fault: SoakFault) -> Option<ExcuseSubject> {
        match fault {
            SoakFault::Kill(router) | SoakFault::Terminate(router) | SoakFault::Pause(router) => {
                Some(ExcuseSubject::Router(self.fleet.routers[router].calls))
            }
            SoakFault::TargetPath(target, _) => {
                let name = self.fleet.targets[target].stand_in.name();
                Some(ExcuseSubject::Path(name.to_owned()))
            }
            _ => None,
        }
    }

    /// Ends a fault. Returns `false` if a terminated router has not exited yet.
    async fn end(&mut self, fault: SoakFault) -> eyre::Result<bool> {
        let is_over = self.end_effect(fault).await?;
        if is_over && let Some(subject) = self.excused(fault) {
            self.excuses.close(&subject);
        }
        Ok(is_over)
    }

    async fn end_effect(&mut self, fault: SoakFault) -> eyre::Result<bool> {
        let fleet = &mut self.fleet;
        match fault {
            SoakFault::Kill(router) => self.restart_router(router)?,
            SoakFault::Terminate(router) => return self.finish_termination(router),
            SoakFault::Pause(router) => {
                if let Some(process) = &fleet.routers[router].process {
                    process.thaw()?;
                }
            }
            SoakFault::StorePath(router, _) => {
                fleet.routers[router].store_path.set(PathFault::None)
            }
            SoakFault::PeerPath(router, _) => fleet.routers[router].peer_path.set(PathFault::None),
            SoakFault::TargetPath(target, _) => {
                let target = &fleet.targets[target];
                if !target.stand_in.has_crashed() {
                    target.path.set(PathFault::None);
                }
            }
            SoakFault::Limit(target, _) => fleet.targets[target].stand_in.set_limit(None),
            SoakFault::Store(_) => fleet.store.set_fault(Default::default()),
            SoakFault::Target(target, _) => {
                fleet.targets[target].stand_in.set_fault(Default::default());
            }
            SoakFault::Lapse(target) => {
                fleet.list_target(target, beechsaddle_platform_stand_in::EntryState::Ready);
            }
            SoakFault::Evacuate(domain) => fleet.store.withdraw_evacuation(domain),
            SoakFault::Cold(target) => fleet.announce_cold(target, Duration::ZERO),
            SoakFault::Rest(target, _) => {
                fleet.targets[target].stand_in.set_rest(None);
                fleet.targets[target].stand_in.set_fault(Default::default());
            }
            SoakFault::Leave(target, notice) => fleet.replace_leaving(target, notice).await?,
            SoakFault::Discovery(fault) => fleet.end_discovery(fault),
            SoakFault::Idle(_) | SoakFault::Silence(..) => {}
            SoakFault::Reload(_)
            | SoakFault::Crash(_)
            | SoakFault::Compact
            | SoakFault::Replace(_)
            | SoakFault::Config => {}
        }
        Ok(true)
    }

    /// Restarts a terminated router once it has exited. Returns `false` if it still runs.
    fn finish_termination(&mut self, router: usize) -> eyre::Result<bool> {
        let terminated = self.terminated[router];
        let ended = &mut self.fleet.routers[router];
        // Another fault may have killed it meanwhile, after which it was restarted.
        if ended.starts != terminated {
            return Ok(true);
        }
        if let Some(process) = &mut ended.process
            && process.wait(Duration::ZERO)?.is_none()
        {
            return Ok(false);
        }
        ended.process = None;
        self.restart_router(router)?;
        Ok(true)
    }

    fn restart_router(&mut self, router: usize) -> eyre::Result<()> {
        if self.fleet.routers[router].process.is_none() {
            self.starts[router].fetch_add(1, Ordering::SeqCst);
            self.fleet.start_router(router)?;
        }
        Ok(())
    }
}
