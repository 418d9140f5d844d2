//! Tests of targets that name how much they take from all routers together.

mod gateway_support;
mod limit_support;

use std::time::{Duration, Instant};

use gateway_support::request;
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

/// Guards against callers who are held back until no target has a place for them, or are told nothing of when to come.
#[tokio::test(flavor = "multi_thread")]
async fn limited_targets_only_are_refused_at_once() {
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
            "it is never refused"
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

/// Guards against a target that nobody uses any more once its limit is over.
#[tokio::test(flavor = "multi_thread")]
async fn limit_that_ends_is_forgotten_by_all_routers() {
    let fleet = LimitFleet::start(1, 3).await;
    let engine = &fleet.engines[0];
    engine.set_limit(Some("2"));
    fleet.load(4, Duration::from_secs(2)).await;
    engine.set_limit(None);
    // A router hears of it with its next place, or from the one that gives these out.
    fleet.load(4, Duration::from_secs(6)).await;
    let counts = fleet.load(4, Duration::from_secs(2)).await;
    let (made, answered) = counts.read();
    assert_eq!(answered, made);
}

/// Guards against routers that send too much together after the one that gives out places has died.
#[tokio::test(flavor = "multi_thread")]
async fn limited_target_gets_no_more_while_routers_are_killed() {
    let mut fleet = LimitFleet::start(3, 6).await;
    let limited = fleet.engines[0].clone();
    limited.set_limit(Some("2"));
    let named_at = Instant::now();
    for round in 0..6 {
        fleet.load(5, Duration::from_secs(2)).await;
        fleet.routers[round].restart();
    }
    fleet.load(5, Duration::from_secs(2)).await;
    let most = most_in_window(&limited.arrivals(), named_at + CONTACT_SPAN);
    assert!(most <= allowed(2.0), "{most} calls in 4 s");
}
