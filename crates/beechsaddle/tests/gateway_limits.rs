//! Tests of targets that name how much they take from all routers together.

mod gateway_support;
mod limit_support;

use std::time::{Duration, Instant};

use limit_support::{CONTACT_SPAN, LimitFleet, allowed, most_in_window};

/// Guards against a target in need that gets more than it named, from routers that each keep within their part.
#[tokio::test(flavor = "multi_thread")]
async fn limited_target_gets_no_more_from_all_routers() {
    let fleet = LimitFleet::start(4, 8).await;
    let limited = &fleet.engines[0];
    fleet.load(5, Duration::from_secs(1)).await;
    limited.set_limit(Some("1"));
    let named_at = Instant::now();
    let counts = fleet.load(5, Duration::from_secs(14)).await;
    let most = most_in_window(&limited.arrivals(), named_at + CONTACT_SPAN);
    assert!(most <= allowed(1.0), "{most} calls in 4 s");
    let (made, answered) = counts.read();
    assert!(answered * 50 >= made * 49, "{answered} of {made} answered");
}
