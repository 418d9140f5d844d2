//! Tests of prepaid totals with gateways.

mod gateway_support;

use std::time::Duration;

use beechsaddle_platform_stand_in::{CallRequest, StoreFault};
use gateway_support::{GatewayBench, GatewayProcess, draft, request, wait_for};
use nix::sys::signal::Signal;
use serde_json::Value;
use tokio::time::sleep;

/// Prompt tokens of a stream.
const INPUT: u64 = 100;
/// Maximum output tokens of a stream. The target generates three events of three tokens.
const OUTPUT: u64 = 20;
/// Tokens that a stream uses.
const USED: u64 = INPUT + 9;

fn stream_request(id: &str) -> CallRequest {
    let mut call = request("POST /stream/on/1", id);
    call.tokens = Some((INPUT, OUTPUT));
    call
}

fn taken(ledger: &Value) -> u64 {
    ledger["taken"].as_u64().unwrap_or(0)
}

/// Makes calls until the total is exhausted. Returns how many were served.
async fn exhaust(router: &GatewayProcess, name: &str) -> u64 {
    let mut served = 0;
    for number in 0..2_000 {
        let reply = router
            .call(&stream_request(&format!("{name}-{number}")))
            .await;
        match reply.status {
            200 => served += 1,
            402 => return served,
            503 => sleep(Duration::from_millis(50)).await,
            other => panic!("status {other}: {}", reply.body),
        }
    }
    panic!("the total was not exhausted after 2000 calls");
}

/// A workspace exhausts its total. It gets nearly all of it and nothing beyond, then 402 until the total is
/// raised.
#[tokio::test]
async fn total_is_used_up_and_raised() {
    let prepaid = 20_000;
    let bench = GatewayBench::start(&draft(1, prepaid)).await;
    let served = exhaust(&bench.router, "first").await;
    assert!(served * USED <= prepaid, "{served} streams were served");
    assert!(
        served * USED >= prepaid * 97 / 100,
        "{served} streams were served"
    );
    bench.store.put_config(&draft(2, prepaid * 2));
    wait_for("service", || async {
        bench.router.call(&stream_request("raised")).await.status == 200
    })
    .await;
}

/// Ledger writes are committed without an answer, or committed late. The router determines the outcome of
/// each, so that calls are served and the total is never exceeded.
#[tokio::test]
async fn lost_and_late_writes_never_overspend() {
    let prepaid = 12_000;
    for fault in [StoreFault::LostResponses, StoreFault::LateWrites(1_500)] {
        let bench = GatewayBench::start(&draft(1, prepaid)).await;
        let mut served = 0;
        for round in 0..4 {
            bench.store.set_fault(fault);
            for number in 0..25 {
                let call = stream_request(&format!("{round}-{number}"));
                served += u64::from(bench.router.call(&call).await.status == 200);
            }
            bench.store.set_fault(StoreFault::None);
            sleep(Duration::from_millis(300)).await;
        }
        served += exhaust(&bench.router, "rest").await;
        assert!(served * USED <= prepaid, "{fault:?}: {served} were served");
    }
}

/// Two routers share a total; one is killed while it holds tokens, and restarts. The tokens it held are
/// lost to the workspace, and the total is never exceeded.
#[tokio::test]
async fn killed_router_never_overspends() {
    let prepaid = 40_000;
    let bench = GatewayBench::start(&draft(1, prepaid)).await;
    let second = GatewayProcess::start(bench.store.address(), "host-2", "north");
    second.wait_ready().await;
    second.wait_log(&["target_joined", "engine-2"]).await;
    let mut served = 0;
    for number in 0..40 {
        let call = stream_request(&format!("a-{number}"));
        served += u64::from(bench.router.call(&call).await.status == 200);
        served += u64::from(second.call(&call).await.status == 200);
    }
    second.signal(Signal::SIGKILL);
    let third = GatewayProcess::start(bench.store.address(), "host-2", "north");
    third.wait_ready().await;
    third.wait_log(&["target_joined", "engine-2"]).await;
    served += exhaust(&third, "b").await;
    served += exhaust(&bench.router, "c").await;
    assert!(served * USED <= prepaid, "{served} streams were served");
    assert!(served * USED >= prepaid / 2, "{served} streams were served");
}

/// A router that is terminated gives its tokens back: the ledger has then taken exactly what was used, and
/// the next router can spend the remainder.
#[tokio::test]
async fn shutdown_gives_tokens_back() {
    let mut bench = GatewayBench::start(&draft(1, 1_000_000)).await;
    for number in 0..10 {
        bench
            .router
            .call(&stream_request(&format!("call-{number}")))
            .await;
    }
    bench.router.signal(Signal::SIGTERM);
    assert_eq!(bench.router.wait_end().await, Some(0));
    let ledger = bench
        .store
        .spec("budgets", "ledger-acme")
        .expect("a ledger");
    assert_eq!(taken(&ledger), 10 * USED);
}

/// The store answers slowly while a router with time left is terminated. Its tokens are still given back:
/// what it kept would be lost to the workspace.
#[tokio::test]
async fn shutdown_gives_tokens_back_to_a_slow_store() {
    let mut bench = GatewayBench::start(&draft(1, 1_000_000)).await;
    bench.router.call(&stream_request("call-1")).await;
    bench.store.set_fault(StoreFault::SlowWrites(700));
    bench.router.signal(Signal::SIGTERM);
    assert_eq!(bench.router.wait_end().await, Some(0));
    let ledger = bench
        .store
        .spec("budgets", "ledger-acme")
        .expect("a ledger");
    assert_eq!(taken(&ledger), USED);
}

/// The ledger is unreachable and the router holds no tokens of the workspace. The call is refused at once
/// as not executed, with a time to retry, and not as exhausted.
#[tokio::test]
async fn unreachable_ledger_refuses_at_once_as_not_run() {
    let bench = GatewayBench::start(&draft(1, 1_000_000)).await;
    bench.store.set_fault(StoreFault::Refusing);
    bench.router.wait_log(&["store_lost", "duty=budgets"]).await;
    let mut large = stream_request("large");
    large.tokens = Some((900_000, 10));
    let started = std::time::Instant::now();
    let reply = bench.router.call(&large).await;
    assert_eq!(reply.status, 503);
    assert!(reply.headers.contains_key("retry-after"));
    assert!(started.elapsed() < Duration::from_millis(300));
    assert_eq!(GatewayBench::arrival_count(&bench.engines), 0);
}

/// A router starts while the store does not answer writes, and loses the store before it is registered. It
/// has no role then, but a call must not have to wait to learn that the ledger is unreachable.
#[tokio::test]
async fn unreachable_ledger_is_noticed_before_registration() {
    let bench = GatewayBench::start(&draft(1, 1_000_000)).await;
    bench.store.set_fault(StoreFault::SlowWrites(20_000));
    let second = GatewayProcess::start(bench.store.address(), "host-2", "south");
    second.wait_log(&["target_joined", "engine-2"]).await;
    bench.store.set_fault(StoreFault::Refusing);
    second.wait_log(&["store_lost", "duty=budgets"]).await;
    let started = std::time::Instant::now();
    let reply = second.call(&stream_request("call-1")).await;
    assert_eq!(reply.status, 503);
    assert!(reply.headers.contains_key("retry-after"));
    assert!(started.elapsed() < Duration::from_millis(300));
    assert_eq!(GatewayBench::arrival_count(&bench.engines), 0);
}

/// Calls without tokens, and calls that no target executed, use no tokens.
#[tokio::test]
async fn calls_that_did_not_run_cost_nothing() {
    let mut bench = GatewayBench::start(&draft(1, 100_000)).await;
    for target in &bench.engines {
        target.set_fault(beechsaddle_platform_stand_in::TargetFault::Full);
    }
    for number in 0..5 {
        let reply = bench
            .router
            .call(&stream_request(&format!("call-{number}")))
            .await;
        assert_eq!(reply.status, 503);
    }
    bench.router.signal(Signal::SIGTERM);
    assert_eq!(bench.router.wait_end().await, Some(0));
    let ledger = bench
        .store
        .spec("budgets", "ledger-acme")
        .expect("a ledger");
    assert_eq!(taken(&ledger), 0);
}

/// Nearly all of the total is taken elsewhere, and calls wait for tokens that do not arrive. When
/// each wake repeated the request for tokens, this busy loop kept the router at full load until the
/// calls timed out.
#[tokio::test]
async fn waiting_calls_cost_no_processor_time() {
    let bench = GatewayBench::start(&draft(1, 100_000)).await;
    let ledger = serde_json::json!({"taken": 99_950, "writers": []});
    bench.store.put("budgets", "ledger-acme", &ledger);
    sleep(Duration::from_millis(2_500)).await;
    let before = bench.router.processor_ms();
    for number in 0..3 {
        let reply = bench
            .router
            .call(&stream_request(&format!("call-{number}")))
            .await;
        assert!([402, 503].contains(&reply.status), "{}", reply.status);
    }
    let spent = bench.router.processor_ms() - before;
    assert!(
        spent <= 250,
        "{spent} ms of processor time for three refusals"
    );
}

/// Callers disconnect before the first event, while the targets process their prompts. The prompts count as
/// used in the ledger, or a workspace could use its total many times over.
#[tokio::test]
async fn calls_left_before_the_first_event_are_spent() {
    use tokio::io::AsyncWriteExt;
    let mut bench = GatewayBench::start(&draft(1, 1_000_000)).await;
    for target in &bench.engines {
        target.set_response_delay(Duration::from_secs(5));
    }
    for number in 0..5 {
        let call = stream_request(&format!("call-{number}"));
        let stream = tokio::net::TcpStream::connect(bench.router.address).await;
        let mut stream = stream.expect("a connection");
        stream.write_all(&call.bytes()).await.expect("a call");
        wait_for("an arrival", || async {
            GatewayBench::arrival_count(&bench.engines) == number + 1
        })
        .await;
    }
    bench.router.signal(Signal::SIGTERM);
    assert_eq!(bench.router.wait_end().await, Some(0));
    let ledger = bench
        .store
        .spec("budgets", "ledger-acme")
        .expect("a ledger");
    assert_eq!(taken(&ledger), 5 * INPUT);
}
