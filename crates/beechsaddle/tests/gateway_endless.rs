//! Tests of targets that send bytes without end that are no answer, through a gateway.

mod gateway_support;

use std::time::{Duration, Instant};

use beechsaddle_platform_stand_in::{
    CallReply, CallRequest, ConfigDraft, DraftKind, EndlessPart, RouteDraft, TargetFault,
    TargetStandIn, call,
};
use futures::future::join_all;
use gateway_support::{GatewayBench, draft, request, wait_for};
use tokio::time::{sleep, timeout};

const AMPLE: u64 = 1_000_000;

/// The time within which a call ends once its target has shown that no answer comes.
const PROMPT: Duration = Duration::from_millis(1_000);

/// Processor time that a call at such a target may take on a loaded test machine, in milliseconds.
const CALL_PROCESSOR_MS: u64 = 400;

/// The deadline of calls, in milliseconds.
const DEADLINE_MS: u64 = 3_000;

/// Sends as fast as the router reads.
const fn flood(part: EndlessPart) -> TargetFault {
    TargetFault::Endless(part, Duration::ZERO)
}

/// Sends 64 KiB in each twentieth of a second.
const fn trickle(part: EndlessPart) -> TargetFault {
    TargetFault::Endless(part, Duration::from_millis(50))
}

fn order(id: &str) -> CallRequest {
    let mut order = request("POST /order/1", id);
    order.deadline_ms = DEADLINE_MS;
    order
}

fn set_faults(targets: &[TargetStandIn], fault: TargetFault) {
    for target in targets {
        target.set_fault(fault);
    }
}

/// Returns the target that the router prefers, as its connection is open.
async fn preferred_target(bench: &GatewayBench) -> &TargetStandIn {
    assert_eq!(bench.router.call(&order("first")).await.status, 200);
    let served = |target: &&TargetStandIn| !target.runs().is_empty();
    bench.plain.iter().find(served).expect("a target")
}

/// Sends calls until one is rejected by a target with the fault and served by the other one in time;
/// returns the first of these targets.
///
/// A target whose first answer took long is less preferred than one without samples, so that a call may
/// miss the fault; the fault is then moved to the target that served it.
async fn meet_fault(bench: &GatewayBench, fault: TargetFault) -> &TargetStandIn {
    let mut preferred = preferred_target(bench).await;
    for number in 0..10 {
        preferred.set_fault(fault);
        let call = order(&format!("rejected-{number}"));
        let (reply, elapsed, _) = timed_call(bench, &call).await;
        assert_eq!(reply.status, 200, "{fault:?} after {elapsed:?}: {reply:?}");
        assert!(elapsed < PROMPT, "{fault:?} took {elapsed:?}");
        if preferred.runs().last().is_some_and(|run| !run.is_run) {
            return preferred;
        }
        preferred.set_fault(TargetFault::None);
        let served = |target: &&TargetStandIn| target.name() == reply.body;
        preferred = bench.plain.iter().find(served).expect("a target");
    }
    panic!("{fault:?} was not met");
}

/// Returns the reply to a call, the time that it took and the router's processor time meanwhile.
async fn timed_call(bench: &GatewayBench, request: &CallRequest) -> (CallReply, Duration, u64) {
    let (begun, before) = (Instant::now(), bench.router.processor_ms());
    let reply = bench.router.call(request).await;
    let spent_ms = bench.router.processor_ms() - before;
    (reply, begun.elapsed(), spent_ms)
}

/// Waits until the router has closed all connections on which targets send without end.
async fn wait_closed(targets: &[TargetStandIn]) {
    wait_for("closed connections", || async {
        let mut runs = targets.iter().flat_map(TargetStandIn::runs);
        runs.all(|run| run.is_cancelled)
    })
    .await;
}

// Fails if a target that sends a part of a head without end holds its call until the deadline, or the
// router's processor meanwhile.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_heads_end_calls_soon() {
    for part in [
        EndlessPart::Interim,
        EndlessPart::HeadLines,
        EndlessPart::HeadLine,
    ] {
        let bench = GatewayBench::start(&draft(1, AMPLE)).await;
        set_faults(&bench.plain, flood(part));
        let (reply, elapsed, spent_ms) = timed_call(&bench, &order("endless")).await;
        assert_eq!(
            reply.status, 502,
            "{part:?} after {elapsed:?}, {spent_ms} ms"
        );
        assert!(elapsed < PROMPT, "{part:?} took {elapsed:?}");
        assert!(
            spent_ms < CALL_PROCESSOR_MS,
            "{part:?} used {spent_ms} ms of processor time"
        );
        assert_eq!(GatewayBench::run_count(&bench.plain), 1);
        wait_closed(&bench.plain).await;
    }
}

// Fails if a target that sends interim responses without end makes calls late that other targets can
// serve, or takes the processor from them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_interims_leave_other_calls_in_time() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    set_faults(&bench.plain[..1], flood(EndlessPart::Interim));
    set_faults(&bench.engines[..1], flood(EndlessPart::Interim));
    let before = bench.router.processor_ms();
    let address = bench.router.address;
    let calls = (0..40).map(|number| async move {
        let (line, tokens) = match number % 2 {
            0 => ("GET /get/1", None),
            _ => ("POST /stream/on/1", Some((20, 20))),
        };
        let mut request = request(line, &format!("call-{number}"));
        request.tokens = tokens;
        let begun = Instant::now();
        let reply = call(address, &request).await.expect("an answer");
        (reply, begun.elapsed())
    });
    for (reply, elapsed) in join_all(calls).await {
        assert!(reply.status == 200 && reply.is_complete, "{reply:?}");
        assert!(elapsed < 2 * PROMPT, "took {elapsed:?}");
    }
    let spent_ms = bench.router.processor_ms() - before;
    assert!(spent_ms < 1_500, "{spent_ms} ms of processor time");
    wait_closed(&bench.plain[..1]).await;
    wait_closed(&bench.engines[..1]).await;
}

// Fails if chunk extensions or trailers without end hold a call until its deadline.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_framing_ends_calls_soon() {
    for part in [EndlessPart::ChunkExtension, EndlessPart::Trailers] {
        let bench = GatewayBench::start(&draft(1, AMPLE)).await;
        set_faults(&bench.plain, flood(part));
        let (reply, elapsed, spent_ms) = timed_call(&bench, &order("endless")).await;
        assert_eq!(reply.status, 502, "{part:?} after {elapsed:?}");
        assert!(elapsed < PROMPT, "{part:?} took {elapsed:?}");
        assert!(
            spent_ms < CALL_PROCESSOR_MS,
            "{part:?} used {spent_ms} ms of processor time"
        );
        wait_closed(&bench.plain).await;
    }
}

// Fails if a call waits for the body of a response whose head says that it did not run, although another
// target may have it at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_rejections_send_calls_elsewhere_at_once() {
    for fault in [
        flood(EndlessPart::Rejection),
        trickle(EndlessPart::Rejection),
    ] {
        let bench = GatewayBench::start(&draft(1, AMPLE)).await;
        let preferred = meet_fault(&bench, fault).await;
        wait_for("a closed connection", || async {
            preferred.runs().last().is_some_and(|run| run.is_cancelled)
        })
        .await;
    }
}

// Fails if a call that no target runs is refused only at its deadline, or as one that may have run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_rejections_of_all_targets_are_not_run() {
    for fault in [
        flood(EndlessPart::Rejection),
        trickle(EndlessPart::Rejection),
    ] {
        let bench = GatewayBench::start(&draft(1, AMPLE)).await;
        set_faults(&bench.plain, fault);
        let (reply, elapsed, spent_ms) = timed_call(&bench, &order("rejected")).await;
        assert_eq!(reply.status, 503, "{fault:?} after {elapsed:?}: {reply:?}");
        assert!(elapsed < PROMPT, "{fault:?} took {elapsed:?}");
        assert!(spent_ms < CALL_PROCESSOR_MS, "{fault:?} used {spent_ms} ms");
        wait_closed(&bench.plain).await;
    }
}

// Fails if a call waits for the body of a response that it cannot forward, as its head lacks the target's
// signature.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_unsealed_bodies_end_calls_at_once() {
    for fault in [
        flood(EndlessPart::UnsealedBody),
        trickle(EndlessPart::UnsealedBody),
    ] {
        let bench = GatewayBench::start(&draft(1, AMPLE)).await;
        set_faults(&bench.plain, fault);
        let (reply, elapsed, spent_ms) = timed_call(&bench, &order("unsealed")).await;
        assert_eq!(reply.status, 502, "{fault:?} after {elapsed:?}: {reply:?}");
        assert!(elapsed < PROMPT, "{fault:?} took {elapsed:?}");
        assert!(spent_ms < CALL_PROCESSOR_MS, "{fault:?} used {spent_ms} ms");
        wait_closed(&bench.plain).await;
    }
}

/// A deadline that a loaded test machine does not reach, in milliseconds.
const LONG_MS: u64 = 20_000;

/// Memory of a small host, in mebibytes.
const HOST_MEMORY_MB: u64 = 110;

/// Returns a configuration with an idempotent route to each service.
fn two_services() -> ConfigDraft {
    let mut draft = draft(1, AMPLE);
    let other = RouteDraft::new("other", "/other/", DraftKind::Idempotent, "engine");
    draft.routes.push(other);
    draft
}

// Fails if a service whose responses have no end takes the memory of the host, or that which responses
// of other services need.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_bodies_leave_memory_for_others() {
    let bench = GatewayBench::start(&two_services()).await;
    set_faults(&bench.plain, trickle(EndlessPart::Body));
    let address = bench.router.address;
    let orders = (0..60).map(|number| async move {
        let order = order(&format!("order-{number}"));
        call(address, &order).await.expect("an answer").status
    });
    let orders = tokio::spawn(join_all(orders));
    sleep(Duration::from_millis(800)).await;
    for engine in &bench.engines {
        engine.set_body_bytes(2_000_000);
    }
    for number in 0..10 {
        let large = request("GET /other/1", &format!("large-{number}"));
        let reply = bench.router.call(&large).await;
        assert_eq!((reply.status, reply.body.len()), (200, 2_000_000));
        sleep(Duration::from_millis(100)).await;
    }
    for status in orders.await.expect("statuses") {
        assert!(matches!(status, 502 | 504), "status {status}");
    }
    let peak_mb = bench.router.peak_memory_mb();
    assert!(peak_mb < HOST_MEMORY_MB, "{peak_mb} MiB");
    wait_closed(&bench.plain).await;
}

// Fails if the bound on memory takes responses that a router alone can hold, or cuts one while it is sent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_bodies_pass_whole() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    for body_bytes in [0, 1, 5_000, 70_000, 8_000_000] {
        set_body_bytes(&bench.plain, body_bytes);
        for number in 0..4 {
            let id = format!("whole-{body_bytes}-{number}");
            let reply = bench.router.call(&request("GET /get/1", &id)).await;
            assert!(reply.status == 200 && reply.is_complete, "{body_bytes}");
            assert_eq!(reply.body, "b".repeat(body_bytes));
        }
    }
}

fn set_body_bytes(targets: &[TargetStandIn], body_bytes: usize) {
    for target in targets {
        target.set_body_bytes(body_bytes);
    }
}

// Fails if a body without end in chunks of one byte takes the processor for as long as its call lasts.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_small_chunks_end_calls_soon() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    set_faults(&bench.plain, flood(EndlessPart::SmallChunks));
    let (reply, elapsed, spent_ms) = timed_call(&bench, &order("small-chunks")).await;
    assert_eq!(reply.status, 502, "after {elapsed:?}, {spent_ms} ms");
    assert!(elapsed < PROMPT, "took {elapsed:?}");
    assert!(spent_ms < CALL_PROCESSOR_MS, "used {spent_ms} ms");
    wait_closed(&bench.plain).await;
}

// Fails if callers that send large bodies at the same time take the memory of the host, or if one that is
// refused for it may have run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_requests_of_many_callers_leave_memory() {
    let mut draft = draft(1, AMPLE);
    draft.limits.body_bytes = 8_000_000;
    for route in &mut draft.routes {
        route.timeout_ms = LONG_MS;
    }
    let bench = GatewayBench::start(&draft).await;
    for target in &bench.plain {
        target.set_response_delay(Duration::from_millis(1_500));
    }
    let address = bench.router.address;
    let orders = (0..40).map(|number| async move {
        let mut order = order(&format!("large-order-{number}"));
        order.deadline_ms = LONG_MS;
        order.body = vec![b'b'; 4_000_000];
        call(address, &order).await.map(|reply| reply.status)
    });
    let statuses = join_all(orders).await;
    let peak_mb = bench.router.peak_memory_mb();
    assert!(peak_mb < HOST_MEMORY_MB, "{peak_mb} MiB, {statuses:?}");
    let count = |wanted| {
        statuses
            .iter()
            .flatten()
            .filter(|status| **status == wanted)
            .count()
    };
    assert_eq!(count(200) + count(503), 40, "{statuses:?}");
    assert!(count(200) > 0 && count(503) > 0, "{statuses:?}");
    assert_eq!(GatewayBench::run_count(&bench.plain), count(200));
    let small = bench.router.call(&order("small")).await;
    assert_eq!(small.status, 200, "{small:?}");
}

fn stream(line: &str, id: &str) -> CallRequest {
    let mut stream = request(line, id);
    stream.tokens = Some((20, 20));
    stream
}

async fn bounded_call(bench: &GatewayBench, request: &CallRequest) -> (CallReply, Duration, u64) {
    let calling = timed_call(bench, request);
    let called = timeout(Duration::from_secs(8), calling).await;
    called.expect("an end after the deadline")
}

// Fails if bytes without end that never complete an event hold a stream beyond its deadline, or the
// router's processor.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_event_bytes_end_streams_soon() {
    for part in [EndlessPart::EventBytes, EndlessPart::EventLines] {
        let bench = GatewayBench::start(&draft(1, AMPLE)).await;
        set_faults(&bench.engines, flood(part));
        let single = stream("POST /stream/once/1", "single");
        let (reply, elapsed, spent_ms) = bounded_call(&bench, &single).await;
        assert!(
            !reply.is_complete && reply.body.is_empty(),
            "{part:?}: {reply:?}"
        );
        assert!(elapsed < PROMPT, "{part:?} took {elapsed:?}, {spent_ms} ms");
        assert!(spent_ms < CALL_PROCESSOR_MS, "{part:?} used {spent_ms} ms");
        wait_closed(&bench.engines).await;
    }
}
