//! Tests of refusals that are known when a call arrives, and of the time of the callers' return.

mod gateway_support;

use std::time::{Duration, Instant};

use beechsaddle_platform_stand_in::{CallReply, CallRequest, StoreFault};
use gateway_support::{GatewayBench, GatewayProcess, draft, request};
use tokio::time::sleep;

fn stream_request(id: &str, input: u64) -> CallRequest {
    let mut call = request("POST /stream/on/1", id);
    call.tokens = Some((input, 20));
    call
}

fn retry_after_s(reply: &CallReply) -> f64 {
    let value = reply.headers.get("retry-after").expect("a time to return");
    value.parse().expect("seconds")
}

/// Starts a bench whose router borrows from the allocator `host-2`, and returns by cause.
async fn borrowing_bench() -> (GatewayBench, GatewayProcess) {
    let bench = GatewayBench::start(&draft(1, 1_000_000)).await;
    let policy = "[policy]\nreturn_by_cause = true\n";
    bench.router.edit_settings("[policy]\n", policy);
    bench.router.wait_log(&["settings_reloaded"]).await;
    let allocator = GatewayProcess::start(bench.store.address(), "host-2", "north");
    allocator.wait_ready().await;
    for router in [&bench.router, &allocator] {
        router.wait_log(&["routers_listed", "routers=2"]).await;
    }
    // Roles are updated at the next tick.
    sleep(Duration::from_millis(1_200)).await;
    (bench, allocator)
}

/// Guards against a large call in a cut of all routers that waits for a refusal which is known.
#[tokio::test]
async fn second_call_in_cut_is_refused_at_once() {
    let (bench, allocator) = borrowing_bench().await;
    bench.store.set_fault(StoreFault::Refusing);
    for router in [&bench.router, &allocator] {
        router.wait_log(&["store_lost"]).await;
    }
    let first = bench.router.call(&stream_request("a", 300_000)).await;
    assert_eq!(first.status, 503, "{}", first.body);
    let started = Instant::now();
    let second = bench.router.call(&stream_request("b", 300_000)).await;
    assert!(started.elapsed() < Duration::from_millis(150));
    assert_eq!(second.status, 503, "{}", second.body);
    // As late as a caller with five seconds waits.
    let return_s = retry_after_s(&second);
    assert!((1.0..=1.5).contains(&return_s), "{return_s}");
    bench
        .router
        .wait_log(&["event=call ", "id=b", "known=true"])
        .await;
    let known = "token_refusals_total{what=\"known\"}";
    assert_eq!(bench.router.metric(known).await, Some(1.0));
    assert_eq!(GatewayBench::arrival_count(&bench.engines), 0);
    let small = bench.router.call(&stream_request("c", 100)).await;
    assert_eq!(small.status, 200, "{}", small.body);
}

/// Guards against a known refusal that outlasts the cut of the store.
#[tokio::test]
async fn call_after_cut_is_served() {
    let (bench, allocator) = borrowing_bench().await;
    bench.store.set_fault(StoreFault::Refusing);
    for router in [&bench.router, &allocator] {
        router.wait_log(&["store_lost"]).await;
    }
    for number in 0..4 {
        let id = format!("large-{number}");
        let reply = bench.router.call(&stream_request(&id, 300_000)).await;
        assert_eq!(reply.status, 503, "{}", reply.body);
        sleep(Duration::from_millis(900)).await;
    }
    bench.store.set_fault(StoreFault::None);
    allocator
        .wait_log(&["store_regained", "duty=budgets"])
        .await;
    sleep(Duration::from_millis(1_200)).await;
    let reply = bench.router.call(&stream_request("after", 300_000)).await;
    assert_eq!(reply.status, 200, "{}", reply.body);
}
