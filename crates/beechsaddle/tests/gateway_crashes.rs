//! Tests of requests that crash the targets that run them.

mod crash_support;
mod gateway_support;

use std::time::Duration;

use beechsaddle_platform_stand_in::{EntryState, TargetFault};
use crash_support::{CrashFleet, body_request};
use tokio::time::sleep;

/// Time within which all routers must know of a third crash.
const PROPAGATION_SPAN: Duration = Duration::from_millis(3_000);

/// Maximum number of targets that the request may still reach after `PROPAGATION_SPAN`.
const MAX_LATE_ARRIVALS: usize = 3;

const CRASHING: &[u8] = b"crash";

/// A request that crashes its targets reaches only few of them, although it is retried at every
/// router.
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
    sleep(PROPAGATION_SPAN).await;
    let before = fleet.engines.arrivals(CRASHING);
    for round in 6..10 {
        for router in 0..fleet.routers.len() {
            let id = format!("crash-{round}-{router}");
            fleet.call(router, &body_request(&id, CRASHING)).await;
        }
        sleep(Duration::from_millis(500)).await;
    }
    let late = fleet.engines.arrivals(CRASHING) - before;
    assert!(late <= MAX_LATE_ARRIVALS, "{late} more arrivals at engines");
}

/// Crashes three targets with calls through all routers.
async fn crash_three_targets(fleet: &CrashFleet) {
    for number in 0..9 {
        let id = format!("first-{number}");
        let router = number % fleet.routers.len();
        fleet.call(router, &body_request(&id, CRASHING)).await;
        sleep(Duration::from_millis(60)).await;
    }
    for router in &fleet.routers {
        router.wait_log(&["request_blocked"]).await;
    }
}

/// The refusal of a crashing request says that the request did not run, and costs no tokens.
#[tokio::test]
async fn crashing_request_is_refused_before_it_costs_tokens() {
    let fleet = CrashFleet::start(8).await;
    crash_three_targets(&fleet).await;
    let reply = fleet.call(0, &body_request("again", CRASHING)).await;
    let reply = reply.expect("an answer");
    assert_eq!(reply.status, 503);
    assert!(reply.body.contains("crashes_targets"), "{}", reply.body);
    let retry_s: f64 = reply.headers["retry-after"].parse().expect("seconds");
    assert!(retry_s > 60.0, "retry after {retry_s} s");
    let router = &fleet.routers[0];
    assert!(
        router
            .log_lines(&["tokens_reserved", "id=again"])
            .is_empty()
    );
    router
        .wait_log(&["call_blocked", "id=again", "engine-"])
        .await;
    assert_eq!(router.metric("requests_blocked").await, Some(1.0));
    let other = fleet.call(0, &body_request("other", b"harmless")).await;
    assert_eq!(other.expect("an answer").status, 200);
}

/// A restarted router still refuses the request, instead of counting its crashes from zero.
#[tokio::test]
async fn crashing_request_is_refused_by_restarted_router() {
    let mut fleet = CrashFleet::start(8).await;
    crash_three_targets(&fleet).await;
    // The other routers have written their reports to the store by then.
    sleep(Duration::from_millis(800)).await;
    fleet.routers[2].restart();
    fleet.routers[2].wait_ready().await;
    fleet.routers[2].wait_log(&["request_blocked"]).await;
    let before = fleet.engines.arrivals(CRASHING);
    let reply = fleet.call(2, &body_request("later", CRASHING)).await;
    assert_eq!(reply.expect("an answer").status, 503);
    assert_eq!(fleet.engines.arrivals(CRASHING), before);
}

/// A domain that reaches the store but no other router learns of the crashes through the store, and
/// stops sending the request.
#[tokio::test]
async fn crashing_request_is_known_through_the_store() {
    let fleet = CrashFleet::start(8).await;
    fleet.isolate_routers().await;
    for number in 0..12 {
        let id = format!("apart-{number}");
        let router = number % 2;
        fleet.call(router, &body_request(&id, CRASHING)).await;
        sleep(Duration::from_millis(60)).await;
    }
    for router in &fleet.routers {
        router.wait_log(&["request_blocked"]).await;
    }
    let before = fleet.engines.arrivals(CRASHING);
    let reply = fleet.call(2, &body_request("south", CRASHING)).await;
    assert_eq!(reply.expect("an answer").status, 503);
    assert_eq!(fleet.engines.arrivals(CRASHING), before);
}

/// Other requests that run beside one that crashes targets are not refused, and nearly all are
/// answered.
#[tokio::test]
async fn crashing_request_blocks_no_other_request() {
    let fleet = CrashFleet::start(8).await;
    let (mut answered, mut refused) = (0, Vec::new());
    for number in 0..90 {
        let router = number % fleet.routers.len();
        let crashing = body_request(&format!("crash-{number}"), CRASHING);
        let popular = body_request(&format!("popular-{number}"), b"popular");
        let (_, reply) = tokio::join!(fleet.call(router, &crashing), fleet.call(router, &popular));
        match reply {
            Some(reply) if reply.status == 200 && reply.is_complete => answered += 1,
            Some(reply) if reply.body.contains("crashes_targets") => refused.push(number),
            Some(_) | None => {}
        }
    }
    assert!(refused.is_empty(), "refused at {refused:?}");
    assert!(answered >= 86, "{answered} of 90 answered");
}

/// Many targets that run a popular request are killed together. The request must not be blocked.
#[tokio::test]
async fn targets_killed_together_block_no_request() {
    let fleet = CrashFleet::start(6).await;
    for engine in fleet.engines.running() {
        engine.set_response_delay(Duration::from_millis(400));
    }
    let calls = (0..18).map(|number| {
        let popular = body_request(&format!("popular-{number}"), b"popular");
        let router = number % fleet.routers.len();
        let address = fleet.routers[router].address;
        tokio::spawn(async move { beechsaddle_platform_stand_in::call(address, &popular).await })
    });
    let calls: Vec<_> = calls.collect();
    sleep(Duration::from_millis(250)).await;
    fleet
        .engines
        .running()
        .iter()
        .for_each(|engine| engine.crash());
    for call in calls {
        // The results of the interrupted calls do not matter here.
        let _ = call.await;
    }
    // The engines have restarted by then.
    sleep(Duration::from_millis(900)).await;
    let mut answered = 0;
    for number in 0..18 {
        let router = number % fleet.routers.len();
        let popular = body_request(&format!("after-{number}"), b"popular");
        let reply = fleet.call(router, &popular).await;
        answered += usize::from(reply.is_some_and(|reply| reply.status == 200));
        sleep(Duration::from_millis(50)).await;
    }
    for router in &fleet.routers {
        assert!(router.log_lines(&["request_blocked"]).is_empty());
    }
    assert!(answered >= 14, "{answered} of 18 answered");
}

/// A running target that resets calls has not crashed, so the request of these calls is not
/// blocked.
#[tokio::test]
async fn broken_connections_of_running_targets_are_no_crashes() {
    let fleet = CrashFleet::start(3).await;
    let engines = fleet.engines.running();
    engines
        .iter()
        .for_each(|engine| engine.set_fault(TargetFault::Disconnecting));
    for number in 0..9 {
        let cut = body_request(&format!("cut-{number}"), b"harmless");
        fleet.call(number % 3, &cut).await;
    }
    engines
        .iter()
        .for_each(|engine| engine.set_fault(TargetFault::None));
    for router in &fleet.routers {
        assert!(router.log_lines(&["target_crashed"]).is_empty());
    }
    let reply = fleet.call(0, &body_request("then", b"harmless")).await;
    assert_eq!(reply.expect("an answer").status, 200);
}

/// The planned exit of a draining target is not attributed to a request that ran there.
#[tokio::test]
async fn exit_of_draining_target_is_no_crash() {
    let fleet = CrashFleet::start(1).await;
    let engine = fleet.engines.running().remove(0);
    engine.set_response_delay(Duration::from_millis(600));
    let running = body_request("running", b"harmless");
    let address = fleet.routers[0].address;
    let call =
        tokio::spawn(async move { beechsaddle_platform_stand_in::call(address, &running).await });
    sleep(Duration::from_millis(100)).await;
    fleet
        .store
        .put_target(&engine, "engine", "north", EntryState::Draining);
    fleet.routers[0].wait_log(&["target_draining"]).await;
    engine.crash();
    // The result of the call does not matter here.
    let _ = call.await;
    assert!(fleet.routers[0].log_lines(&["target_crashed"]).is_empty());
}

/// All routers receive the request at the same moment, in bursts. They must not each try it once in
/// every burst.
#[tokio::test]
async fn crashing_request_in_bursts_reaches_few_targets() {
    let fleet = CrashFleet::start(8).await;
    send_burst(&fleet, 0).await;
    sleep(PROPAGATION_SPAN).await;
    let before = fleet.engines.arrivals(CRASHING);
    for burst in 1..4 {
        send_burst(&fleet, burst).await;
        sleep(Duration::from_millis(1_500)).await;
    }
    let late = fleet.engines.arrivals(CRASHING) - before;
    assert!(before >= 3);
    assert!(late <= MAX_LATE_ARRIVALS, "{late} more arrivals at engines");
}

/// Calls each router three times at the same moment.
async fn send_burst(fleet: &CrashFleet, burst: usize) {
    let calls = (0..9).map(|number| {
        let request = body_request(&format!("burst-{burst}-{number}"), CRASHING);
        let address = fleet.routers[number % fleet.routers.len()].address;
        tokio::spawn(async move { beechsaddle_platform_stand_in::call(address, &request).await })
    });
    for call in calls.collect::<Vec<_>>() {
        // The responses do not matter here.
        let _ = call.await;
    }
}
