//! Tests of streams through a gateway.

mod gateway_support;

use std::time::{Duration, Instant};

use beechsaddle_platform_stand_in::{CallRequest, StreamFraming, TargetFault, TargetStandIn};
use gateway_support::{GatewayBench, draft, request, wait_for};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

const AMPLE: u64 = 1_000_000;

fn stream_request(path: &str, id: &str) -> CallRequest {
    let mut call = request(&format!("POST {path}"), id);
    call.tokens = Some((100, 60));
    call
}

fn event_ids(body: &str) -> Vec<u64> {
    let ids = body.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.filter_map(|id| id.parse().ok()).collect()
}

fn set_events(targets: &[TargetStandIn], events: u64, gap_ms: u64) {
    let gap = Duration::from_millis(gap_ms);
    targets
        .iter()
        .for_each(|target| target.set_events(events, gap));
}

#[tokio::test]
async fn stream_passes_whole() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    let reply = bench
        .router
        .call(&stream_request("/stream/once/1", "call-1"))
        .await;
    assert_eq!(reply.status, 200);
    assert!(reply.is_complete);
    assert_eq!(event_ids(&reply.body), [1, 2, 3]);
}

/// No event is lost or sent twice: each target disconnects after two events, in the middle of the
/// third. The next target resumes after the last complete event, within the same response.
#[tokio::test]
async fn resumable_cut_goes_on_in_the_same_answer() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    set_events(&bench.engines, 6, 5);
    for target in &bench.engines {
        target.set_fault(TargetFault::TruncatedStream(2));
    }
    let reply = bench
        .router
        .call(&stream_request("/stream/on/1", "call-1"))
        .await;
    assert_eq!(event_ids(&reply.body), [1, 2, 3, 4]);
    assert!(!reply.is_complete, "the second target broke off as well");
    let runs: Vec<_> = bench.engines.iter().flat_map(TargetStandIn::runs).collect();
    let resumed = runs
        .iter()
        .filter(|run| run.headers.contains_key("last-event-id"));
    let events: Vec<_> = resumed
        .map(|run| run.headers["last-event-id"].clone())
        .collect();
    assert_eq!(events, ["2"]);
}

#[tokio::test]
async fn resumable_cut_once_ends_whole() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    set_events(&bench.engines, 5, 5);
    bench.engines[0].set_fault(TargetFault::TruncatedStream(2));
    for number in 0..6 {
        let call = stream_request("/stream/on/1", &format!("call-{number}"));
        let reply = bench.router.call(&call).await;
        assert!(reply.is_complete);
        assert_eq!(event_ids(&reply.body), [1, 2, 3, 4, 5]);
    }
}

fn end_with_connection(targets: &[TargetStandIn]) {
    for target in targets {
        target.set_framing(StreamFraming::Connection);
    }
}

#[tokio::test]
async fn unframed_stream_passes_whole() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    end_with_connection(&bench.engines);
    let call = stream_request("/stream/once/1", "call-1");
    let reply = bench.router.call(&call).await;
    assert_eq!(reply.status, 200);
    assert!(reply.is_complete);
    assert_eq!(event_ids(&reply.body), [1, 2, 3]);
}

/// A stream without a length or chunks that ends inside an event must not look complete.
#[tokio::test]
async fn unframed_stream_cut_inside_an_event_is_not_complete() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    end_with_connection(&bench.engines);
    for target in &bench.engines {
        target.set_fault(TargetFault::TruncatedStream(1));
    }
    let call = stream_request("/stream/once/1", "call-1");
    let reply = bench.router.call(&call).await;
    assert!(!reply.is_complete);
    assert_eq!(event_ids(&reply.body), [1]);
    assert!(!reply.body.contains("id: 2"), "{}", reply.body);
    assert_eq!(GatewayBench::run_count(&bench.engines), 1);
    let ends = "stream_ends_total{framing=\"connection\",what=\"inside_event\",way=\"direct\"}";
    assert_eq!(bench.router.metric(ends).await, Some(1.0));
}

/// A stream without a length or chunks whose connection is reset after an event must not look complete.
#[tokio::test]
async fn unframed_stream_reset_after_an_event_is_not_complete() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    set_events(&bench.engines, 3, 50);
    end_with_connection(&bench.engines);
    for target in &bench.engines {
        target.set_fault(TargetFault::ResetStream(1));
    }
    let call = stream_request("/stream/once/1", "call-1");
    let reply = bench.router.call(&call).await;
    assert!(!reply.is_complete);
    assert_eq!(event_ids(&reply.body), [1]);
}

/// A crash before the first event of a stream without a length or chunks must not look like a complete
/// stream.
#[tokio::test]
async fn unframed_stream_cut_before_its_first_event_is_not_complete() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    end_with_connection(&bench.engines);
    for target in &bench.engines {
        target.crash_on(b"crash");
    }
    let mut call = stream_request("/stream/once/1", "call-1");
    call.body = b"crash".to_vec();
    let reply = bench.router.call(&call).await;
    assert!(!reply.is_complete);
    assert_eq!(reply.body, "");
}

/// A resumable stream without a length or chunks that ends inside an event continues at another target, and
/// no event is lost or sent twice.
#[tokio::test]
async fn unframed_resumable_cut_continues_in_the_same_response() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    set_events(&bench.engines, 5, 5);
    end_with_connection(&bench.engines);
    bench.engines[0].set_fault(TargetFault::TruncatedStream(2));
    for number in 0..6 {
        let call = stream_request("/stream/on/1", &format!("call-{number}"));
        let reply = bench.router.call(&call).await;
        assert!(reply.is_complete);
        assert_eq!(event_ids(&reply.body), [1, 2, 3, 4, 5]);
    }
}

/// A caller that resumes a stream gets only the events it does not have. It names no stream, so that a
/// router which has just started refuses it as not run.
#[tokio::test]
async fn resume_by_the_caller_is_passed_on() {
    let mut draft = draft(1, AMPLE);
    let routes = draft.routes.iter_mut();
    let streams = routes.filter(|route| route.is_resumable);
    streams.for_each(|route| route.timeout_ms = 1_000);
    let bench = GatewayBench::start(&draft).await;
    let mut call = stream_request("/stream/on/1", "call-1");
    call.extra_headers = vec!["Last-Event-Id: 1".to_owned()];
    let mut reply = bench.router.call(&call).await;
    let until = Instant::now() + Duration::from_secs(4);
    while reply.status == 503 && Instant::now() < until {
        assert_eq!(GatewayBench::arrival_count(&bench.engines), 0);
        sleep(Duration::from_millis(50)).await;
        reply = bench.router.call(&call).await;
    }
    assert_eq!(event_ids(&reply.body), [2, 3]);
}

/// A non-repeatable stream is cut. The caller can tell that it is truncated, as the connection
/// closes without the end of the response, and no other target receives the call.
#[tokio::test]
async fn non_repeatable_cut_ends_visibly_broken() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    for target in &bench.engines {
        target.set_fault(TargetFault::TruncatedStream(1));
    }
    let reply = bench
        .router
        .call(&stream_request("/stream/once/1", "call-1"))
        .await;
    assert!(!reply.is_complete);
    assert_eq!(event_ids(&reply.body), [1]);
    assert_eq!(GatewayBench::run_count(&bench.engines), 1);
}

/// A dead target accepts a stream and sends nothing for this call or any other. The stream is
/// restarted at another target, although the dead target never closed its connection.
#[tokio::test]
async fn resumable_silent_target_is_given_up() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    bench.engines[0].set_fault(TargetFault::Silent);
    for number in 0..4 {
        let call = stream_request("/stream/on/1", &format!("call-{number}"));
        let reply = bench.router.call(&call).await;
        assert!(reply.is_complete);
        assert_eq!(event_ids(&reply.body), [1, 2, 3]);
    }
}

/// A stream ends at its route's timeout, and so does the target's work on it.
#[tokio::test]
async fn route_timeout_ends_the_stream() {
    let mut config = draft(1, AMPLE);
    for route in &mut config.routes {
        route.timeout_ms = 700;
    }
    let bench = GatewayBench::start(&config).await;
    set_events(&bench.engines, 1_000, 20);
    let started = Instant::now();
    let reply = bench
        .router
        .call(&stream_request("/stream/once/1", "call-1"))
        .await;
    let waited = started.elapsed();
    assert!(!reply.is_complete);
    assert!(waited < Duration::from_millis(1_200), "{waited:?}");
    wait_for("an end of the work", || async {
        let mut runs = bench.engines.iter().flat_map(TargetStandIn::runs);
        runs.any(|run| run.is_cancelled)
    })
    .await;
}

/// Events are not buffered: the first one must reach the caller long before the last one is
/// generated.
#[tokio::test]
async fn events_are_forwarded_as_they_arrive() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    set_events(&bench.engines, 4, 300);
    let call = stream_request("/stream/once/1", "call-1");
    let mut stream = TcpStream::connect(bench.router.address)
        .await
        .expect("a connection");
    stream.write_all(&call.bytes()).await.expect("a call");
    let started = Instant::now();
    let mut text = String::new();
    let mut buffer = [0_u8; 4_096];
    while !text.contains("piece 1") {
        let count = stream.read(&mut buffer).await.expect("some bytes");
        assert_ne!(count, 0, "the answer ended early");
        text.push_str(&String::from_utf8_lossy(&buffer[..count]));
    }
    assert!(started.elapsed() < Duration::from_millis(600));
    assert!(!text.contains("piece 2"));
}
