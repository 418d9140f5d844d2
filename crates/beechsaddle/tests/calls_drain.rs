//! Tests of the edge's shutdown.

mod calls_support;

use std::net::TcpStream;
use std::time::{Duration, Instant};

use beechsaddle::calls::CallsOptions;
use beechsaddle_core::call::{AnswerEnd, CallAction, CallEvent};
use beechsaddle_core::prelude::*;
use calls_support::*;

fn short_grace() -> CallsOptions {
    CallsOptions {
        drain_grace_ms: 300,
        ..CallsOptions::default()
    }
}

/// Starts a target that streams an event every 100 ms for `ticks` events.
fn slow_target(ticks: u64) -> RawTarget {
    RawTarget::start(move |connection| {
        connection.read_request();
        connection.start_chunked("text/event-stream");
        for _ in 0..ticks {
            connection.chunk(&token_event("a"));
            std::thread::sleep(Duration::from_millis(100));
        }
        connection.chunk(&(usage_event(5, ticks) + DONE_EVENT));
        connection.end_chunks();
        connection.await_close();
    })
}

/// Drains while a stream of `ticks` times 100 ms runs, and checks that the caller receives all of
/// it.
fn drain_around(ticks: u64) {
    let target = slow_target(ticks);
    let core = FakeCore::start_with(short_grace(), 64);
    let mut caller = RawCaller::send(core.address(), chat_call("", true));
    let call = core.dispatch_next(target.address);
    core.next_start();
    caller.read_until("\"a\"");
    core.act(CallAction::StopAccepting);
    caller
        .stream
        .set_read_timeout(Some(Duration::from_secs(60)))
        .expect("a timeout");
    let reading = std::thread::spawn(move || {
        let text = caller.read_until("\r\n0\r\n\r\n");
        (text, caller.read_end())
    });
    let event = core.next_event_within(Duration::from_secs(60));
    let CallEvent::AnswerEnded { end, .. } = event else {
        panic!("expected an ended answer, got {event:?}");
    };
    assert_eq!(end, AnswerEnd::Complete);
    core.act(CallAction::Finish { call });
    let (text, remaining) = reading.join().expect("a reader");
    assert_eq!(text.matches("\"a\"").count() as u64, ticks - 1);
    assert!(text.contains("[DONE]"));
    assert_eq!(remaining, (String::new(), RawEnd::Closed));
    assert_eq!(core.handle.stop(WAIT_LIMIT), 0, "a connection was cut");
}

#[test]
fn drain_stream_continues() {
    // The router stops accepting while an answer is streamed for longer than idle connections stay
    // open. The answer must arrive completely, and the connection closes after it.
    drain_around(8);
}

#[test]
fn drain_stream_beyond_library_limit() {
    // The library's own server ends 30 s after a signal even with connections open, which would
    // truncate every longer stream. The edge must not.
    drain_around(330);
}

#[test]
fn drain_new_call_on_open_connection() {
    // A caller sends on an idle connection just as the router stops accepting. It gets a refusal
    // with a retry time instead of a closed connection.
    let core = FakeCore::start_with(short_grace(), 64);
    let request = "GET /healthz HTTP/1.1\r\nhost: router\r\n\r\n";
    let mut caller = RawCaller::send(core.address(), request);
    caller.read_answer();
    core.act(CallAction::StopAccepting);
    caller.write(chat_call("", false));
    let answer = caller.read_answer();
    assert_eq!(answer.status, 503);
    assert!(
        answer
            .body
            .contains("\"reason\":\"draining\",\"ran\":\"no\""),
        "{answer:?}"
    );
    assert_eq!(header(&answer.head, "connection"), Some("close"));
    assert_eq!(header(&answer.head, "retry-after"), Some("1"));
    assert_eq!(caller.read_end().1, RawEnd::Closed);
    assert_eq!(core.next_rejection(), RefusalReason::Draining);
}

#[test]
fn drain_listener_closes() {
    let core = FakeCore::start_with(short_grace(), 64);
    core.act(CallAction::StopAccepting);
    let deadline = Instant::now() + WAIT_LIMIT;
    while TcpStream::connect(core.address()).is_ok() {
        assert!(Instant::now() < deadline, "the listener stays open");
        std::thread::sleep(Duration::from_millis(5));
    }
    TcpStream::connect(core.handle.admin_address()).expect("operators can still connect");
}

#[test]
fn drain_idle_connection_closes() {
    let core = FakeCore::start_with(short_grace(), 64);
    let request = "GET /healthz HTTP/1.1\r\nhost: router\r\n\r\n";
    let mut caller = RawCaller::send(core.address(), request);
    caller.read_answer();
    core.act(CallAction::StopAccepting);
    let start = Instant::now();
    assert_eq!(caller.read_end().1, RawEnd::Closed);
    assert!(start.elapsed() >= Duration::from_millis(200));
    assert_eq!(core.handle.stop(WAIT_LIMIT), 0);
}

#[test]
fn stop_cuts_remaining_connections() {
    let target = slow_target(100);
    let core = FakeCore::start_with(short_grace(), 64);
    let mut caller = RawCaller::send(core.address(), chat_call("", true));
    core.dispatch_next(target.address);
    core.next_start();
    caller.read_until("\"a\"");
    assert_eq!(core.handle.stop(Duration::from_millis(50)), 1);
    let (text, _) = caller.read_end();
    assert!(!text.contains("\r\n0\r\n"), "{text}");
}
