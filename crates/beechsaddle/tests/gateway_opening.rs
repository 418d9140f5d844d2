//! Tests of calls that wait for deferred tokens while the store is unreachable.

mod gateway_support;

use std::time::Duration;

use beechsaddle_platform_stand_in::{CallRequest, StoreFault};
use gateway_support::{GatewayBench, GatewayProcess, draft, request};
use tokio::time::sleep;

const TOTAL: u64 = 20_000_000;
const CALL_INTERVAL: Duration = Duration::from_millis(20);
/// Enough calls for the allocator to know the demand and to defer most of what it holds.
const CALLS_BEFORE: usize = 100;
/// Calls for longer than tokens stay deferred after the last write.
const CALLS_AFTER: usize = 60;

fn stream_request(number: usize) -> CallRequest {
    let mut call = request("POST /stream/on/1", &format!("call-{number}"));
    call.tokens = Some((8_000, 20));
    call
}

/// Sends calls one after the other; returns the statuses other than 200.
async fn refusals(router: &GatewayProcess, calls: usize) -> Vec<u16> {
    let mut refusals: Vec<u16> = Vec::new();
    for number in 0..calls {
        let reply = router.call(&stream_request(number)).await;
        if reply.status != 200 {
            refusals.push(reply.status);
        }
        sleep(CALL_INTERVAL).await;
    }
    refusals
}

/// The store becomes unreachable, and the usable tokens run out before deferred ones become usable.
/// Calls were refused at once until then, although some tenths of a second later they could be
/// served.
#[tokio::test]
async fn calls_in_an_outage_wait_for_deferred_tokens() {
    let bench = GatewayBench::start(&draft(1, TOTAL)).await;
    let store = bench.store.address();
    let others = [("host-2", "south"), ("host-3", "west")];
    let others = others.map(|(host, domain)| GatewayProcess::start(store, host, domain));
    for router in &others {
        router.wait_ready().await;
        router.wait_log(&["routers_listed", "routers=3"]).await;
    }
    bench
        .router
        .wait_log(&["routers_listed", "routers=3"])
        .await;
    let before = refusals(&bench.router, CALLS_BEFORE).await;
    assert!(before.is_empty(), "{before:?}");
    bench.store.set_fault(StoreFault::Refusing);
    let after = refusals(&bench.router, CALLS_AFTER).await;
    assert!(after.is_empty(), "{after:?}");
    bench.router.wait_log(&["store_lost", "duty=budgets"]).await;
    assert!(bench.router.log_lines(&["deferred="]).len() > 1);
}
