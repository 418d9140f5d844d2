//! Tests of routers that follow the operator's evacuations, and of cold targets.

mod gateway_support;

use std::time::{Duration, Instant};

use beechsaddle_platform_stand_in::{EntryState, StoreFault, TargetFault, TargetStandIn};
use gateway_support::{GatewayBench, GatewayProcess, SETTLE_SPAN, draft, request};
use tokio::time::sleep;

const AMPLE: u64 = 10_000_000;

/// Routers of the relaying domain: enough that two follow the store and the others follow these.
const ROUTERS: usize = 7;

/// Time within which an evacuation has to be in force.
const IN_FORCE_LIMIT: Duration = Duration::from_millis(5_000);

/// What a cold target withstands from all routers in a second at the most.
const COLD_ALLOWED: usize = 14;

/// Starts a target of a service in a zone.
async fn start_target(
    bench: &GatewayBench,
    name: &str,
    service: &str,
    zone: &str,
) -> TargetStandIn {
    let target = TargetStandIn::try_start(name).await.expect("a target");
    bench
        .store
        .put_target(&target, service, zone, EntryState::Ready);
    bench.router.wait_log(&["target_joined", name]).await;
    target
}

/// Sends calls for some time; returns how many were made, all of them answered with 200.
async fn call_for(router: &GatewayProcess, line: &str, span: Duration) -> usize {
    let until = Instant::now() + span;
    let mut made = 0;
    while Instant::now() < until {
        let reply = router.call(&request(line, &format!("call-{made}"))).await;
        assert_eq!(reply.status, 200, "{}", reply.body);
        made += 1;
        sleep(Duration::from_millis(10)).await;
    }
    made
}

/// The targets of an evacuated zone get nothing, those of another zone take over, and the zone is used
/// again after the withdrawal.
#[tokio::test]
async fn evacuated_zone_gets_nothing_until_it_is_taken_back() {
    let bench = GatewayBench::start_with_evacuations(&draft(1, AMPLE)).await;
    let other = start_target(&bench, "plain-3", "plain", "south").await;
    bench.store.evacuate("north");
    bench
        .router
        .wait_log(&["evacuation_in_force", "domain=north"])
        .await;
    let before = GatewayBench::arrival_count(&bench.plain);
    let made = call_for(&bench.router, "GET /get/1", Duration::from_millis(500)).await;
    assert_eq!(GatewayBench::arrival_count(&bench.plain), before);
    assert_eq!(other.runs().len(), made);
    assert_eq!(bench.router.metric("evacuations").await, Some(1.0));
    bench.store.withdraw_evacuation("north");
    bench
        .router
        .wait_log(&["evacuation_withdrawn", "domain=north"])
        .await;
    // Slow enough that the targets that were taken back look like the better choice.
    other.set_response_delay(Duration::from_millis(100));
    call_for(&bench.router, "GET /get/1", Duration::from_millis(500)).await;
    assert!(GatewayBench::arrival_count(&bench.plain) > before);
}

/// With all targets evacuated, calls are refused at once as not run, with the time of a retry.
#[tokio::test]
async fn calls_are_refused_at_once_while_all_targets_are_evacuated() {
    let bench = GatewayBench::start_with_evacuations(&draft(1, AMPLE)).await;
    bench.store.evacuate("north");
    bench.router.wait_log(&["evacuation_in_force"]).await;
    let asked = Instant::now();
    for line in ["GET /get/1", "POST /order/1", "POST /stream/once/1"] {
        let reply = bench.router.call(&request(line, "call-1")).await;
        assert_eq!(reply.status, 503);
        assert!(reply.body.contains("targets_evacuated"), "{}", reply.body);
        assert!(reply.headers.contains_key("retry-after"));
    }
    assert!(asked.elapsed() < Duration::from_millis(900));
    let words = ["outcome=targets_evacuated", "evacuated=north"];
    bench.router.wait_log(&words).await;
    assert_eq!(GatewayBench::arrival_count(&bench.plain), 0);
    assert_eq!(GatewayBench::arrival_count(&bench.engines), 0);
}

/// A router that starts during an evacuation sends the zone nothing, and reports ready only once it
/// knows the evacuations.
#[tokio::test]
async fn evacuation_holds_at_a_routers_start() {
    let mut bench = GatewayBench::start_with_evacuations(&draft(1, AMPLE)).await;
    bench.store.evacuate("north");
    bench.router.wait_log(&["evacuation_in_force"]).await;
    bench.store.set_fault(StoreFault::Refusing);
    bench.router.restart();
    sleep(Duration::from_millis(400)).await;
    assert!(!bench.router.is_ready().await);
    let early = bench.router.call(&request("GET /get/1", "early")).await;
    assert!(early.body.contains("no_config"), "{}", early.body);
    bench.store.set_fault(StoreFault::None);
    bench.router.wait_ready().await;
    for _ in 0..10 {
        let reply = bench.router.call(&request("GET /get/1", "call-1")).await;
        assert_eq!(reply.status, 503);
    }
    assert_eq!(GatewayBench::arrival_count(&bench.plain), 0);
}

/// Evacuations that are set and withdrawn during an outage of the store come into force after it.
#[tokio::test]
async fn evacuations_change_during_an_outage_of_the_store() {
    let bench = GatewayBench::start_with_evacuations(&draft(1, AMPLE)).await;
    bench.store.evacuate("west");
    bench
        .router
        .wait_log(&["evacuation_in_force", "domain=west"])
        .await;
    bench.store.set_fault(StoreFault::Silent);
    bench.router.wait_log(&["store_lost"]).await;
    bench.store.withdraw_evacuation("west");
    bench.store.evacuate("north");
    bench.store.set_fault(StoreFault::None);
    bench
        .router
        .wait_log(&["evacuation_in_force", "domain=north"])
        .await;
    bench
        .router
        .wait_log(&["evacuation_withdrawn", "domain=west"])
        .await;
    let reply = bench.router.call(&request("GET /get/1", "call-1")).await;
    assert_eq!(reply.status, 503);
}

/// Routers that follow others learn of an evacuation in time, also while routers are killed.
#[tokio::test(flavor = "multi_thread")]
async fn evacuation_reaches_routers_that_follow_others() {
    let bench = GatewayBench::start_with_evacuations(&draft(1, AMPLE)).await;
    let mut routers: Vec<_> = (2..ROUTERS + 2)
        .map(|number| {
            let host = format!("host-{number}");
            GatewayProcess::start_with_evacuations(bench.store.address(), &host, "south")
        })
        .collect();
    for router in &routers {
        router.wait_ready().await;
        let listed = format!("routers={}", ROUTERS + 1);
        router.wait_log(&["routers_listed", &listed]).await;
    }
    sleep(SETTLE_SPAN).await;
    bench.store.evacuate("north");
    let set_at = Instant::now();
    routers[0].restart();
    routers[3].restart();
    for router in &routers {
        router.wait_log(&["evacuation_in_force"]).await;
    }
    assert!(set_at.elapsed() < IN_FORCE_LIMIT);
    let calls = bench.store.calls("GET evacuations");
    sleep(Duration::from_secs(4)).await;
    let rate = (bench.store.calls("GET evacuations") - calls) as f64 / 4.0;
    assert!(rate <= 4.0, "{rate} calls to the store per second");
}

/// A target that starts cold gets no more from all routers than it withstands, while warm ones serve the
/// rest.
#[tokio::test(flavor = "multi_thread")]
async fn cold_target_gets_few_requests_from_all_routers() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    let more: Vec<_> = (2..5)
        .map(|number| {
            let host = format!("host-{number}");
            GatewayProcess::start(bench.store.address(), &host, "south")
        })
        .collect();
    for router in &more {
        router.wait_ready().await;
    }
    sleep(SETTLE_SPAN).await;
    let cold = TargetStandIn::try_start("engine-3")
        .await
        .expect("a target");
    cold.set_cold(3_000);
    bench
        .store
        .put_target(&cold, "engine", "north", EntryState::Ready);
    let load = |router| call_for(router, "POST /stream/on/1", Duration::from_secs(3));
    tokio::join!(
        load(&bench.router),
        load(&more[0]),
        load(&more[1]),
        load(&more[2])
    );
    let arrivals = cold.arrivals();
    let counts = arrivals.iter().enumerate().map(|(number, first)| {
        let later = arrivals[number..].iter();
        later
            .take_while(|at| **at < *first + Duration::from_secs(1))
            .count()
    });
    let most = counts.max().unwrap_or(0);
    assert!(most <= COLD_ALLOWED, "{most} requests in a second");
}

/// Starts a target at the address of one that has crashed, as soon as that has closed its listener.
async fn start_in_place(crashed: &TargetStandIn) -> TargetStandIn {
    let until = Instant::now() + Duration::from_secs(2);
    loop {
        match TargetStandIn::try_start_at("other-1", crashed.address()).await {
            Ok(target) => return target,
            Err(error) => assert!(Instant::now() < until, "{error}"),
        }
        sleep(Duration::from_millis(10)).await;
    }
}

/// A target crashes, and one of another service has its address before its entry expires: each call,
/// of a kind that may run once, is answered by another target, and the address gets one of them.
#[tokio::test]
async fn replaced_target_costs_calls_no_attempt() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    let old = &bench.plain[0];
    old.crash();
    let new = start_in_place(old).await;
    new.set_fault(TargetFault::Misdirected);
    bench
        .store
        .put_target(&new, "other", "north", EntryState::Ready);
    let contested = ["target_contested", "target=plain-1", "newer=other-1"];
    bench.router.wait_log(&contested).await;
    let (router, line) = (&bench.router, "POST /order/1");
    while router.log_lines(&["target_replaced", "plain-1"]).is_empty() {
        call_for(router, line, Duration::from_millis(100)).await;
    }
    call_for(router, line, Duration::from_millis(500)).await;
    assert_eq!(new.runs().len(), 1);
    assert_eq!(router.metric("address_conflicts_total").await, Some(1.0));
}
