//! The `soak_run` module provides a load run with fault injection.

use std::time::{Duration, Instant};

use eyre::eyre;
use tokio::time::sleep_until;

use super::{ArrivalPlan, CallSender, LedgerTotals, PlatformReader, run_plan};
use super::{CallerSettings, Deployment, LoadAudit, LoadOptions, LoadOutcome, SoakPlan, SoakStep};
use crate::fleet::LabFleet;
use crate::stand_in::platform::{CallScope, FaultRule, PlatformFault, PlatformFaults};

/// The share of write responses that are lost, in thousandths.
const LOST_PERMILLE: u32 = 300;

/// How long a router may take to shut down after the last call.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(60);

/// How long a router may take to become ready again.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// The outcome of a soak.
#[derive(Debug)]
pub struct SoakOutcome {
    /// The outcome of the load on the callers' side.
    pub load: LoadOutcome,
    /// The records of the platform and the targets.
    pub audit: LoadAudit,
    /// Number of steps of the fault schedule.
    pub faults: u64,
    /// Number of routers that did not exit with code 0 at the final shutdown.
    pub unclean_exits: u64,
}

/// Runs a load against a deployment while routers are killed and frozen, and the platform refuses
/// connections or loses responses. At the end all routers are shut down gracefully before the
/// ledger is read.
///
/// # Errors
///
/// Returns an error if the fleet does not start, or if the ledger or a target cannot be read.
pub async fn run_soak(options: &LoadOptions, deployment: &Deployment) -> eyre::Result<SoakOutcome> {
    let mut fleet = deployment.start().await?;
    let callers = deployment.callers(&fleet);
    let routers: Vec<String> = fleet.routers().keys().map(ToString::to_string).collect();
    let plan = SoakPlan::new(options.seed, &routers, options.span);
    let load = tokio::spawn(send_load(options.clone(), callers.clone()));
    let faults = plan.steps.len() as u64;
    inject_faults(&mut fleet, plan).await?;
    let load = load.await??;
    let unclean_exits = drain(&mut fleet, &routers).await?;
    let audit = LoadAudit::read(&callers, &load.tally, LedgerTotals::default()).await?;
    Ok(SoakOutcome {
        load,
        audit,
        faults,
        unclean_exits,
    })
}

async fn send_load(options: LoadOptions, callers: CallerSettings) -> eyre::Result<LoadOutcome> {
    let plan = ArrivalPlan::new(options.plan(callers.workspaces.len()));
    let sender = CallSender::new(callers.into(), options.retry_policy);
    run_plan(plan, sender).await
}

async fn inject_faults(fleet: &mut LabFleet, plan: SoakPlan) -> eyre::Result<()> {
    let start = Instant::now();
    for (time, step) in plan.steps {
        sleep_until((start + time).into()).await;
        eprintln!("second={} step={step:?}", time.as_secs());
        match step {
            SoakStep::Kill(host) => fleet.kill_router(&host)?,
            SoakStep::Restart(host) => fleet.start_router(&host)?,
            SoakStep::Freeze(host) => fleet.process(&host)?.freeze()?,
            SoakStep::Thaw(host) => fleet.process(&host)?.thaw()?,
            SoakStep::PlatformAway(span) => set_faults(fleet, platform_outage(span)).await?,
            SoakStep::AnswersLost(span) => set_faults(fleet, lost_responses(span)).await?,
        }
    }
    Ok(())
}

async fn set_faults(fleet: &LabFleet, faults: PlatformFaults) -> eyre::Result<()> {
    let body = serde_json::to_vec(&faults)?;
    let platform = PlatformReader::new(fleet.platform().to_string());
    let status = platform.post("/faults", body).await?;
    if status.is_success() {
        return Ok(());
    }
    Err(eyre!("the platform rejected the faults: {status}"))
}

fn platform_outage(span: Duration) -> PlatformFaults {
    PlatformFaults {
        refuse_ms: span.as_millis() as u64,
        ..PlatformFaults::default()
    }
}

fn lost_responses(span: Duration) -> PlatformFaults {
    let rule = FaultRule {
        scope: CallScope::Writes,
        permille: LOST_PERMILLE,
        for_ms: Some(span.as_millis() as u64),
        ..FaultRule::all(PlatformFault::LostAnswer)
    };
    PlatformFaults {
        rules: vec![rule],
        ..PlatformFaults::default()
    }
}

// Shuts all routers down one after another, as in a rolling restart, so that each can hand over
// its state to the next. The last one has no peer left and writes its state to the ledger itself.
async fn drain(fleet: &mut LabFleet, routers: &[String]) -> eyre::Result<u64> {
    let mut unclean = 0;
    for host in routers {
        fleet.wait_ready(host, READY_TIMEOUT).await?;
        fleet.process(host)?.terminate()?;
        let status = fleet.process(host)?.wait(DRAIN_TIMEOUT)?;
        if !status.is_some_and(|status| status.success()) {
            eprintln!(
                "router={host} exit={status:?} log={:?}",
                fleet.log_tail(host)
            );
            unclean += 1;
        }
    }
    Ok(unclean)
}
