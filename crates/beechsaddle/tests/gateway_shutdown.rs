//! Tests of the shutdown of a gateway and of its readiness.

mod gateway_support;

use std::time::Duration;

use beechsaddle_platform_stand_in::StoreFault;
use gateway_support::{GatewayBench, draft, request, wait_for};
use nix::sys::signal::Signal;
use tokio::time::sleep;

const AMPLE: u64 = 1_000_000;

/// A router is terminated during a stream. It is no longer ready, still serves new calls but closes their
/// connections, completes the stream and exits with 0.
#[tokio::test]
async fn terminated_router_finishes_its_streams() {
    let mut bench = GatewayBench::start(&draft(1, AMPLE)).await;
    for target in &bench.engines {
        target.set_events(30, Duration::from_millis(100));
    }
    let mut call = request("POST /stream/once/1", "call-1");
    call.tokens = Some((10, 90));
    let address = bench.router.address;
    let stream =
        tokio::spawn(async move { beechsaddle_platform_stand_in::call(address, &call).await });
    wait_for("an arrival", || async {
        GatewayBench::arrival_count(&bench.engines) == 1
    })
    .await;
    bench.router.signal(Signal::SIGTERM);
    bench.router.wait_log(&["event=leaving"]).await;
    assert!(!bench.router.is_ready().await);
    let reply = bench.router.call(&request("GET /get/1", "call-2")).await;
    assert_eq!(reply.status, 200);
    assert_eq!(reply.headers["connection"], "close");
    let reply = stream.await.expect("no panic").expect("an answer");
    assert!(reply.is_complete);
    assert_eq!(bench.router.wait_end().await, Some(0));
}

/// A target never finishes its answer. The router waits for most of the grace period, then aborts the call
/// and exits by itself before it would be killed.
#[tokio::test]
async fn terminated_router_exits_within_the_grace() {
    let mut bench = GatewayBench::start(&draft(1, AMPLE)).await;
    for target in &bench.plain {
        target.set_response_delay(Duration::from_secs(30));
    }
    let mut call = request("POST /order/1", "call-1");
    call.deadline_ms = 60_000;
    let address = bench.router.address;
    tokio::spawn(async move { beechsaddle_platform_stand_in::call(address, &call).await });
    wait_for("an arrival", || async {
        GatewayBench::arrival_count(&bench.plain) == 1
    })
    .await;
    let started = std::time::Instant::now();
    bench.router.signal(Signal::SIGTERM);
    sleep(Duration::from_millis(2_500)).await;
    assert!(!bench.router.has_ended());
    assert_eq!(bench.router.wait_end().await, Some(0));
    assert!(started.elapsed() < Duration::from_secs(6));
}

/// Calls with large bodies congest the link of a router's host. The router reports not ready, keeps
/// serving, and closes callers' connections so that they move to other routers. When the load is gone it is
/// ready again.
#[tokio::test]
async fn full_link_leaves_the_rotation() {
    let bench = GatewayBench::start_with_narrow_link(&draft(1, AMPLE)).await;
    assert!(bench.router.is_ready().await);
    let mut call = request("GET /get/1", "call-1");
    call.body = vec![b'x'; 20_000];
    wait_for("a router that is not ready", || async {
        let reply = bench.router.call(&call).await;
        assert_eq!(reply.status, 200);
        !bench.router.is_ready().await
    })
    .await;
    let reply = bench.router.call(&call).await;
    assert_eq!(
        (reply.status, &*reply.headers["connection"]),
        (200, "close")
    );
    bench.router.wait_log(&["link_full", "link_load"]).await;
    sleep(Duration::from_millis(8_100)).await;
    assert!(bench.router.is_ready().await);
}

/// While target states arrive late over the router's own congested link, it takes no calls: they
/// could reach a target that is draining.
#[tokio::test]
async fn full_link_without_target_updates_takes_no_calls() {
    let bench = GatewayBench::start_with_narrow_link(&draft(1, AMPLE)).await;
    let mut call = request("GET /get/1", "call-1");
    call.body = vec![b'x'; 20_000];
    bench.store.set_fault(StoreFault::Silent);
    wait_for("a refusal", || async {
        // The balancer probes the readiness.
        bench.router.is_ready().await;
        let reply = bench.router.call(&call).await;
        reply.status == 503 && reply.body.contains("link_full")
    })
    .await;
    bench.store.set_fault(StoreFault::None);
    wait_for("an answer", || async {
        bench.router.call(&call).await.status == 200
    })
    .await;
}
