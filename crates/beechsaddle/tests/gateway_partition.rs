//! Tests of routers that are partitioned from all targets while other routers reach them.

mod gateway_support;
mod partition_support;
mod path_support;

use std::time::{Duration, Instant};

use beechsaddle_platform_stand_in::{EntryState, StreamFraming, TargetFault, TargetStandIn};
use beechsaddle_wire::lending_capnp::TunnelOutcome;
use gateway_support::{GatewayBench, draft, request, wait_for};
use nix::sys::signal::Signal;
use partition_support::{IDLE_SPAN, PartitionBench, token_request};
use path_support::PathMode;
use tokio::time::sleep;

const AMPLE: u64 = 1_000_000;

/// Callers of a router that is partitioned from all targets were refused although another router
/// reaches the targets: connections hang.
#[tokio::test]
async fn hanging_partition_is_served_through_another_router() {
    let bench = PartitionBench::start().await;
    assert_eq!(bench.call_each("before").await, []);
    let failed = bench.failures_after_cut(PathMode::Hanging).await;
    assert_eq!(failed, []);
}

/// Callers of a router that is partitioned from all targets were refused although another router
/// reaches the targets: connections are reset.
#[tokio::test]
async fn refusing_partition_is_served_through_another_router() {
    let bench = PartitionBench::start().await;
    assert_eq!(bench.call_each("before").await, []);
    let failed = bench.failures_after_cut(PathMode::Refusing).await;
    assert_eq!(failed, []);
}

/// Callers of a router that is partitioned from all targets were refused although another router
/// reaches the targets: established connections live on.
#[tokio::test]
async fn partition_for_new_connections_is_served_through_another_router() {
    let bench = PartitionBench::start().await;
    assert_eq!(bench.call_each("before").await, []);
    let failed = bench.failures_after_cut(PathMode::RefusingNew).await;
    assert_eq!(failed, []);
}

/// A router went on sending calls by way of others after the partition had ended.
#[tokio::test]
async fn end_of_partition_is_noticed() {
    let bench = PartitionBench::start().await;
    bench.cut(PathMode::Hanging).await;
    bench.view.set_mode(PathMode::Open);
    wait_for("the end of the partition", || async {
        bench.router.metric("path_lost").await == Some(0.0)
    })
    .await;
    sleep(IDLE_SPAN).await;
    let opened = "tunnels_requested_total{what=\"opened\"}";
    let before = bench.router.metric(opened).await;
    assert_eq!(bench.call_each("after").await, []);
    assert_eq!(bench.router.metric(opened).await, before);
}

/// Calls waited for connect timeouts although no router reached any target.
#[tokio::test]
async fn isolated_router_refuses_at_once() {
    let mut bench = PartitionBench::start().await;
    bench.bench.router.signal(Signal::SIGKILL);
    bench.bench.router.wait_end().await;
    bench.cut(PathMode::Hanging).await;
    let started = Instant::now();
    let reply = bench
        .router
        .call(&request("POST /order/1", "refused"))
        .await;
    assert!(started.elapsed() < Duration::from_millis(300));
    assert_eq!(reply.status, 503);
    assert!(reply.headers.contains_key("retry-after"));
    assert!(!bench.router.is_ready().await);
    bench.view.set_mode(PathMode::Open);
    bench.router.wait_ready().await;
    assert_eq!(bench.call_each("after").await, []);
}

/// A truncated stream through another router looked complete: a target's reset must not become a regular
/// close on the way.
#[tokio::test]
async fn relayed_stream_that_is_reset_is_not_complete() {
    let bench = PartitionBench::start().await;
    for target in &bench.bench.engines {
        target.set_framing(StreamFraming::Connection);
        target.set_events(3, Duration::from_millis(50));
        target.set_fault(TargetFault::ResetStream(1));
    }
    bench.cut(PathMode::Refusing).await;
    let reply = bench.start_stream().await.await.expect("no panic");
    assert!(!reply.is_complete);
    assert!(reply.body.contains("piece 1") && !reply.body.contains("piece 2"));
}

/// A router that shuts down cut the streams that it carries for others.
#[tokio::test]
async fn terminated_router_finishes_its_tunnels() {
    let mut bench = PartitionBench::start().await;
    for target in &bench.bench.engines {
        target.set_events(30, Duration::from_millis(100));
    }
    bench.cut(PathMode::Refusing).await;
    let stream = bench.start_stream().await;
    bench.bench.router.signal(Signal::SIGTERM);
    let reply = stream.await.expect("no panic");
    assert!(reply.is_complete, "{reply:?}");
    assert!(reply.body.contains("piece 30"));
    assert_eq!(bench.bench.router.wait_end().await, Some(0));
}

/// Targets went on working for callers that had left, behind the router that carries the tunnel.
#[tokio::test]
async fn caller_gone_ends_relayed_work() {
    let bench = PartitionBench::start().await;
    for target in &bench.bench.engines {
        target.set_events(1_000, Duration::from_millis(20));
    }
    bench.view.set_mode(PathMode::Refusing);
    wait_for("a noticed partition", || async {
        // The router notices by the first calls; their answers do not matter.
        let _ = bench.router.call(&request("GET /get/1", "cut")).await;
        bench.router.metric("path_lost").await == Some(1.0)
    })
    .await;
    let stream = bench.start_stream().await;
    stream.abort();
    let left_at = Instant::now();
    wait_for("an end of the work", || async {
        let mut runs = bench.bench.engines.iter().flat_map(TargetStandIn::runs);
        runs.any(|run| run.is_cancelled)
    })
    .await;
    assert!(left_at.elapsed() < Duration::from_millis(500));
}

/// A router opened connections for strangers, or to targets that take no new requests.
#[tokio::test]
async fn tunnel_is_opened_only_for_routers_and_ready_targets() {
    let bench = PartitionBench::start().await;
    let secret = bench.secret();
    let opened = bench.ask_for_tunnel(&secret, "engine-1").await;
    assert_eq!(opened, Some(TunnelOutcome::Opened));
    assert_eq!(bench.ask_for_tunnel("guess", "engine-1").await, None);
    assert_eq!(bench.ask_for_tunnel("", "engine-1").await, None);
    let unknown = bench.ask_for_tunnel(&secret, "engine-9").await;
    assert_eq!(unknown, Some(TunnelOutcome::Withdrawn));
    let leaving = &bench.bench.engines[0];
    let store = &bench.bench.store;
    store.put_target(leaving, "engine", "north", EntryState::Draining);
    let router = &bench.bench.router;
    router.wait_log(&["target_draining", "engine-1"]).await;
    let withdrawn = bench.ask_for_tunnel(&secret, "engine-1").await;
    assert_eq!(withdrawn, Some(TunnelOutcome::Withdrawn));
}

/// A router refused its callers for good: all targets crashed and were replaced, which looked like a
/// partition that never ended.
#[tokio::test]
async fn replaced_targets_end_a_presumed_partition() {
    let mut bench = GatewayBench::start(&draft(1, AMPLE)).await;
    for target in bench.plain.iter().chain(&bench.engines) {
        target.crash();
    }
    wait_for("a presumed partition", || async {
        for line in ["GET /get/1", "POST /stream/on/1"] {
            // The targets are gone, so that these are refused.
            let _ = bench.router.call(&token_request(line, "crashed")).await;
        }
        bench.router.metric("path_lost").await == Some(1.0)
    })
    .await;
    for service in ["plain", "engine"] {
        for number in 1..=2 {
            bench.store.remove_target(&format!("{service}-{number}"));
        }
        let name = format!("{service}-3");
        let target = TargetStandIn::try_start(&name).await.expect("a target");
        let store = &bench.store;
        store.put_target(&target, service, "north", EntryState::Ready);
        bench.plain.push(target);
        bench.router.wait_log(&["target_joined", &name]).await;
    }
    bench.router.wait_ready().await;
    for line in ["GET /get/1", "POST /stream/on/1"] {
        let reply = bench.router.call(&token_request(line, "after")).await;
        assert_eq!(reply.status, 200, "{reply:?}");
    }
}
