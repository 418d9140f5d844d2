//! Tests of targets that set a rate limit for all routers together.

mod gateway_support;
mod limit_support;

use std::time::{Duration, Instant};

use gateway_support::request;
use limit_support::{LimitFleet, PROPAGATION_SPAN, max_allowed, max_in_window};

/// All routers together stay within a target's limit, not only each router within a share of its
/// own.
#[tokio::test(flavor = "multi_thread")]
async fn limit_holds_across_all_routers() {
    let fleet = LimitFleet::start(4, 8).await;
    let limited = &fleet.engines[0];
    fleet.load(5, Duration::from_secs(1)).await;
    limited.set_limit(Some("1"));
    let announced_at = Instant::now();
    let counts = fleet.load(5, Duration::from_secs(14)).await;
    let peak = max_in_window(&limited.arrivals(), announced_at + PROPAGATION_SPAN);
    assert!(peak <= max_allowed(1.0), "{peak} calls in 4 s");
    let (made, answered) = counts.read();
    assert!(answered * 50 >= made * 49, "{answered} of {made} answered");
}

/// A call is refused at once, with a retry delay, when no target has a permit left.
#[tokio::test(flavor = "multi_thread")]
async fn calls_are_refused_at_once_when_all_targets_are_limited() {
    let fleet = LimitFleet::start(2, 3).await;
    for engine in &fleet.engines {
        engine.set_limit(Some("1"));
    }
    fleet.load(4, Duration::from_secs(1)).await;
    let started = Instant::now();
    let refused = loop {
        let reply = fleet.routers[0]
            .call(&request("POST /stream/on/1", "one-more"))
            .await;
        if reply.status != 200 {
            break reply;
        }
        assert!(
            started.elapsed() < Duration::from_secs(5),
            "no call was refused"
        );
    };
    assert_eq!(refused.status, 503);
    assert!(refused.body.contains("targets_limited"), "{}", refused.body);
    let retry_s: f64 = refused.headers["retry-after"].parse().expect("seconds");
    assert!(retry_s > 0.0 && retry_s <= 4.0, "{retry_s} s");
    let asked = Instant::now();
    fleet.routers[0]
        .call(&request("POST /stream/on/1", "and-another"))
        .await;
    assert!(asked.elapsed() < Duration::from_millis(300));
}

/// After a target's limit has ended, the routers use the target without a limit again.
#[tokio::test(flavor = "multi_thread")]
async fn ended_limit_is_dropped_by_all_routers() {
    let fleet = LimitFleet::start(1, 3).await;
    let engine = &fleet.engines[0];
    engine.set_limit(Some("2"));
    fleet.load(4, Duration::from_secs(2)).await;
    engine.set_limit(None);
    // A router learns of the end with its next permit, or from the router that issues permits.
    fleet.load(4, Duration::from_secs(6)).await;
    let counts = fleet.load(4, Duration::from_secs(2)).await;
    let (made, answered) = counts.read();
    assert_eq!(answered, made);
}

/// The limit also holds after the router that issues permits has died.
#[tokio::test(flavor = "multi_thread")]
async fn limit_holds_while_routers_are_killed() {
    let mut fleet = LimitFleet::start(3, 6).await;
    let limited = fleet.engines[0].clone();
    limited.set_limit(Some("2"));
    let announced_at = Instant::now();
    for round in 0..6 {
        fleet.load(5, Duration::from_secs(2)).await;
        fleet.routers[round].restart();
    }
    fleet.load(5, Duration::from_secs(2)).await;
    let peak = max_in_window(&limited.arrivals(), announced_at + PROPAGATION_SPAN);
    assert!(peak <= max_allowed(2.0), "{peak} calls in 4 s");
}
