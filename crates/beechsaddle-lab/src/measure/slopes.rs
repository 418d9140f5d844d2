//! The `slopes` module provides the experiments on how the cost of idle and busy fleets grows with
//! size.
//!
//! Each point is measured on a new fleet of processes, or on the same fleet after it has grown.

use std::time::Duration;

use tokio::time::sleep;

use super::ProcessCost;
use super::fleet_cost::{CostPoint, CostReading, FleetCost, cost_lines};
use super::idle_streams::IdleStreams;
use super::run_async::run_async;
use super::small_fleet::FleetSize;
use crate::load::{
    ArrivalPlan, CallMix, CallSender, CallerRetryPolicy, CallerSettings, PlanOptions, run_plan,
};

/// The time before measuring, in which routers discover each other and probe the targets.
const WARM_UP: Duration = Duration::from_secs(4);

/// The measuring time of each point.
const WATCH: Duration = Duration::from_secs(10);

/// The router that serves the streams.
const ROUTER: &str = "domain-0-1";

/// Measures idle fleets of one domain by number of routers.
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

/// Measures idle fleets by number of domains, each with two routers.
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

/// Measures idle fleets of one domain by number of targets.
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

/// Measures idle fleets that hold grants, by number of recently used budgets.
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
            // With four calls per workspace on average, nearly every workspace makes at least one.
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

/// Measures a busy fleet by plain calls per second, each of which is billed.
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

/// Measures a fleet with idle streams by the number of open streams of one router.
pub fn streams(_seed: u64) -> Vec<String> {
    run_async(async {
        // The engine sends one token a minute, so that the streams are open but idle.
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
            // Memory is read from the router that serves the streams; its peer only holds their
            // budget or stores usage copies as backup.
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
    let retry_policy = CallerRetryPolicy {
        retries: 0,
        try_timeout: Duration::from_secs(30),
    };
    let sender = CallSender::new(callers.clone().into(), retry_policy);
    let outcome = run_plan(plan, sender).await?;
    let refused = outcome.tally.refusals() + outcome.tally.lost;
    eyre::ensure!(refused == 0, "{refused} calls were refused or lost");
    Ok(())
}
