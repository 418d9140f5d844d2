//! Tests of responses that pass through another router, and of how they end.

mod gateway_support;
mod partition_support;
mod path_support;

use std::io::ErrorKind;
use std::time::Duration;

use beechsaddle_platform_stand_in::{
    CallReply, StreamFraming, TargetFault, TargetStandIn, call as call_router,
};
use beechsaddle_wire::lending_capnp::TunnelOutcome;
use gateway_support::{GatewayBench, GatewayProcess, wait_for};
use nix::sys::signal::Signal;
use partition_support::{PartitionBench, token_request};
use path_support::PathMode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;

const STREAMS: u64 = 8;
const EVENTS: u64 = 40;

/// The gap before each event: a stream takes two seconds.
const GAP: Duration = Duration::from_millis(50);

/// When the carrier ends, after the first of the streams.
const END_AFTER: Duration = Duration::from_millis(900);

/// The longest pause of a stream that goes on through another router, in milliseconds.
const RESUME_LIMIT_MS: u64 = 1_000;

/// The routers and targets of one test. The router in `partition.bench` carries the tunnels.
struct TunnelBench {
    partition: PartitionBench,
}

impl TunnelBench {
    /// Starts a router that is partitioned from all targets, and another one.
    async fn start(framing: StreamFraming) -> Self {
        let partition = PartitionBench::start().await;
        partition.cut(PathMode::Refusing).await;
        let bench = TunnelBench { partition };
        for target in bench.targets() {
            target.set_framing(framing);
        }
        bench
    }

    fn targets(&self) -> impl Iterator<Item = &TargetStandIn> {
        let bench = &self.partition.bench;
        bench.plain.iter().chain(&bench.engines)
    }

    fn set_events(&self, events: u64, gap: Duration) {
        self.targets()
            .for_each(|target| target.set_events(events, gap));
    }

    /// Starts streams by way of the carrier.
    async fn start_streams(&self, line: &str) -> JoinSet<CallReply> {
        let engines = &self.partition.bench.engines;
        let before = GatewayBench::arrival_count(engines);
        let mut streams = JoinSet::new();
        for number in 0..STREAMS {
            let mut call = token_request(line, &format!("long-{number}"));
            call.deadline_ms = 12_000;
            let address = self.partition.router.address;
            streams.spawn(async move { call_router(address, &call).await.expect("an answer") });
        }
        wait_for("arrivals", || async {
            GatewayBench::arrival_count(engines) >= before + STREAMS as usize
        })
        .await;
        streams
    }

    fn carrier(&self) -> &GatewayProcess {
        &self.partition.bench.router
    }
}

fn event_count(reply: &CallReply) -> u64 {
    let ids = reply.body.lines().filter(|line| line.starts_with("id: "));
    ids.count() as u64
}

/// Returns the replies that look complete without being so.
fn short_ones(replies: &[CallReply], events: u64) -> Vec<String> {
    let short = replies
        .iter()
        .filter(|reply| reply.is_complete && event_count(reply) < events);
    short
        .map(|reply| format!("status {}, {} events", reply.status, event_count(reply)))
        .collect()
}

/// Streams without a length ended as complete in their middle: the router that carried them was killed.
#[tokio::test]
async fn killed_carrier_ends_no_stream_as_complete() {
    let bench = TunnelBench::start(StreamFraming::Connection).await;
    bench.set_events(EVENTS, GAP);
    let streams = bench.start_streams("POST /stream/once/1").await;
    sleep(END_AFTER).await;
    bench.carrier().signal(Signal::SIGKILL);
    let replies = streams.join_all().await;
    assert!(replies.iter().all(|reply| event_count(reply) > 0));
    assert_eq!(short_ones(&replies, EVENTS), [""; 0]);
}

/// Streams that may be resumed ended as complete and did not go on elsewhere: the router that carried them was killed.
#[tokio::test]
async fn stream_of_killed_carrier_goes_on_elsewhere() {
    let bench = TunnelBench::start(StreamFraming::Connection).await;
    bench.set_events(EVENTS, GAP);
    let streams = bench.start_streams("POST /stream/on/1").await;
    bench.partition.view.set_mode(PathMode::Open);
    let router = &bench.partition.router;
    wait_for("an open path", || async {
        router.metric("path_lost").await == Some(0.0)
    })
    .await;
    bench.carrier().signal(Signal::SIGKILL);
    let replies = streams.join_all().await;
    assert_eq!(short_ones(&replies, EVENTS), [""; 0]);
    assert!(replies.iter().all(|reply| reply.is_complete));
}

/// Streams without a length ended as complete in their middle: the router that carried them stood still and was killed.
#[tokio::test]
async fn carrier_killed_after_a_pause_ends_no_stream_as_complete() {
    let bench = TunnelBench::start(StreamFraming::Connection).await;
    bench.set_events(EVENTS, GAP);
    let streams = bench.start_streams("POST /stream/once/1").await;
    sleep(END_AFTER).await;
    bench.carrier().signal(Signal::SIGSTOP);
    sleep(Duration::from_millis(2_500)).await;
    bench.carrier().signal(Signal::SIGKILL);
    let replies = streams.join_all().await;
    assert!(replies.iter().all(|reply| event_count(reply) > 0));
    assert_eq!(short_ones(&replies, EVENTS), [""; 0]);
}

/// Streams without a length ended as complete in their middle: they outlasted the grace period of the router that carried them.
#[tokio::test]
async fn carrier_at_the_end_of_its_grace_ends_no_stream_as_complete() {
    let mut bench = TunnelBench::start(StreamFraming::Connection).await;
    let carrier = bench.carrier();
    carrier.edit_settings("grace_s = 6", "grace_s = 2");
    carrier.signal(Signal::SIGHUP);
    carrier.wait_log(&["settings_reloaded"]).await;
    let events = 80;
    bench.set_events(events, GAP);
    let streams = bench.start_streams("POST /stream/once/1").await;
    bench.carrier().signal(Signal::SIGTERM);
    let replies = streams.join_all().await;
    assert!(replies.iter().all(|reply| event_count(reply) > 0));
    assert_eq!(short_ones(&replies, events), [""; 0]);
    assert_eq!(bench.partition.bench.router.wait_end().await, Some(0));
}

/// Streams ended as complete in their middle: their own router stood still while the one that carried them was killed.
#[tokio::test]
async fn carrier_killed_while_its_user_stands_still_ends_no_stream_as_complete() {
    let bench = TunnelBench::start(StreamFraming::Connection).await;
    bench.set_events(EVENTS, GAP);
    let streams = bench.start_streams("POST /stream/once/1").await;
    sleep(END_AFTER).await;
    bench.partition.router.signal(Signal::SIGSTOP);
    sleep(Duration::from_millis(300)).await;
    bench.carrier().signal(Signal::SIGKILL);
    sleep(Duration::from_millis(300)).await;
    bench.partition.router.signal(Signal::SIGCONT);
    let replies = streams.join_all().await;
    assert!(replies.iter().all(|reply| event_count(reply) > 0));
    assert_eq!(short_ones(&replies, EVENTS), [""; 0]);
}

/// An answer ended as complete in its middle: its caller did not read, so that all buffers on the way were full as the carrier was killed.
#[tokio::test]
async fn carrier_killed_behind_full_buffers_ends_no_stream_as_complete() {
    let bench = TunnelBench::start(StreamFraming::Connection).await;
    let (events, event_bytes) = (200, 400_000);
    bench.set_events(events, Duration::from_millis(1));
    bench
        .targets()
        .for_each(|target| target.set_event_bytes(event_bytes));
    let address = bench.partition.router.address;
    let mut caller = TcpStream::connect(address).await.expect("a connection");
    let call = token_request("POST /stream/once/1", "unread");
    caller.write_all(&call.bytes()).await.expect("a request");
    let carrier = bench.carrier();
    wait_for("a tunnel", || async {
        carrier.metric("tunnels_carried").await >= Some(1.0)
    })
    .await;
    sleep(END_AFTER).await;
    carrier.signal(Signal::SIGKILL);
    sleep(Duration::from_millis(300)).await;
    let mut answer = Vec::new();
    // The caller may also see a reset.
    let _ = caller.read_to_end(&mut answer).await;
    assert!(answer.len() < events as usize * event_bytes);
    assert!(!answer.ends_with(b"\r\n0\r\n\r\n"), "a last chunk");
}

/// Streams that may be resumed broke off with their carrier although a third router reached the targets, or waited for it.
#[tokio::test]
async fn streams_of_killed_carrier_go_on_through_a_third_router() {
    let bench = TunnelBench::start(StreamFraming::Connection).await;
    let store = bench.partition.bench.store.address();
    let third = GatewayProcess::start(store, "host-3", "north");
    third.wait_ready().await;
    let router = &bench.partition.router;
    for router in [router, &third] {
        router.wait_log(&["routers_listed", "routers=3"]).await;
    }
    bench.set_events(EVENTS, GAP);
    let streams = bench.start_streams("POST /stream/on/1").await;
    sleep(END_AFTER).await;
    bench.carrier().signal(Signal::SIGKILL);
    let replies = streams.join_all().await;
    assert!(replies.iter().all(|reply| reply.is_complete));
    assert!(replies.iter().all(|reply| event_count(reply) == EVENTS));
    let resumed = router.log_lines(&["event=stream_resumed"]).len();
    assert!(resumed > 0, "no stream went by way of the killed router");
    for line in router.log_lines(&["event=call ", "long-"]) {
        let pause = line.split("pause_ms=").nth(1).expect("a pause");
        let pause = pause.split(' ').next().expect("a number");
        let pause_ms: u64 = pause.parse().expect("a number");
        assert!(pause_ms < RESUME_LIMIT_MS, "{line}");
    }
}

/// Streams through another router were taken for cut ones: it stood still and went on.
#[tokio::test]
async fn carrier_that_goes_on_after_a_pause_cuts_nothing() {
    let bench = TunnelBench::start(StreamFraming::Connection).await;
    bench.set_events(EVENTS, GAP);
    let streams = bench.start_streams("POST /stream/once/1").await;
    sleep(END_AFTER).await;
    bench.carrier().signal(Signal::SIGSTOP);
    sleep(Duration::from_millis(500)).await;
    bench.carrier().signal(Signal::SIGCONT);
    let replies = streams.join_all().await;
    assert!(replies.iter().all(|reply| reply.is_complete));
    assert!(replies.iter().all(|reply| event_count(reply) == EVENTS));
}

/// A router of an earlier version, which reads bare bytes, took the end of a killed carrier for that of the stream.
#[tokio::test]
async fn killed_carrier_resets_tunnels_without_frames() {
    let bench = TunnelBench::start(StreamFraming::Connection).await;
    bench.set_events(EVENTS, GAP);
    let secret = bench.partition.secret();
    let opened = bench.partition.open_bare_tunnel(&secret, "engine-1").await;
    let (outcome, mut tunnel) = opened.expect("a reply");
    assert_eq!(outcome, TunnelOutcome::Opened);
    let call = token_request("POST /stream/once/1", "bare");
    tunnel.write_all(&call.bytes()).await.expect("a request");
    let mut received = vec![0; 4_096];
    while !String::from_utf8_lossy(&received).contains("piece 3") {
        let count = tunnel.read(&mut received).await.expect("a part");
        assert!(count > 0, "the tunnel ended");
    }
    bench.carrier().signal(Signal::SIGKILL);
    let end = tunnel.read_to_end(&mut received).await;
    let end = end.expect_err("a regular end");
    assert_eq!(end.kind(), ErrorKind::ConnectionReset);
}

/// A plain answer without a length reached its caller in part: the router that carried it was killed.
#[tokio::test]
async fn plain_answer_of_killed_carrier_is_not_cut() {
    let bench = TunnelBench::start(StreamFraming::Connection).await;
    bench.set_events(1, Duration::from_millis(600));
    let plain = &bench.partition.bench.plain;
    plain.iter().for_each(|target| target.set_body_bytes(800));
    let before = GatewayBench::arrival_count(plain);
    let address = bench.partition.router.address;
    let answer = tokio::spawn(async move {
        let call = token_request("POST /order/1", "cut");
        call_router(address, &call).await.expect("an answer")
    });
    wait_for("an arrival", || async {
        GatewayBench::arrival_count(plain) > before
    })
    .await;
    sleep(Duration::from_millis(250)).await;
    bench.carrier().signal(Signal::SIGKILL);
    let reply = answer.await.expect("no panic");
    assert_eq!(reply.status, 502, "{} bytes", reply.body.len());
}

/// Answers without a length through another router lost their end, or were taken for cut ones.
#[tokio::test]
async fn answers_without_a_length_pass_whole() {
    let bench = TunnelBench::start(StreamFraming::Connection).await;
    bench.set_events(5, Duration::from_millis(20));
    let streams = bench.start_streams("POST /stream/once/1").await;
    let replies = streams.join_all().await;
    assert!(replies.iter().all(|reply| reply.is_complete));
    assert!(replies.iter().all(|reply| event_count(reply) == 5));
    let plain = &bench.partition.bench.plain;
    plain
        .iter()
        .for_each(|target| target.set_body_bytes(200_000));
    let call = token_request("POST /order/1", "whole");
    let reply = bench.partition.router.call(&call).await;
    assert_eq!((reply.status, reply.body.len()), (200, 200_000));
}

/// An answer whose head was cut reached its caller as a success, directly or through another router.
#[tokio::test]
async fn answer_with_a_cut_head_is_no_success() {
    let bench = TunnelBench::start(StreamFraming::Connection).await;
    for target in bench.targets() {
        target.set_fault(TargetFault::TruncatedHead);
    }
    for router in [&bench.partition.router, bench.carrier()] {
        for (line, status) in [
            ("GET /get/1", 502),
            ("POST /order/1", 502),
            ("POST /stream/on/1", 502),
            ("POST /stream/once/1", 502),
        ] {
            let reply = router.call(&token_request(line, "cut-head")).await;
            assert_eq!(reply.status, status, "{line}: {reply:?}");
        }
    }
}

/// A second answer through another router was appended to the first one, or given to another caller.
#[tokio::test]
async fn second_answer_reaches_no_caller() {
    let bench = TunnelBench::start(StreamFraming::Chunked).await;
    for target in bench.targets() {
        target.set_fault(TargetFault::SurplusResponse);
    }
    for round in 0..5 {
        for line in ["GET /get/1", "POST /order/1", "POST /stream/once/1"] {
            let call = token_request(line, &format!("second-{round}"));
            let reply = bench.partition.router.call(&call).await;
            assert_eq!(reply.status, 200, "{line}: {reply:?}");
            assert!(!reply.body.contains("once more"), "{line}: {reply:?}");
        }
    }
}
