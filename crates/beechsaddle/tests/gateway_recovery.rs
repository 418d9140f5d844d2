//! Tests of the recovery of deferred tokens when routers restart.

mod gateway_support;

use beechsaddle_platform_stand_in::CallRequest;
use gateway_support::{GatewayBench, GatewayProcess, draft, request, wait_for};

const TOTAL: u64 = 1_000_000;

fn stream_request(id: &str) -> CallRequest {
    let mut call = request("POST /stream/on/1", id);
    call.tokens = Some((8_000, 20));
    call
}

/// Returns the largest value of a key in the router's log lines of ledger writes.
fn largest_logged(router: &GatewayProcess, key: &str) -> u64 {
    let lines = router.log_lines(&["event=ledger_written"]);
    let words = lines.iter().flat_map(|line| line.split_whitespace());
    let values = words.filter_map(|word| word.strip_prefix(key)?.strip_prefix('='));
    let numbers = values.filter_map(|value| value.parse().ok());
    numbers.max().unwrap_or(0)
}

/// When all routers are killed and restarted, their outage reserves are recovered.
#[tokio::test]
async fn restarted_routers_recover_what_was_deferred() {
    let mut bench = GatewayBench::start(&draft(1, TOTAL)).await;
    let store = bench.store.address();
    let others = [("host-2", "south"), ("host-3", "west")];
    let mut others = others.map(|(host, domain)| GatewayProcess::start(store, host, domain));
    for router in &others {
        router.wait_ready().await;
        router.wait_log(&["target_joined", "engine-1"]).await;
        router.wait_log(&["routers_listed", "routers=3"]).await;
    }
    bench
        .router
        .wait_log(&["routers_listed", "routers=3"])
        .await;
    wait_for("deferred tokens", || async {
        bench.router.call(&stream_request("before")).await;
        largest_logged(&bench.router, "deferred") > 0
    })
    .await;
    bench.router.restart();
    others.iter_mut().for_each(GatewayProcess::restart);
    wait_for("recovered tokens", || async {
        largest_logged(&bench.router, "recovered") > 0
    })
    .await;
    let ledger = bench.store.spec("budgets", "ledger-acme");
    let ledger = ledger.expect("a ledger");
    let taken = ledger["taken"].as_u64().expect("a number");
    assert!(taken <= TOTAL, "{ledger}");
}
