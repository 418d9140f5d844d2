//! Tests of requests that crash the targets that run them.

mod crash_support;
mod gateway_support;

use std::time::Duration;

use crash_support::{CrashFleet, body_request};
use tokio::time::sleep;

/// How long the fleet has to learn of a third crash.
const CONTACT_SPAN: Duration = Duration::from_millis(3_000);

/// How often such a request may still reach targets after that.
const LATE_MAX: usize = 3;

const CRASHING: &[u8] = b"crash";

/// Guards against a request that ends target after target, as it comes again at any router.
#[tokio::test]
async fn crashing_request_reaches_few_targets() {
    let fleet = CrashFleet::start(8).await;
    for round in 0..6 {
        for router in 0..fleet.routers.len() {
            let id = format!("crash-{round}-{router}");
            fleet.call(router, &body_request(&id, CRASHING)).await;
        }
        sleep(Duration::from_millis(100)).await;
    }
    assert!(fleet.engines.crash_count() >= 3);
    sleep(CONTACT_SPAN).await;
    let before = fleet.engines.arrivals(CRASHING);
    for round in 6..10 {
        for router in 0..fleet.routers.len() {
            let id = format!("crash-{round}-{router}");
            fleet.call(router, &body_request(&id, CRASHING)).await;
        }
        sleep(Duration::from_millis(500)).await;
    }
    let late = fleet.engines.arrivals(CRASHING) - before;
    assert!(late <= LATE_MAX, "it reached engines {late} times more");
}
