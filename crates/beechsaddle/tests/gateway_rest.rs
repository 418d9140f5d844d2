//! Tests of targets that turn calls away and ask for rest.

mod gateway_support;
mod path_support;
mod rest_support;

use std::time::{Duration, Instant};

use beechsaddle_platform_stand_in::{EntryState, StoreFault, TargetFault};
use gateway_support::{GatewayBench, GatewayProcess, SETTLE_SPAN, draft, wait_for};
use path_support::{PathMode, StoreView};
use rest_support::{AMPLE, RestBench, check_resting, rest_call, retry_ms};
use tokio::time::sleep;

/// A router sent idempotent calls to a resting target, and refused those whose repeats the retry
/// budget did not cover.
#[tokio::test(flavor = "multi_thread")]
async fn resting_target_gets_no_idempotent_calls() {
    let bench = RestBench::start().await;
    bench.check_one_resting("GET /get/1").await;
}

/// A router sent calls that run once to a resting target.
#[tokio::test(flavor = "multi_thread")]
async fn resting_target_gets_no_calls_that_run_once() {
    let bench = RestBench::start().await;
    bench.check_one_resting("POST /order/1").await;
}

/// A router sent streams to a resting target.
#[tokio::test(flavor = "multi_thread")]
async fn resting_target_gets_no_streams() {
    let bench = RestBench::start().await;
    bench.check_one_resting("POST /stream/on/1").await;
}

/// A router forgot a rest while the store was away.
#[tokio::test(flavor = "multi_thread")]
async fn resting_target_gets_no_calls_while_the_store_is_away() {
    let bench = RestBench::start().await;
    bench.gateway.store.set_fault(StoreFault::Refusing);
    bench.gateway.router.wait_log(&["store_lost"]).await;
    bench.check_one_resting("GET /get/1").await;
}

/// A call was sent to resting targets, or told to come back long before any of them takes calls.
#[tokio::test(flavor = "multi_thread")]
async fn all_resting_targets_refuse_at_once() {
    for line in ["GET /get/1", "POST /order/1", "POST /stream/on/1"] {
        let bench = RestBench::start().await;
        let targets = bench.targets(line);
        bench.rest_each(line, &["3", "5", "4"]).await;
        let first_at = targets[0].arrivals()[0];
        for target in targets {
            target.set_fault(TargetFault::None);
        }
        let router = &bench.gateway.router;
        let repeats = router.metric("repeats_total").await;
        let before = GatewayBench::arrival_count(targets);
        for wait in [Duration::ZERO, Duration::from_millis(1_000)] {
            sleep(wait).await;
            let asked_at = Instant::now();
            let reply = router.call(&rest_call(line, "refused")).await;
            assert!(asked_at.elapsed() < Duration::from_millis(300));
            check_resting(&reply);
            let left_ms = 3_000 - asked_at.duration_since(first_at).as_millis() as u64;
            let told_ms = retry_ms(&reply);
            assert!(
                told_ms + 50 >= left_ms && told_ms <= left_ms + 1_000,
                "{line}: {told_ms} ms, {left_ms} ms left"
            );
        }
        assert_eq!(GatewayBench::arrival_count(targets), before, "{line}");
        assert_eq!(router.metric("repeats_total").await, repeats, "{line}");
    }
}

/// The last target that was free asked for rest, and the call used up retry budget although no target
/// was left for its repeat.
#[tokio::test(flavor = "multi_thread")]
async fn last_free_target_that_asks_for_rest_uses_no_retry_budget() {
    let bench = RestBench::start_with_targets(1).await;
    bench.rest_all("GET /get/1", "3").await;
    let router = &bench.gateway.router;
    assert_eq!(router.metric("repeats_total").await.unwrap_or(0.0), 0.0);
    assert_eq!(GatewayBench::arrival_count(bench.targets("GET /get/1")), 1);
}

/// A call was told to wait for the end of a rest although another target, which has reached its limit,
/// takes calls again sooner.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_names_the_pause_that_ends_first() {
    let line = "GET /get/1";
    let bench = RestBench::start_with_targets(2).await;
    let [resting, limited] = bench.targets(line) else {
        panic!("two targets");
    };
    limited.set_limit(Some("0.5"));
    resting.set_fault(TargetFault::Full);
    resting.set_rest(Some("30"));
    wait_for("a limit and a rest", || async {
        bench.gateway.router.call(&rest_call(line, "first")).await;
        !limited.arrivals().is_empty() && !resting.arrivals().is_empty()
    })
    .await;
    let before = resting.arrivals().len();
    let mut refused = 0;
    for number in 0..30 {
        let call = rest_call(line, &format!("call-{number}"));
        let reply = bench.gateway.router.call(&call).await;
        if reply.status == 503 {
            assert!(reply.body.contains("targets_limited"), "{reply:?}");
            assert!(retry_ms(&reply) <= 4_000, "{reply:?}");
            refused += 1;
        }
        sleep(Duration::from_millis(50)).await;
    }
    assert!(refused > 0);
    assert_eq!(resting.arrivals().len(), before);
}

/// A later answer ended an earlier rest: a shorter rest, an answer without a rest, or a success.
#[tokio::test(flavor = "multi_thread")]
async fn rest_is_not_shortened_by_a_later_answer() {
    // The router waits for the whole answer of a call that may run once.
    let line = "POST /order/1";
    let delay = Duration::from_millis(300);
    for (fault, rest) in [
        (TargetFault::Full, Some("0.5")),
        (TargetFault::Full, None),
        (TargetFault::None, None),
    ] {
        let bench = RestBench::start_with_targets(1).await;
        let target = &bench.targets(line)[0];
        target.set_response_delay(delay);
        target.set_fault(TargetFault::Full);
        target.set_rest(Some("3"));
        let first = bench.spawn_call(line, "first");
        bench.wait_arrivals(line, 1).await;
        sleep(delay / 2).await;
        target.set_fault(fault);
        let second = bench.spawn_call(line, "second");
        bench.wait_arrivals(line, 2).await;
        first.await.expect("no panic");
        target.set_rest(rest);
        second.await.expect("no panic");
        target.set_fault(TargetFault::None);
        sleep(Duration::from_millis(700)).await;
        let reply = bench.gateway.router.call(&rest_call(line, "third")).await;
        check_resting(&reply);
        assert_eq!(target.arrivals().len(), 2, "{fault:?} {rest:?}");
    }
}

/// A date or an invalid number was taken for a rest.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_rest_is_an_ordinary_rejection() {
    let bench = RestBench::start_with_targets(1).await;
    let target = &bench.targets("GET /get/1")[0];
    for rest in [
        "Fri, 04 Dec 2026 07:00:00 GMT",
        "-3",
        "+3",
        "NaN",
        "inf",
        "3 s",
    ] {
        target.set_fault(TargetFault::Full);
        target.set_rest(Some(rest));
        let router = &bench.gateway.router;
        let reply = router.call(&rest_call("GET /get/1", "rejected")).await;
        assert!(reply.body.contains("targets_full"), "{rest}: {reply:?}");
        target.set_fault(TargetFault::None);
        let reply = router.call(&rest_call("GET /get/1", "served")).await;
        assert_eq!(reply.status, 200, "{rest}: {reply:?}");
    }
}

/// A signed answer other than 503, or an answer of an intermediary, made a target rest.
#[tokio::test(flavor = "multi_thread")]
async fn other_answers_rest_nobody() {
    let bench = RestBench::start_with_targets(1).await;
    let target = &bench.targets("GET /get/1")[0];
    let router = &bench.gateway.router;
    target.set_signed_rest(Some("60"));
    for fault in [TargetFault::None, TargetFault::Failing] {
        target.set_fault(fault);
        router.call(&rest_call("GET /get/1", "signed")).await;
    }
    target.set_signed_rest(None);
    target.set_rest(Some("60"));
    target.set_fault(TargetFault::Intercepted);
    router.call(&rest_call("GET /get/1", "intercepted")).await;
    target.set_fault(TargetFault::None);
    let reply = router.call(&rest_call("GET /get/1", "served")).await;
    assert_eq!(reply.status, 200, "{reply:?}");
}

/// A restarted target rested for what its earlier incarnation had asked for, or a rest was forgotten
/// when the entry of its incarnation came back.
#[tokio::test(flavor = "multi_thread")]
async fn rest_belongs_to_an_incarnation() {
    let bench = RestBench::start_with_targets(1).await;
    bench.put_born(1).await;
    bench.rest_all("GET /get/1", "60").await;
    let target = &bench.targets("GET /get/1")[0];
    target.set_fault(TargetFault::None);
    let before = target.arrivals().len();
    let (store, router) = (&bench.gateway.store, &bench.gateway.router);
    store.remove_target(target.name());
    router.wait_log(&["target_gone", target.name()]).await;
    let joined = ["target_joined", target.name()];
    let joins = router.log_lines(&joined).len();
    bench.put_entry_born(1);
    wait_for("its entry", || async {
        router.log_lines(&joined).len() > joins
    })
    .await;
    let reply = router.call(&rest_call("GET /get/1", "resting")).await;
    check_resting(&reply);
    assert_eq!(target.arrivals().len(), before);
    bench.put_born(2).await;
    let reply = router.call(&rest_call("GET /get/1", "restarted")).await;
    assert_eq!(reply.status, 200, "{reply:?}");
}

/// Callers were told the same instant, and all of them together met the first target whose rest had
/// ended.
#[tokio::test(flavor = "multi_thread")]
async fn end_of_a_rest_brings_no_herd() {
    const SLOTS: usize = 6;
    let delay = Duration::from_millis(250);
    let bench = RestBench::start_with_targets(1).await;
    bench.rest_all("GET /get/1", "2").await;
    let target = &bench.targets("GET /get/1")[0];
    target.set_fault(TargetFault::None);
    target.set_response_delay(delay);
    let rested_at = target.arrivals()[0];
    let mut told = Vec::new();
    for number in 0..40 {
        let call = rest_call("GET /get/1", &format!("early-{number}"));
        let reply = bench.gateway.router.call(&call).await;
        check_resting(&reply);
        told.push(rested_at.elapsed().as_millis() as u64 + retry_ms(&reply));
    }
    told.sort_unstable();
    assert!(told[0] >= 2_000, "{told:?}");
    assert!(told[39] - told[0] >= 200, "{told:?}");
    sleep(Duration::from_millis(2_150).saturating_sub(rested_at.elapsed())).await;
    let calls = (0..40).map(|number| bench.spawn_call("GET /get/1", &format!("late-{number}")));
    let mut served = 0;
    for call in calls.collect::<Vec<_>>() {
        served += usize::from(call.await.expect("no panic").status == 200);
    }
    let arrivals = &target.arrivals()[1..];
    let most = arrivals.iter().map(|first| {
        let after = arrivals.iter().filter(|at| *at >= first);
        after.filter(|at| **at < *first + delay / 2).count()
    });
    let most = most.max().unwrap_or(0);
    assert!(most <= SLOTS, "{most} calls at once");
    assert!(served >= 1, "none of 40 served");
    sleep(Duration::from_millis(3_200).saturating_sub(rested_at.elapsed())).await;
    let reply = bench.spawn_call("GET /get/1", "after").await;
    assert_eq!(reply.expect("no panic").status, 200);
}

/// A stream that is bound to a software version was resumed at its resting target, or at another
/// version.
#[tokio::test(flavor = "multi_thread")]
async fn resume_waits_for_the_resting_target_of_its_version() {
    let line = "POST /stream/on/1";
    let bench = RestBench::start_with_targets(1).await;
    let router = &bench.gateway.router;
    let reply = router.call(&rest_call(line, "begun")).await;
    assert_eq!(reply.status, 200, "{reply:?}");
    bench.rest_all(line, "30").await;
    let engine = &bench.targets(line)[0];
    engine.set_fault(TargetFault::None);
    let other = &bench.gateway.engines[1];
    other.set_version("v2");
    let store = &bench.gateway.store;
    let joined = router.log_lines(&["target_joined", other.name()]).len();
    store.put_target(other, "engine", "north", EntryState::Ready);
    wait_for("the other version", || async {
        router.log_lines(&["target_joined", other.name()]).len() > joined
    })
    .await;
    let before = engine.arrivals().len();
    let mut resumed = rest_call(line, "resumed");
    resumed.resume("begun", 1);
    check_resting(&router.call(&resumed).await);
    assert_eq!(engine.arrivals().len(), before);
    assert_eq!(other.arrivals().len(), 0);
    let reply = router.call(&rest_call(line, "fresh")).await;
    assert_eq!(reply.status, 200, "{reply:?}");
}

/// A router carried calls of another one to a target that had asked it for rest, or kept them from
/// targets that rest for it alone.
#[tokio::test(flavor = "multi_thread")]
async fn tunnels_heed_the_rest_of_the_router_that_carries_them() {
    let line = "GET /get/1";
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    let targets = bench.plain.iter().chain(&bench.engines);
    let view = StoreView::start(bench.store.address(), targets).await;
    let cut = GatewayProcess::start(view.address, "host-2", "north");
    let third = GatewayProcess::start(bench.store.address(), "host-3", "north");
    for router in [&bench.router, &cut, &third] {
        router.wait_ready().await;
        router.wait_log(&["target_joined", "plain-2"]).await;
        router.wait_log(&["routers_listed", "routers=3"]).await;
    }
    sleep(SETTLE_SPAN).await;
    view.set_mode(PathMode::Refusing);
    wait_for("a noticed partition", || async {
        // Calls before the router notices may fail.
        let _ = cut.call(&rest_call(line, "cut")).await;
        cut.metric("path_lost").await == Some(1.0)
    })
    .await;
    for target in &bench.plain {
        target.set_fault(TargetFault::Full);
        target.set_rest(Some("30"));
    }
    let before: Vec<_> = bench.plain.iter().map(|t| t.arrivals().len()).collect();
    wait_for("rest of both targets", || async {
        bench.router.call(&rest_call(line, "rest")).await;
        let counts = bench.plain.iter().zip(&before);
        counts.clone().all(|(t, count)| t.arrivals().len() > *count)
    })
    .await;
    for target in &bench.plain {
        target.set_fault(TargetFault::None);
    }
    for number in 0..10 {
        let id = format!("relayed-{number}");
        let reply = cut.call(&rest_call(line, &id)).await;
        assert_eq!(reply.status, 200, "{reply:?}");
        let id = format!("id={id}");
        let words = ["event=call ", &id, "through=host-3"];
        cut.wait_log(&words).await;
    }
    let resting = "tunnels_requested_total{what=\"resting\"}";
    assert!(cut.metric(resting).await.unwrap_or(0.0) >= 1.0);
}

/// A rest was not logged, counted or shown, or was logged with each refused call.
#[tokio::test(flavor = "multi_thread")]
async fn rest_is_logged_counted_and_shown() {
    let bench = RestBench::start_with_targets(1).await;
    bench.rest_all("GET /get/1", "30").await;
    let router = &bench.gateway.router;
    for number in 0..3 {
        let call = rest_call("GET /get/1", &format!("refused-{number}"));
        check_resting(&router.call(&call).await);
    }
    let words = ["event=target_resting ", "target=plain-1", "rest_ms=30000"];
    router.wait_log(&words).await;
    assert_eq!(router.log_lines(&words).len(), 1);
    assert_eq!(router.metric("target_rests_total").await, Some(1.0));
    let refusals = "refusals_total{cause=\"TargetsResting\"}";
    assert!(router.metric(refusals).await.unwrap_or(0.0) >= 3.0);
    router.wait_log(&["event=call ", "resting=plain-1"]).await;
    let status = bench.status().await;
    let targets = status["targets"].as_array().expect("targets");
    let shown = targets.iter().find(|target| target["target"] == "plain-1");
    let left_ms = shown.and_then(|target| target["resting_for_ms"].as_u64());
    assert!(matches!(left_ms, Some(20_000..=30_000)), "{left_ms:?}");
}
