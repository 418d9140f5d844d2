//! The `overhead` module provides the latency and processor time that a router adds to a call,
//! compared to direct calls to the same engine in the same run.

use std::time::Duration;

use super::run_async::run_async;
use super::small_fleet::FleetSize;
use super::{ProcessCost, SlopeFit, read_thread_cpu};
use crate::fleet::LabFleet;
use crate::key_values::KeyValues;
use crate::load::{
    ArrivalPlan, CallMix, CallSender, CallerRetryPolicy, CallerSettings, LoadOutcome, PlanOptions,
    run_plan,
};

/// The router that serves all calls of the experiment; the other router is its peer.
const ROUTER: &str = "domain-0-1";

/// The measured limits of tokens per chat, for the slope of processor time per token.
const TOKENS: [u64; 4] = [8, 32, 96, 192];

/// Calls per second on each of the two concurrent paths, routed and direct.
const RATE: f64 = 100.0;

/// The measuring time of each point.
const SPAN: Duration = Duration::from_secs(10);

/// Sends the same calls through a router and directly to its engine at the same time, for several
/// response lengths.
pub fn run(seed: u64) -> Vec<String> {
    run_async(measure(seed))
}

async fn measure(seed: u64) -> eyre::Result<Vec<KeyValues>> {
    let deployment = FleetSize::default()
        .deployment()
        .with_engine("--slowdown-permille", 0)
        .with_engine("--batch-max", 10_000)
        .with_engine("--answer-tokens", 1_000);
    let mut fleet = deployment.start().await?;
    let through = CallerSettings {
        routers: vec![fleet.call_address(ROUTER)?],
        ..deployment.callers(&fleet)
    };
    let straight = CallerSettings {
        routers: vec![fleet.target_address("engines-1")?],
        ..through.clone()
    };
    // Warms up connections, grants and caches before the first point.
    run_both(&through, &straight, seed, 8, Duration::from_secs(2)).await?;
    let mut lines = Vec::new();
    let mut costs = Vec::new();
    for tokens in TOKENS {
        let (line, cost) = measure_point(&mut fleet, &through, &straight, seed, tokens).await?;
        lines.push(line);
        costs.push(cost);
    }
    if let Some(fit) = SlopeFit::of(&costs) {
        lines.push(fit.pairs("cpu_us_of_a_call", "token"));
    }
    Ok(lines)
}

async fn measure_point(
    fleet: &mut LabFleet,
    through: &CallerSettings,
    straight: &CallerSettings,
    seed: u64,
    tokens: u64,
) -> eyre::Result<(KeyValues, (f64, f64))> {
    let pid = fleet.process(ROUTER)?.id();
    let before = ProcessCost::read(pid).unwrap_or_default();
    let threads_before = read_thread_cpu(pid);
    let (routed, direct) = run_both(through, straight, seed, tokens, SPAN).await?;
    let after = ProcessCost::read(pid).unwrap_or_default();
    let answered = routed.tally.answered.max(1) as f64;
    let cpu_us = after.cpu_since(before) * 1e6 / answered;
    let mean_tokens = tokens as f64 * 0.75;
    let mut line = KeyValues::new()
        .with("max_tokens", tokens)
        .with("rate", RATE)
        .with("sent", routed.sent)
        .with("answered", routed.tally.answered)
        .with("refused", routed.tally.refusals())
        .joined(added(&routed, &direct))
        .with_float("cpu_us_a_call", cpu_us)
        .with("calls_a_core_second", format_args!("{:.0}", 1e6 / cpu_us))
        .with("rss_kib", after.rss_kib);
    for (thread, seconds) in read_thread_cpu(pid) {
        let spent = seconds - threads_before.get(&thread).copied().unwrap_or(0.0);
        line = line.with_float(format!("us_{thread}"), spent * 1e6 / answered);
    }
    Ok((line, (mean_tokens, cpu_us)))
}

async fn run_both(
    through: &CallerSettings,
    straight: &CallerSettings,
    seed: u64,
    tokens: u64,
    span: Duration,
) -> eyre::Result<(LoadOutcome, LoadOutcome)> {
    let routed = run_plan(plan(seed, tokens, span), sender(through));
    let direct = run_plan(plan(seed, tokens, span), sender(straight));
    let (routed, direct) = tokio::join!(routed, direct);
    Ok((routed?, direct?))
}

fn plan(seed: u64, tokens: u64, span: Duration) -> ArrivalPlan {
    ArrivalPlan::new(PlanOptions {
        seed,
        rate: RATE,
        span,
        mix: CallMix::only_streams(),
        workspaces: 1,
        skew: 0.0,
        max_tokens: tokens,
        progress: false,
    })
}

fn sender(settings: &CallerSettings) -> CallSender {
    let retry_policy = CallerRetryPolicy {
        retries: 0,
        try_timeout: Duration::from_secs(30),
    };
    CallSender::new(settings.clone().into(), retry_policy)
}

fn added(routed: &LoadOutcome, direct: &LoadOutcome) -> KeyValues {
    let both = [
        ("first", &routed.tally.first, &direct.tally.first),
        ("whole", &routed.tally.whole, &direct.tally.whole),
    ];
    let mut line = KeyValues::new();
    for (name, routed, direct) in both {
        for (label, quantile) in [("p50", 0.50), ("p99", 0.99)] {
            let through = routed.value_at_quantile(quantile) as f64 / 1_000.0;
            let straight = direct.value_at_quantile(quantile) as f64 / 1_000.0;
            line = line
                .with_float(format!("{label}_{name}_straight_ms"), straight)
                .with_float(format!("{label}_{name}_added_ms"), through - straight);
        }
    }
    line
}
