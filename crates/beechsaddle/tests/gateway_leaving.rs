//! Tests of targets that announce in their responses that they leave.

mod gateway_support;
mod path_support;

use std::time::{Duration, Instant};

use beechsaddle_platform_stand_in::{
    CallReply, CallRequest, EntryState, StoreFault, TargetFault, TargetStandIn, call as call_router,
};
use gateway_support::{GatewayBench, GatewayProcess, SETTLE_SPAN, draft, request, wait_for};
use nix::sys::signal::Signal;
use path_support::{PathMode, StoreView};
use tokio::task::JoinHandle;
use tokio::time::sleep;

const AMPLE: u64 = 1_000_000;

/// Calls sent after a notice. Without it, about half of them go to the target.
const CALLS: usize = 12;

/// Maximum time of a refusal that waits for nothing.
const REFUSAL_LIMIT: Duration = Duration::from_millis(300);

const PLAIN_LINE: &str = "GET /get/1";
/// Such a call waits for a silent target until its deadline.
const ORDER_LINE: &str = "POST /order/1";
const STREAM_LINE: &str = "POST /stream/on/1";

fn call_of(line: &str, id: &str) -> CallRequest {
    let mut call = request(line, id);
    if line.contains("/stream") {
        call.tokens = Some((100, 60));
    }
    call
}

fn arrivals(target: &TargetStandIn) -> usize {
    target.runs().len()
}

/// Whether a call has reached a target.
fn ran(target: &TargetStandIn, id: &str) -> bool {
    target.runs().iter().any(|run| run.request_id() == id)
}

/// Lets a target announce that it leaves to a call, which the other one turns away.
async fn let_announce(
    router: &GatewayProcess,
    target: &TargetStandIn,
    other: &TargetStandIn,
    line: &str,
) {
    target.set_leaving(true);
    other.set_fault(TargetFault::Full);
    let before = arrivals(target);
    let id = format!("announced-{}", target.name());
    // Responses with errors announce it as well.
    let _ = router.call(&call_of(line, &id)).await;
    other.set_fault(TargetFault::None);
    assert!(
        arrivals(target) > before,
        "no call reached {}",
        target.name()
    );
}

/// Sends some calls and returns those that were not answered.
async fn failures(router: &GatewayProcess, line: &str, name: &str) -> Vec<CallReply> {
    let mut failed = Vec::new();
    for number in 0..CALLS {
        let reply = router
            .call(&call_of(line, &format!("{name}-{number}")))
            .await;
        if reply.status != 200 || !reply.is_complete {
            failed.push(reply);
        }
    }
    failed
}

/// Asserts that first attempts and repeats of calls leave `leaving` alone, and that `other` serves the
/// calls.
async fn assert_left_alone(
    router: &GatewayProcess,
    leaving: &TargetStandIn,
    other: &TargetStandIn,
    line: &str,
) {
    let before = arrivals(leaving);
    let failed = failures(router, line, "after").await;
    assert_eq!(arrivals(leaving) - before, 0, "arrivals of {CALLS} calls");
    assert_eq!(failed, []);
    other.set_fault(TargetFault::Full);
    for number in 0..3 {
        let id = format!("repeated-{number}");
        let reply = router.call(&call_of(line, &id)).await;
        assert_eq!(reply.status, 503, "{reply:?}");
    }
    other.set_fault(TargetFault::None);
    assert_eq!(arrivals(leaving) - before, 0, "arrivals of repeats");
}

/// Lets the first of two targets announce with a fault that it leaves, and asserts that it is left alone.
async fn assert_heeded(fault: TargetFault) {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    let [leaving, other] = [&bench.plain[0], &bench.plain[1]];
    leaving.set_fault(fault);
    let_announce(&bench.router, leaving, other, PLAIN_LINE).await;
    leaving.set_fault(TargetFault::None);
    assert_left_alone(&bench.router, leaving, other, PLAIN_LINE).await;
}

/// Requests went on to a target whose answer had announced that it leaves, until its entry changed.
#[tokio::test]
async fn notice_on_answer_is_heeded() {
    assert_heeded(TargetFault::None).await;
}

/// Requests went on to a target that announced that it leaves as it turned a request away.
#[tokio::test]
async fn notice_on_rejection_is_heeded() {
    assert_heeded(TargetFault::Full).await;
}

/// Requests went on to a target that announced that it leaves with a failure.
#[tokio::test]
async fn notice_on_failure_is_heeded() {
    assert_heeded(TargetFault::Failing).await;
}

/// Requests went on to a target that announced that it leaves with status 404.
#[tokio::test]
async fn notice_on_missing_is_heeded() {
    assert_heeded(TargetFault::Missing).await;
}

/// Requests went on to a target that announced that it leaves on the head of a stream, or the stream was
/// cut because of it.
#[tokio::test]
async fn notice_on_stream_head_is_heeded_while_stream_runs() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    let [leaving, other] = [&bench.engines[0], &bench.engines[1]];
    leaving.set_events(30, Duration::from_millis(50));
    leaving.set_leaving(true);
    let mut streams = Vec::new();
    for number in 0..100 {
        let address = bench.router.address;
        let id = format!("running-{number}");
        streams.push(tokio::spawn(async move {
            let call = call_of(STREAM_LINE, &id);
            call_router(address, &call).await.expect("an answer")
        }));
        sleep(Duration::from_millis(20)).await;
        if arrivals(leaving) > 0 {
            break;
        }
    }
    assert_eq!(arrivals(leaving), 1);
    bench
        .router
        .wait_log(&["target_announced", "leaving"])
        .await;
    assert_left_alone(&bench.router, leaving, other, STREAM_LINE).await;
    for stream in streams {
        let reply = stream.await.expect("no panic");
        assert!(reply.is_complete, "{reply:?}");
    }
    assert!(leaving.runs().iter().all(|run| !run.is_cancelled));
}

/// Requests went on to a target that had announced that it leaves while the store was away, as its entry
/// could not change.
#[tokio::test]
async fn notice_without_store_is_heeded() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    bench.store.set_fault(StoreFault::Refusing);
    bench.router.wait_log(&["store_lost"]).await;
    let [leaving, other] = [&bench.plain[0], &bench.plain[1]];
    let_announce(&bench.router, leaving, other, PLAIN_LINE).await;
    assert_left_alone(&bench.router, leaving, other, PLAIN_LINE).await;
}

/// A heartbeat that crossed the announcement, and says that the target is ready, undid it.
#[tokio::test]
async fn ready_entry_after_notice_changes_nothing() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    let [leaving, other] = [&bench.plain[0], &bench.plain[1]];
    let_announce(&bench.router, leaving, other, PLAIN_LINE).await;
    leaving.set_cold(5);
    let store = &bench.store;
    store.put_target(leaving, "plain", "north", EntryState::Ready);
    // Changes arrive in the order of the store.
    let later = TargetStandIn::try_start("later-1").await.expect("a target");
    store.put_target(&later, "later", "north", EntryState::Ready);
    bench.router.wait_log(&["target_joined", "later-1"]).await;
    assert_left_alone(&bench.router, leaving, other, PLAIN_LINE).await;
}

/// The entry of a target that leaves expired and was written again, after which the target got requests.
#[tokio::test]
async fn entry_that_returns_changes_nothing() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    let [leaving, other] = [&bench.plain[0], &bench.plain[1]];
    let_announce(&bench.router, leaving, other, PLAIN_LINE).await;
    bench.store.remove_target("plain-1");
    bench.router.wait_log(&["target_gone", "plain-1"]).await;
    let store = &bench.store;
    store.put_target(leaving, "plain", "north", EntryState::Ready);
    let words = ["target_joined", "plain-1"];
    wait_for("a returned entry", || async {
        bench.router.log_lines(&words).len() == 2
    })
    .await;
    assert_left_alone(&bench.router, leaving, other, PLAIN_LINE).await;
}

/// A target that restarted under its name would be left alone for what its process before announced.
#[tokio::test]
async fn restart_under_same_name_serves_again() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    let put = |target: &TargetStandIn, born: u64| {
        let mut entry = target.entry("plain", "north", EntryState::Ready);
        entry["born"] = born.into();
        bench.store.put("servers", target.name(), &entry);
    };
    let [leaving, other] = [&bench.plain[0], &bench.plain[1]];
    put(leaving, 1_000);
    bench
        .router
        .wait_log(&["target_restarted", "plain-1"])
        .await;
    let_announce(&bench.router, leaving, other, PLAIN_LINE).await;
    leaving.crash();
    let restarted = TargetStandIn::try_start("plain-1").await.expect("a target");
    put(&restarted, 2_000);
    wait_for("a restart", || async {
        bench
            .router
            .log_lines(&["target_restarted", "plain-1"])
            .len()
            == 2
    })
    .await;
    other.set_fault(TargetFault::Full);
    let reply = bench.router.call(&call_of(PLAIN_LINE, "after")).await;
    assert_eq!((reply.status, arrivals(&restarted)), (200, 1));
}

/// A response that is not the target's own took it out of use.
#[tokio::test]
async fn unsealed_notice_is_not_believed() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    let [target, other] = [&bench.plain[0], &bench.plain[1]];
    target.set_fault(TargetFault::Unsealed);
    let_announce(&bench.router, target, other, PLAIN_LINE).await;
    target.set_fault(TargetFault::None);
    target.set_leaving(false);
    other.set_fault(TargetFault::Full);
    let before = arrivals(target);
    let reply = bench.router.call(&call_of(PLAIN_LINE, "sound")).await;
    assert_eq!((reply.status, arrivals(target) - before), (200, 1));
}

/// Requests went to targets although all of the service had announced that they leave.
#[tokio::test]
async fn all_leaving_refuses_at_once_as_not_run() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    for (targets, line) in [(&bench.plain, PLAIN_LINE), (&bench.engines, STREAM_LINE)] {
        let [first, second] = [&targets[0], &targets[1]];
        let_announce(&bench.router, first, second, line).await;
        let_announce(&bench.router, second, first, line).await;
    }
    let all = [&bench.plain[..], &bench.engines[..]].concat();
    let before = GatewayBench::arrival_count(&all);
    for line in [PLAIN_LINE, ORDER_LINE, STREAM_LINE, "POST /stream/once/1"] {
        let started = Instant::now();
        let id = format!("refused{}", line.replace([' ', '/'], "-"));
        let reply = bench.router.call(&call_of(line, &id)).await;
        assert_eq!(reply.status, 503, "{line}: {reply:?}");
        assert!(started.elapsed() < REFUSAL_LIMIT);
        assert!(reply.headers.contains_key("retry-after"));
        assert!(reply.body.contains("targets_leaving"), "{}", reply.body);
        let words = ["event=call ", &id, "outcome=targets_leaving", "leaving="];
        bench.router.wait_log(&words).await;
    }
    assert_eq!(GatewayBench::arrival_count(&all), before);
    let refusals = bench
        .router
        .metric("refusals_total{cause=\"TargetsLeaving\"}");
    assert_eq!(refusals.await, Some(4.0));
}

/// Nothing showed for which targets a router had stopped sending requests, or each answer said it again.
#[tokio::test]
async fn notice_is_logged_once_and_shown() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    let leaving = &bench.plain[0];
    leaving.set_response_delay(Duration::from_millis(200));
    leaving.set_leaving(true);
    let address = bench.router.address;
    let calls = (0..10).map(|number| {
        let call = call_of(ORDER_LINE, &format!("at-once-{number}"));
        tokio::spawn(async move { call_router(address, &call).await.expect("an answer") })
    });
    for call in calls.collect::<Vec<_>>() {
        assert_eq!(call.await.expect("no panic").status, 200);
    }
    assert!(arrivals(leaving) > 1);
    let words = ["target_leaving", "plain-1", "source=answer"];
    bench.router.wait_log(&words).await;
    assert_eq!(bench.router.log_lines(&["target_leaving"]).len(), 1);
    let status = request("GET /admin/status", "status");
    let status = call_router(bench.router.ready, &status).await.expect("it");
    let status: serde_json::Value = serde_json::from_str(&status.body).expect("a status");
    let targets = status["targets"].as_array().expect("targets");
    let mut phases = targets
        .iter()
        .map(|target| (&target["target"], &target["phase"]));
    assert!(phases.any(|(name, phase)| name == "plain-1" && phase == "leaving"));
}

/// A stream whose target broke off was resumed at a target that leaves.
#[tokio::test]
async fn resume_avoids_leaving_target() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    let [leaving, other] = [&bench.engines[0], &bench.engines[1]];
    let_announce(&bench.router, leaving, other, STREAM_LINE).await;
    let before = arrivals(leaving);
    other.set_fault(TargetFault::ResetStream(1));
    // Where no other target takes it, it may be broken off.
    let _ = bench.router.call(&call_of(STREAM_LINE, "broken")).await;
    assert!(arrivals(other) > 0);
    assert_eq!(arrivals(leaving) - before, 0);
}

/// Callers that resume their streams were sent to a target that leaves, as it has the right version.
#[tokio::test]
async fn take_up_avoids_leaving_target() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    let [leaving, other] = [&bench.engines[0], &bench.engines[1]];
    let begun = bench.router.call(&call_of(STREAM_LINE, "begun")).await;
    assert_eq!(begun.status, 200);
    let_announce(&bench.router, leaving, other, STREAM_LINE).await;
    let before = arrivals(leaving);
    for number in 0..CALLS {
        let mut call = call_of(STREAM_LINE, &format!("taken-up-{number}"));
        call.resume("begun", 1);
        let reply = bench.router.call(&call).await;
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    assert!(arrivals(other) > 0);
    assert_eq!(arrivals(leaving) - before, 0);
}

/// A router that is cut off from all targets, and one that carries its tunnels.
struct TunnelBench {
    /// The store, the targets and the router that carries tunnels.
    bench: GatewayBench,
    view: StoreView,
    router: GatewayProcess,
}

impl TunnelBench {
    async fn start() -> Self {
        let bench = TunnelBench::start_uncut().await;
        bench.cut().await;
        bench
    }

    async fn start_uncut() -> Self {
        let bench = GatewayBench::start(&draft(1, AMPLE)).await;
        let targets = bench.plain.iter().chain(&bench.engines);
        let view = StoreView::start(bench.store.address(), targets).await;
        let router = GatewayProcess::start(view.address, "host-2", "north");
        router.wait_ready().await;
        router.wait_log(&["target_joined", "engine-2"]).await;
        router.wait_log(&["routers_listed", "routers=2"]).await;
        sleep(SETTLE_SPAN).await;
        TunnelBench {
            bench,
            view,
            router,
        }
    }

    /// Sends a call to the router that may be cut off.
    fn start_call(&self, id: &str) -> JoinHandle<CallReply> {
        let (address, call) = (self.router.address, call_of(ORDER_LINE, id));
        tokio::spawn(async move { call_router(address, &call).await.expect("an answer") })
    }

    /// Cuts the router from all targets and waits until it has noticed.
    async fn cut(&self) {
        self.view.set_mode(PathMode::Refusing);
        wait_for("a noticed partition", || async {
            for line in [PLAIN_LINE, ORDER_LINE, STREAM_LINE] {
                // Calls before the router notices may fail.
                let _ = self.router.call(&call_of(line, "cut")).await;
            }
            self.router.metric("path_lost").await == Some(1.0)
        })
        .await;
    }
}

/// A router went on sending requests to a target by way of another router, although the answer that came
/// back that way announced that the target leaves.
#[tokio::test]
async fn notice_through_tunnel_is_heeded_by_asking_router() {
    let bench = TunnelBench::start().await;
    let [leaving, other] = [&bench.bench.plain[0], &bench.bench.plain[1]];
    let_announce(&bench.router, leaving, other, PLAIN_LINE).await;
    assert_left_alone(&bench.router, leaving, other, PLAIN_LINE).await;
}

/// A router that carried an answer for another one went on sending requests to its target.
#[tokio::test]
async fn notice_through_tunnel_is_heeded_by_carrying_router() {
    let bench = TunnelBench::start().await;
    let [leaving, other] = [&bench.bench.plain[0], &bench.bench.plain[1]];
    let_announce(&bench.router, leaving, other, PLAIN_LINE).await;
    assert_left_alone(&bench.bench.router, leaving, other, PLAIN_LINE).await;
    let words = ["target_leaving", "plain-1", "source=tunnel"];
    bench.bench.router.wait_log(&words).await;
}

/// A router that carried a stream for another one went on sending requests to its target.
#[tokio::test]
async fn notice_on_carried_stream_is_heeded_by_carrying_router() {
    let bench = TunnelBench::start().await;
    let [leaving, other] = [&bench.bench.engines[0], &bench.bench.engines[1]];
    let_announce(&bench.router, leaving, other, STREAM_LINE).await;
    assert_left_alone(&bench.bench.router, leaving, other, STREAM_LINE).await;
}

/// A router opened tunnels to a target that had announced to it that it leaves.
#[tokio::test]
async fn tunnel_to_leaving_target_is_refused() {
    let bench = TunnelBench::start().await;
    let [leaving, other] = [&bench.bench.plain[0], &bench.bench.plain[1]];
    let_announce(&bench.bench.router, leaving, other, PLAIN_LINE).await;
    assert_left_alone(&bench.router, leaving, other, PLAIN_LINE).await;
    let withdrawn = "tunnels_requested_total{what=\"withdrawn\"}";
    assert!(bench.router.metric(withdrawn).await > Some(0.0));
}

/// A call was sent to a target that announced that it leaves while the call waited for its connection.
#[tokio::test]
async fn notice_is_heeded_by_call_that_waits_for_its_connection() {
    let bench = TunnelBench::start_uncut().await;
    bench.bench.store.remove_target("plain-2");
    let gone = ["target_gone", "plain-2"];
    bench.router.wait_log(&gone).await;
    let leaving = &bench.bench.plain[0];
    leaving.set_leaving(true);
    leaving.set_response_delay(Duration::from_millis(3_000));
    let first = bench.start_call("first");
    wait_for("an arrival", || async { ran(leaving, "first") }).await;
    let arrived_at = Instant::now();
    // The first call keeps its connection.
    bench.view.set_mode(PathMode::RefusingNew);
    wait_for("a noticed partition", || async {
        // Calls before the router notices may fail.
        let _ = bench.router.call(&call_of(STREAM_LINE, "cut")).await;
        bench.router.metric("path_lost").await == Some(1.0)
    })
    .await;
    // The response to the first call comes while the second one waits for its tunnel.
    sleep(Duration::from_millis(2_800).saturating_sub(arrived_at.elapsed())).await;
    bench.bench.router.signal(Signal::SIGSTOP);
    let second = bench.start_call("second");
    assert_eq!(first.await.expect("no panic").status, 200);
    bench.bench.router.signal(Signal::SIGCONT);
    let reply = second.await.expect("no panic");
    assert_eq!(reply.status, 503, "{reply:?}");
    assert!(!ran(leaving, "second"));
}

/// A response that is not the target's own, and passed through a tunnel, took the target out of use.
#[tokio::test]
async fn unsealed_notice_through_tunnel_is_not_believed() {
    let bench = TunnelBench::start().await;
    let [target, other] = [&bench.bench.plain[0], &bench.bench.plain[1]];
    target.set_fault(TargetFault::Unsealed);
    let_announce(&bench.router, target, other, PLAIN_LINE).await;
    target.set_fault(TargetFault::None);
    target.set_leaving(false);
    other.set_fault(TargetFault::Full);
    let before = arrivals(target);
    let reply = bench.bench.router.call(&call_of(PLAIN_LINE, "sound")).await;
    assert_eq!((reply.status, arrivals(target) - before), (200, 1));
}
