//! The `slopes` module provides how the costs of idle and busy fleets grow with their sizes.
//!
//! Each point is a fleet of processes of its own, or one fleet at a further size.

use std::time::Duration;

use tokio::time::sleep;

use super::ProcessCost;
use super::fleet_cost::{CostPoint, CostReading, FleetCost, cost_lines};
use super::idle_streams::IdleStreams;
use super::run_async::run_async;
use super::small_fleet::FleetSize;
use crate::load::{
    ArrivalPlan, CallMix, CallSender, CallerPatience, CallerSettings, PlanOptions, run_plan,
};

/// How long a fleet runs before it is watched: members have met and targets are probed.
const WARM_UP: Duration = Duration::from_secs(4);

/// How long a fleet is watched at each point.
const WATCH: Duration = Duration::from_secs(10);

/// The router that streams go through.
const ROUTER: &str = "domain-0-1";

/// Idle fleets of one domain against their routers.
pub fn routers(_seed: u64) -> Vec<String> {
    run_async(async {
        let sizes = [2, 4, 8, 12].map(|routers| FleetSize {
            routers,
            ..FleetSize::default()
        });
        let points = idle_points(sizes, |size| size.routers).await?;
        Ok(cost_lines("router", &points))
    })
}

/// Idle fleets against their domains of two routers each.
pub fn domains(_seed: u64) -> Vec<String> {
    run_async(async {
        let sizes = [1, 2, 4, 8].map(|domains| FleetSize {
            domains,
            ..FleetSize::default()
        });
        let points = idle_points(sizes, |size| size.domains).await?;
        Ok(cost_lines("domain", &points))
    })
}

/// Idle fleets against the targets of their one domain.
pub fn targets(_seed: u64) -> Vec<String> {
    run_async(async {
        let sizes = [1, 8, 16, 32].map(|engines| FleetSize {
            engines,
            ..FleetSize::default()
        });
        let points = idle_points(sizes, |size| size.engines).await?;
        Ok(cost_lines("target", &points))
    })
}

/// An idle fleet that holds grants, against the budgets that were just used.
pub fn budgets(seed: u64) -> Vec<String> {
    run_async(async move {
        let mut points = Vec::new();
        for workspaces in [1, 100, 400, 1_000] {
            let size = FleetSize {
                workspaces,
                ..FleetSize::default()
            };
            let deployment = size.deployment();
            let fleet = deployment.start().await?;
            let callers = deployment.callers(&fleet);
            // At four calls for each on average, hardly a workspace goes without one.
            let calls = f64::from(workspaces) * 4.0;
            send(&callers, seed, calls / 8.0, Duration::from_secs(8)).await?;
            sleep(WARM_UP).await;
            points.push(CostPoint {
                x: f64::from(workspaces),
                cost: FleetCost::over(&fleet, WATCH).await?,
            });
        }
        Ok(cost_lines("budget", &points))
    })
}

/// A busy fleet against its plain calls a second, each of which is billed.
pub fn bills(seed: u64) -> Vec<String> {
    run_async(async move {
        let deployment = FleetSize::default().deployment();
        let fleet = deployment.start().await?;
        let callers = deployment.callers(&fleet);
        let mut points = Vec::new();
        for rate in [20.0, 100.0, 200.0, 400.0] {
            let before = CostReading::take(&fleet).await?;
            send(&callers, seed, rate, WATCH).await?;
            points.push(CostPoint {
                x: rate,
                cost: CostReading::take(&fleet).await?.since(&before),
            });
        }
        Ok(cost_lines("bill_s", &points))
    })
}

/// A fleet whose streams wait for tokens, against the streams that one router has open.
pub fn streams(_seed: u64) -> Vec<String> {
    run_async(async {
        // An engine that sends a token a minute: the streams are open and nothing flows.
        let deployment = FleetSize::default()
            .deployment()
            .with_engine("--between-tokens-ms", 60_000)
            .with_engine("--slowdown-permille", 0)
            .with_engine("--batch-max", 10_000)
            .with_engine("--answer-tokens", 1_000);
        let mut fleet = deployment.start().await?;
        let mut streams = IdleStreams::new(deployment.callers(&fleet), fleet.call_address(ROUTER)?);
        let pid = fleet.process(ROUTER)?.id();
        let mut points = Vec::new();
        for count in [0, 250, 500, 1_000] {
            streams.open_until(count).await?;
            sleep(WARM_UP).await;
            let mut cost = FleetCost::over(&fleet, WATCH).await?;
            // Only this router has the streams; its peer holds or witnesses their budget.
            let own = ProcessCost::read(pid).unwrap_or_default();
            cost.rss_kib = own.rss_kib as f64;
            points.push(CostPoint {
                x: count as f64,
                cost,
            });
        }
        Ok(cost_lines("stream", &points))
    })
}

async fn idle_points(
    sizes: [FleetSize; 4],
    x: fn(&FleetSize) -> u32,
) -> eyre::Result<Vec<CostPoint>> {
    let mut points = Vec::new();
    for size in sizes {
        let fleet = size.deployment().start().await?;
        sleep(WARM_UP).await;
        points.push(CostPoint {
            x: f64::from(x(&size)),
            cost: FleetCost::over(&fleet, WATCH).await?,
        });
    }
    Ok(points)
}

async fn send(callers: &CallerSettings, seed: u64, rate: f64, span: Duration) -> eyre::Result<()> {
    let plan = ArrivalPlan::new(PlanOptions {
        seed,
        rate,
        span,
        mix: CallMix::only_plain(),
        workspaces: callers.workspaces.len(),
        skew: 0.0,
        max_tokens: 1,
        progress: false,
    });
    let patience = CallerPatience {
        retries: 0,
        try_timeout: Duration::from_secs(30),
    };
    let sender = CallSender::new(callers.clone().into(), patience);
    let outcome = run_plan(plan, sender).await?;
    let refused = outcome.tally.refusals() + outcome.tally.lost;
    eyre::ensure!(refused == 0, "{refused} calls were refused or lost");
    Ok(())
}
