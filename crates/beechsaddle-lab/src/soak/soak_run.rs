//! The `soak_run` module provides the run of one seed of a soak.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

use super::call_load::CallLoad;
use super::fault_plan::{FaultPlan, PlannedFault, SoakFault};
use super::fault_proxy::PathFault;
use super::recovery_checks::check_recovery;
use super::soak_fleet::{SoakFleet, TARGET_SLOTS};
use super::version_watch::VersionWatch;

/// How long a target that becomes cold stays so by its entry, as the configuration declares.
const COLD_SPAN: Duration = Duration::from_millis(3_000);

/// How often peer addresses are rewritten so that routers reach each other through proxies.
const PEER_REDIRECT_INTERVAL: Duration = Duration::from_millis(200);

/// The time between two checks whether a terminated router has exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(250);

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
    let fleet = SoakFleet::try_start(
        &options.program,
        &folder,
        options.routers,
        options.has_versions,
    )
    .await?;
    let routers = fleet.routers.iter().map(|router| router.calls).collect();
    let load = CallLoad::new(routers, options.has_target_faults, options.has_versions);
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
    let faults = plan.faults.len();
    let mut run = SeedRun::new(fleet, &load);
    run.inject_faults(plan).await?;
    load.has_crashing.store(false, Ordering::Relaxed);
    let mut violations = check_recovery(&mut run.fleet, options.has_target_faults).await?;
    load.is_stopped.store(true, Ordering::Relaxed);
    callers.join_all().await;
    violations.extend(load.log.check(&run.fleet.evidence()));
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
                SoakStep::End(fault) if self.end(fault)? => {}
                SoakStep::End(_) => drop(steps.insert((at + EXIT_POLL_INTERVAL, number), step)),
            }
        }
        self.fleet.clear_faults();
        self.fleet.redirect_peers();
        for router in 0..self.fleet.routers.len() {
            self.fleet.wait_ready(router).await?;
        }
        Ok(())
    }

    async fn begin(&mut self, fault: SoakFault, number: u64) -> eyre::Result<()> {
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
        }
        Ok(())
    }

    /// Ends a fault. Returns `false` if a terminated router has not exited yet.
    fn end(&mut self, fault: SoakFault) -> eyre::Result<bool> {
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
