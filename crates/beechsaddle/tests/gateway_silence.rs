//! Tests of sound targets that fall silent and go on, through a gateway.

mod gateway_support;

use std::time::{Duration, Instant};

use beechsaddle_platform_stand_in::{
    CallReply, CallRequest, EntryState, StreamPause, TargetFault, TargetStandIn, call,
};
use futures::future::join_all;
use gateway_support::{GatewayBench, draft, request, wait_for};
use nix::sys::signal::Signal;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::sleep;

const AMPLE: u64 = 1_000_000;

/// A silence of a sound target that is longer than any that routers wait out without looking for
/// another target.
const SILENCE: Duration = Duration::from_millis(1_700);

/// A silence that lasts longer than any test.
const ENDLESS: Duration = Duration::from_secs(30);

/// Prompt tokens of each stream.
const PROMPT_TOKENS: u64 = 100;

/// Events of each stream.
const EVENTS: [u64; 6] = [1, 2, 3, 4, 5, 6];

/// The longest time in which two targets may work on one stream.
const OVERLAP_MAX: Duration = Duration::from_millis(400);

/// Starts a bench whose second engine is not listed yet, so that all streams begin at the first one.
async fn start_with_one_engine() -> GatewayBench {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    let second = &bench.engines[1];
    bench.store.remove_target(second.name());
    bench.router.wait_log(&["target_gone", second.name()]).await;
    for engine in &bench.engines {
        engine.set_events(EVENTS.len() as u64, Duration::from_millis(30));
    }
    bench
}

/// Lists the second engine and waits until the router knows it.
async fn join_second_engine(bench: &GatewayBench) {
    let second = &bench.engines[1];
    let joined = ["target_joined", second.name()];
    let before = bench.router.log_lines(&joined).len();
    bench
        .store
        .put_target(second, "engine", "north", EntryState::Ready);
    wait_for("second engine", || async {
        bench.router.log_lines(&joined).len() > before
    })
    .await;
}

fn pause_after(after_event: u64, length: Duration) -> Option<StreamPause> {
    Some(StreamPause {
        after_event,
        is_inside_event: false,
        length,
    })
}

fn stream_request(id: &str) -> CallRequest {
    let mut call = request("POST /stream/on/1", id);
    call.tokens = Some((PROMPT_TOKENS, 60));
    call
}

/// A reply and the time that it took.
type TimedReply = (CallReply, Duration);

fn send(bench: &GatewayBench, request: CallRequest) -> JoinHandle<TimedReply> {
    let address = bench.router.address;
    tokio::spawn(async move {
        let started = Instant::now();
        let reply = call(address, &request).await.expect("an answer");
        (reply, started.elapsed())
    })
}

/// Sends streams and waits until the first engine runs all of them.
async fn start_streams(bench: &GatewayBench, count: usize) -> Vec<JoinHandle<TimedReply>> {
    let requests = (1..=count).map(|number| stream_request(&format!("call-{number}")));
    let replies = requests.map(|request| send(bench, request)).collect();
    wait_for("runs at the first engine", || async {
        bench.engines[0].runs().len() == count
    })
    .await;
    replies
}

async fn finish(replies: Vec<JoinHandle<TimedReply>>) -> Vec<TimedReply> {
    let replies = join_all(replies).await;
    let replies = replies.into_iter();
    replies.map(|reply| reply.expect("a reply")).collect()
}

fn assert_whole(replies: &[TimedReply]) {
    for (number, (reply, waited)) in replies.iter().enumerate() {
        let ids = reply
            .body
            .lines()
            .filter_map(|line| line.strip_prefix("id: "));
        let ids: Vec<u64> = ids.filter_map(|id| id.parse().ok()).collect();
        assert_eq!(reply.status, 200, "stream {number}: {}", reply.body);
        assert!(
            reply.is_complete,
            "stream {number} broken off at {waited:?}, events {ids:?}"
        );
        assert_eq!(ids, EVENTS, "stream {number}");
        assert_eq!(reply.body.matches("data: piece").count(), EVENTS.len());
    }
}

fn assert_in_own_time(replies: &[TimedReply]) {
    for (number, (_, waited)) in replies.iter().enumerate() {
        assert!(
            *waited < Duration::from_millis(2_600),
            "stream {number} took {waited:?}"
        );
    }
}

fn is_cancelled(target: &TargetStandIn) -> bool {
    target.runs().iter().all(|run| run.is_cancelled)
}

/// Guards against breaking off a stream because its target is silent and no other target takes it.
#[tokio::test]
async fn silent_stream_second_rejects() {
    let bench = start_with_one_engine().await;
    bench.engines[0].set_pause(pause_after(3, SILENCE));
    bench.engines[1].set_fault(TargetFault::Full);
    let replies = start_streams(&bench, 6).await;
    join_second_engine(&bench).await;
    let replies = finish(replies).await;
    assert_whole(&replies);
    assert_in_own_time(&replies);
    assert_eq!(GatewayBench::run_count(&bench.engines), 6);
    let rejected = bench.engines[1].runs().len();
    assert!(
        rejected <= 6,
        "{rejected} arrivals at the engine that rejects"
    );
}

/// Guards against running a stream twice at the only target.
#[tokio::test]
async fn silent_stream_one_engine() {
    let bench = start_with_one_engine().await;
    bench.engines[0].set_pause(pause_after(3, SILENCE));
    let replies = start_streams(&bench, 1).await;
    let replies = finish(replies).await;
    assert_whole(&replies);
    assert_in_own_time(&replies);
    assert_eq!(GatewayBench::run_count(&bench.engines), 1);
}

/// Guards against losing the part of an event that was received before the silence.
#[tokio::test]
async fn silent_stream_inside_an_event() {
    let bench = start_with_one_engine().await;
    bench.engines[0].set_pause(Some(StreamPause {
        after_event: 3,
        is_inside_event: true,
        length: SILENCE,
    }));
    bench.engines[1].set_fault(TargetFault::Full);
    let replies = start_streams(&bench, 2).await;
    join_second_engine(&bench).await;
    let replies = finish(replies).await;
    assert_whole(&replies);
    assert_eq!(GatewayBench::run_count(&bench.engines), 2);
}

/// Starts a bench like [`start_with_one_engine`] whose route allows four attempts.
async fn start_with_four_attempts() -> GatewayBench {
    let bench = start_with_one_engine().await;
    let mut newer = draft(2, AMPLE);
    for route in &mut newer.routes {
        route.attempts = 4;
    }
    bench.store.put_config(&newer);
    let in_force = ["config_in_force", "version=2 "];
    bench.router.wait_log(&in_force).await;
    bench
}

/// Lists a third engine once the second one has rejected a stream.
async fn join_third_engine_after_rejection(bench: &GatewayBench) -> TargetStandIn {
    let rejected = ["attempt_ended", "end=not_run"];
    bench.router.wait_log(&rejected).await;
    let third = TargetStandIn::try_start("engine-3")
        .await
        .expect("a target");
    third.set_events(EVENTS.len() as u64, Duration::from_millis(30));
    bench
        .store
        .put_target(&third, "engine", "north", EntryState::Ready);
    third
}

/// Guards against waiting for a dead target until the deadline, because the only other one rejected
/// the stream when it was first tried.
#[tokio::test]
async fn silent_stream_third_takes_over_after_rejection() {
    let bench = start_with_four_attempts().await;
    bench.engines[0].set_pause(pause_after(3, ENDLESS));
    bench.engines[1].set_fault(TargetFault::Full);
    let replies = start_streams(&bench, 1).await;
    join_second_engine(&bench).await;
    let third = join_third_engine_after_rejection(&bench).await;
    let replies = finish(replies).await;
    assert_whole(&replies);
    assert_eq!(third.runs().len(), 1);
    assert_eq!(bench.engines[1].runs().len(), 1);
}

/// Guards against taking the data that a target sends for other calls for a sign of the one that is
/// silent, after it rejected the call.
#[tokio::test]
async fn silent_before_head_third_answers_while_second_streams() {
    let bench = start_with_four_attempts().await;
    let (first, second) = (&bench.engines[0], &bench.engines[1]);
    join_second_engine(&bench).await;
    bench.store.remove_target(first.name());
    bench.router.wait_log(&["target_gone", first.name()]).await;
    second.set_events(400, Duration::from_millis(30));
    let _other = send(&bench, stream_request("other"));
    wait_for("a run at the second engine", || async {
        second.runs().len() == 1
    })
    .await;
    second.set_fault(TargetFault::Full);
    bench.store.remove_target(second.name());
    bench.router.wait_log(&["target_gone", second.name()]).await;
    first.set_response_delay(ENDLESS);
    let joined = ["target_joined", first.name()];
    let before = bench.router.log_lines(&joined).len();
    bench
        .store
        .put_target(first, "engine", "north", EntryState::Ready);
    wait_for("first engine", || async {
        bench.router.log_lines(&joined).len() > before
    })
    .await;
    let reply = send(&bench, stream_request("call-1"));
    wait_for("a run at the first engine", || async {
        first.runs().len() == 1
    })
    .await;
    join_second_engine(&bench).await;
    let third = join_third_engine_after_rejection(&bench).await;
    let (reply, waited) = reply.await.expect("a reply");
    assert_eq!(reply.status, 200, "after {waited:?}");
    assert!(waited < Duration::from_secs(4), "{waited:?}");
    assert_eq!(third.runs().len(), 1);
}

/// Guards against two targets at work on one stream, and against events of both.
#[tokio::test]
async fn silent_stream_second_takes_over() {
    let bench = start_with_one_engine().await;
    bench.engines[0].set_pause(Some(StreamPause {
        after_event: 3,
        is_inside_event: true,
        length: ENDLESS,
    }));
    let replies = start_streams(&bench, 1).await;
    join_second_engine(&bench).await;
    let replies = finish(replies).await;
    assert_whole(&replies);
    assert_in_own_time(&replies);
    wait_for("an end of the old run", || async {
        is_cancelled(&bench.engines[0])
    })
    .await;
    let closed_at = bench.engines[0].runs()[0].cancelled_at.expect("a time");
    let overlap = closed_at.saturating_duration_since(bench.engines[1].arrivals()[0]);
    assert!(overlap < OVERLAP_MAX, "both worked for {overlap:?}");
    let resumed = &bench.engines[1].runs()[0];
    assert_eq!(resumed.headers["last-event-id"], "3");
}

/// Guards against waiting for a second target that is silent as well.
#[tokio::test]
async fn silent_streams_of_two_third_takes_over() {
    let bench = start_with_one_engine().await;
    let mut config = draft(2, AMPLE);
    for route in &mut config.routes {
        route.attempts = 3;
    }
    bench.store.put_config(&config);
    bench
        .router
        .wait_log(&["config_in_force", "version=2"])
        .await;
    bench.engines[0].set_pause(pause_after(3, ENDLESS));
    bench.engines[1].set_response_delay(ENDLESS);
    let replies = start_streams(&bench, 1).await;
    join_second_engine(&bench).await;
    wait_for("a second attempt", || async {
        bench.engines[1].runs().len() == 1
    })
    .await;
    let third = TargetStandIn::try_start("engine-3")
        .await
        .expect("a target");
    third.set_events(EVENTS.len() as u64, Duration::from_millis(30));
    bench
        .store
        .put_target(&third, "engine", "north", EntryState::Ready);
    let replies = finish(replies).await;
    assert_whole(&replies);
    assert_eq!(third.runs()[0].headers["last-event-id"], "3");
    wait_for("an end of both runs", || async {
        bench.engines.iter().all(is_cancelled)
    })
    .await;
}

/// Guards against giving up a target that goes on before the other one has answered.
#[tokio::test]
async fn silent_stream_speaks_before_second() {
    let bench = start_with_one_engine().await;
    bench.engines[0].set_pause(pause_after(3, SILENCE));
    bench.engines[1].set_response_delay(ENDLESS);
    let replies = start_streams(&bench, 1).await;
    join_second_engine(&bench).await;
    let replies = finish(replies).await;
    assert_whole(&replies);
    assert_in_own_time(&replies);
    assert_eq!(bench.engines[1].runs().len(), 1);
    wait_for("an end of the new attempt", || async {
        is_cancelled(&bench.engines[1])
    })
    .await;
    assert!(!bench.engines[0].runs()[0].is_cancelled);
    assert!(bench.router.log_lines(&["target_ejected"]).is_empty());
    let superseded = "attempt_ends_total{what=\"superseded\"}";
    assert_eq!(bench.router.metric(superseded).await, Some(1.0));
    let silent = "attempt_ends_total{what=\"silent\"}";
    assert_eq!(bench.router.metric(silent).await, None);
    assert_eq!(bench.router.metric("resumes_total").await, Some(0.0));
}

/// Guards against refusing a stream whose target has not sent its head yet.
#[tokio::test]
async fn silent_before_head_second_rejects() {
    let bench = start_with_one_engine().await;
    bench.engines[0].set_response_delay(SILENCE);
    bench.engines[1].set_fault(TargetFault::Full);
    let replies = start_streams(&bench, 3).await;
    join_second_engine(&bench).await;
    let replies = finish(replies).await;
    assert_whole(&replies);
    assert_eq!(GatewayBench::run_count(&bench.engines), 3);
}

/// Guards against breaking off a stream between its head and its first event.
#[tokio::test]
async fn silent_before_first_event_second_rejects() {
    let bench = start_with_one_engine().await;
    bench.engines[0].set_pause(pause_after(0, SILENCE));
    bench.engines[1].set_fault(TargetFault::Full);
    let replies = start_streams(&bench, 3).await;
    join_second_engine(&bench).await;
    let replies = finish(replies).await;
    assert_whole(&replies);
    assert_eq!(GatewayBench::run_count(&bench.engines), 3);
}

/// Guards against waiting for a target before the head although another one answers.
#[tokio::test]
async fn silent_before_head_second_takes_over() {
    let bench = start_with_one_engine().await;
    bench.engines[0].set_response_delay(ENDLESS);
    let replies = start_streams(&bench, 1).await;
    join_second_engine(&bench).await;
    let replies = finish(replies).await;
    assert_whole(&replies);
    assert_in_own_time(&replies);
    wait_for("an end of the old run", || async {
        is_cancelled(&bench.engines[0])
    })
    .await;
    let closed_at = bench.engines[0].runs()[0].cancelled_at.expect("a time");
    let overlap = closed_at.saturating_duration_since(bench.engines[1].arrivals()[0]);
    assert!(overlap < OVERLAP_MAX, "both worked for {overlap:?}");
}

/// Guards against promising that a stream never ran while its silent target may run it.
#[tokio::test]
async fn silent_until_deadline_is_not_refused_as_not_run() {
    let bench = start_with_one_engine().await;
    bench.engines[0].set_response_delay(ENDLESS);
    bench.engines[1].set_fault(TargetFault::Full);
    let mut request = stream_request("call-1");
    request.deadline_ms = 2_000;
    let reply = send(&bench, request);
    wait_for("a run", || async { bench.engines[0].runs().len() == 1 }).await;
    join_second_engine(&bench).await;
    let (reply, waited) = reply.await.expect("a reply");
    assert!(matches!(reply.status, 502 | 504), "status {}", reply.status);
    assert!(waited < Duration::from_millis(2_400), "{waited:?}");
    assert_eq!(bench.engines[1].runs().len(), 1);
    wait_for("an end of the run", || async {
        is_cancelled(&bench.engines[0])
    })
    .await;
}

/// Guards against giving a prompt's tokens back because the second target rejects the stream: the
/// silent one may process the prompt.
#[tokio::test]
async fn silent_before_head_prompt_is_spent() {
    let mut bench = start_with_one_engine().await;
    bench.engines[0].set_response_delay(ENDLESS);
    bench.engines[1].set_fault(TargetFault::Full);
    let bytes = stream_request("call-1").bytes();
    let mut caller = TcpStream::connect(bench.router.address)
        .await
        .expect("a connection");
    caller.write_all(&bytes).await.expect("a call");
    wait_for("a run", || async { bench.engines[0].runs().len() == 1 }).await;
    join_second_engine(&bench).await;
    bench
        .router
        .wait_log(&["attempt_ended", "end=not_run"])
        .await;
    drop(caller);
    wait_for("an end of the run", || async {
        is_cancelled(&bench.engines[0])
    })
    .await;
    bench.router.signal(Signal::SIGTERM);
    assert_eq!(bench.router.wait_end().await, Some(0));
    let ledger = bench.store.spec("budgets", "ledger-acme");
    let ledger = ledger.expect("a ledger");
    assert_eq!(ledger["taken"].as_u64(), Some(PROMPT_TOKENS));
}

/// Guards against targets that work on after the call's deadline.
#[tokio::test]
async fn silent_stream_deadline_ends_both() {
    let bench = start_with_one_engine().await;
    bench.engines[0].set_pause(pause_after(3, ENDLESS));
    bench.engines[1].set_response_delay(ENDLESS);
    let mut request = stream_request("call-1");
    request.deadline_ms = 2_000;
    let reply = send(&bench, request);
    wait_for("a run", || async { bench.engines[0].runs().len() == 1 }).await;
    join_second_engine(&bench).await;
    let (reply, waited) = reply.await.expect("a reply");
    assert!(!reply.is_complete);
    assert!(waited < Duration::from_millis(2_400), "{waited:?}");
    assert_eq!(bench.engines[1].runs().len(), 1);
    wait_for("an end of both runs", || async {
        bench.engines.iter().all(is_cancelled)
    })
    .await;
}

/// Guards against targets that work on after the caller has left.
#[tokio::test]
async fn silent_stream_caller_leaves() {
    let bench = start_with_one_engine().await;
    bench.engines[0].set_pause(pause_after(3, ENDLESS));
    bench.engines[1].set_response_delay(ENDLESS);
    let mut caller = TcpStream::connect(bench.router.address)
        .await
        .expect("a connection");
    let bytes = stream_request("call-1").bytes();
    caller.write_all(&bytes).await.expect("a call");
    wait_for("a run", || async { bench.engines[0].runs().len() == 1 }).await;
    join_second_engine(&bench).await;
    wait_for("a second attempt", || async {
        bench.engines[1].runs().len() == 1
    })
    .await;
    drop(caller);
    wait_for("an end of both runs", || async {
        bench.engines.iter().all(is_cancelled)
    })
    .await;
}

/// Guards against waiting for a target that has crashed.
#[tokio::test]
async fn crashed_target_is_left_at_once() {
    let bench = start_with_one_engine().await;
    bench.engines[0].set_pause(pause_after(3, ENDLESS));
    let replies = start_streams(&bench, 1).await;
    join_second_engine(&bench).await;
    sleep(Duration::from_millis(200)).await;
    let crashed_at = Instant::now();
    bench.engines[0].crash();
    let replies = finish(replies).await;
    let waited = crashed_at.elapsed();
    assert_whole(&replies);
    assert!(
        waited < Duration::from_millis(800),
        "{waited:?} after the crash"
    );
}

/// Guards against giving up the other target as well when the silent one crashes meanwhile.
#[tokio::test]
async fn crashed_target_while_second_is_slow() {
    let bench = start_with_one_engine().await;
    bench.engines[0].set_pause(pause_after(3, ENDLESS));
    bench.engines[1].set_response_delay(Duration::from_millis(700));
    let replies = start_streams(&bench, 1).await;
    join_second_engine(&bench).await;
    wait_for("a second attempt", || async {
        bench.engines[1].runs().len() == 1
    })
    .await;
    bench.engines[0].crash();
    let replies = finish(replies).await;
    assert_whole(&replies);
    assert_eq!(bench.engines[1].runs().len(), 1);
}

/// Guards against spending the fleet's retry budget on streams that only wait.
#[tokio::test]
async fn waiting_streams_spend_no_retries() {
    let bench = start_with_one_engine().await;
    bench.engines[0].set_pause(pause_after(3, Duration::from_secs(3)));
    let replies = start_streams(&bench, 6).await;
    let replies = finish(replies).await;
    assert_whole(&replies);
    assert_eq!(GatewayBench::arrival_count(&bench.engines), 6);
    let repeats = bench.router.metric("repeats_total").await;
    assert_eq!(repeats.unwrap_or(0.0), 0.0);
    assert_eq!(bench.router.metric("repeats_denied_total").await, Some(0.0));
}

/// Sends calls whose first target answers late, one after the other.
async fn send_late_calls(bench: &GatewayBench) {
    bench.plain[0].set_response_delay(Duration::from_millis(400));
    for number in 0..6 {
        let call = request("GET /get/1", &format!("call-{number}"));
        let reply = bench.router.call(&call).await;
        assert_eq!(
            (reply.status, reply.body.as_str()),
            (200, "plain-1"),
            "call {number}"
        );
    }
    let is_given_up = bench.plain[0].runs().iter().any(|run| run.is_cancelled);
    assert!(!is_given_up, "the first target was given up");
}

/// Guards against refusing a call that its first target answers late, as the second one rejects it.
#[tokio::test]
async fn late_answer_second_rejects() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    bench.plain[1].set_fault(TargetFault::Full);
    send_late_calls(&bench).await;
}

/// Guards against forwarding the failure of the second target while the first one still answers.
#[tokio::test]
async fn late_answer_second_fails() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    bench.plain[1].set_fault(TargetFault::Failing);
    send_late_calls(&bench).await;
}

/// Guards against refusing a call that its first target answers late, as the second one disconnects.
#[tokio::test]
async fn late_answer_second_disconnects() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    bench.plain[1].set_fault(TargetFault::Disconnecting);
    send_late_calls(&bench).await;
}
