//! Tests of the limits on connections, time and memory.

mod calls_support;

use std::io::Write;
use std::time::{Duration, Instant};

use beechsaddle::calls::CallsOptions;
use beechsaddle_core::call::{AnswerEnd, CallAction, CallEvent};
use beechsaddle_core::prelude::*;
use calls_support::*;

#[test]
fn connections_beyond_limit() {
    // Callers beyond the connection limit are refused and closed at once instead of waiting in a
    // queue; closing a connection makes room again.
    let options = CallsOptions {
        max_connections: 2,
        ..CallsOptions::default()
    };
    let core = FakeCore::start_with(options, 64);
    let first = RawCaller::send(core.address(), chat_call("", false));
    let _second = RawCaller::send(core.address(), chat_call("", false));
    core.next_arrival();
    core.next_arrival();
    let answer = RawCaller::connect(core.address()).read_answer();
    assert_eq!(answer.status, 503);
    let text: serde_json::Value = serde_json::from_str(&answer.body).expect("JSON");
    assert_eq!(text["error"]["reason"], "overloaded");
    assert_eq!(core.next_rejection(), RefusalReason::Overloaded);
    first.hang_up();
    core.next_event();
    let deadline = Instant::now() + WAIT_LIMIT;
    while core.handle.open_connections() > 1 {
        assert!(Instant::now() < deadline, "the connection stays open");
        std::thread::sleep(Duration::from_millis(2));
    }
    let _third = RawCaller::send(core.address(), chat_call("", false));
    core.next_arrival();
}

/// Sends a byte every 20 ms until the connection is closed, and returns how long that took.
fn drip_until_closed(core: &FakeCore, caller: &mut RawCaller) -> Duration {
    let start = Instant::now();
    while core.handle.open_connections() > 0 {
        assert!(start.elapsed() < WAIT_LIMIT, "the connection stays open");
        let _ = caller.stream.write_all(b"G");
        std::thread::sleep(Duration::from_millis(20));
    }
    start.elapsed()
}

#[test]
fn head_dripping() {
    // A caller sends its head byte by byte without end, to occupy a connection. The time limit runs
    // from the first byte of the head, so slow sending does not extend it, and it is far shorter
    // than the timeout of idle connections.
    let options = CallsOptions {
        head_timeout_ms: 200,
        idle_timeout_ms: 60_000,
        ..CallsOptions::default()
    };
    let core = FakeCore::start_with(options, 64);
    let mut caller = RawCaller::send(core.address(), "G");
    let sent_at = Instant::now();
    while core.handle.open_connections() == 0 {
        assert!(sent_at.elapsed() < WAIT_LIMIT, "no connection is accepted");
        std::thread::sleep(Duration::from_millis(1));
    }
    assert_eq!(core.handle.open_connections(), 1);
    let span = drip_until_closed(&core, &mut caller);
    assert!(span >= Duration::from_millis(100));
}

#[test]
fn head_dripping_on_reused_connection() {
    // The same after calls that took longer than the time limit of a head: neither the time of the
    // call nor the wait for the next one counts, only the time of the next head.
    let options = CallsOptions {
        head_timeout_ms: 200,
        idle_timeout_ms: 60_000,
        ..CallsOptions::default()
    };
    let core = FakeCore::start_with(options, 64);
    let mut caller = RawCaller::connect(core.address());
    for _ in 0..2 {
        std::thread::sleep(Duration::from_millis(250));
        caller.write(chat_call("", false));
        let call = core.next_arrival().call;
        std::thread::sleep(Duration::from_millis(250));
        let refusal = CallRefusal::not_run(RefusalReason::NoTarget, None);
        core.act(CallAction::Refuse { call, refusal });
        assert_eq!(caller.read_answer().status, 503);
    }
    caller.write("G");
    drip_until_closed(&core, &mut caller);
}

#[test]
fn connection_idle() {
    let options = CallsOptions {
        head_timeout_ms: 10,
        idle_timeout_ms: 100,
        ..CallsOptions::default()
    };
    let core = FakeCore::start_with(options, 64);
    let mut caller = RawCaller::connect(core.address());
    assert_eq!(caller.read_end(), (String::new(), RawEnd::Closed));
}

#[test]
fn bodies_beyond_memory() {
    // Many callers send large bodies at the same time, each within its own limit. Beyond the common
    // limit a caller is refused, and the memory is released with the calls.
    let options = CallsOptions {
        body_memory_bytes: 64 * 1_024,
        ..CallsOptions::default()
    };
    let core = FakeCore::start_with(options, 64);
    let message = "x".repeat(40 * 1_024);
    let body = format!(
        "{{\"model\":\"m1\",\"messages\":[{{\"role\":\"user\",\"content\":\"{message}\"}}]}}"
    );
    let request = chat_head("", body.len()) + &body;
    let first = RawCaller::send(core.address(), &request);
    core.next_arrival();
    let answer = exchange(core.address(), &request);
    assert_eq!(answer.status, 503, "{answer:?}");
    assert_eq!(core.next_rejection(), RefusalReason::Overloaded);
    first.hang_up();
    core.next_event();
    core.await_no_calls();
    let _third = RawCaller::send(core.address(), &request);
    core.next_arrival();
}

#[test]
fn ring_full() {
    // The core's ring is full. A new call is refused at once as not run; the end event of a call
    // known to the core waits for room instead of being lost.
    let core = FakeCore::start_with(CallsOptions::default(), 1);
    let first = RawCaller::send(core.address(), chat_call("", false));
    let deadline = Instant::now() + WAIT_LIMIT;
    while core.events.is_empty() {
        assert!(Instant::now() < deadline, "no arrival");
        std::thread::sleep(Duration::from_millis(2));
    }
    let answer = exchange(core.address(), chat_call("", false));
    assert_eq!(answer.status, 503);
    assert!(answer.body.contains("ring_full"), "{answer:?}");
    assert!(core.handle.ring_full_count() >= 1);
    first.hang_up();
    core.await_no_calls();
    let call = core.next_arrival().call;
    let gone = CallEvent::CallerGone {
        call,
        last_attempt: None,
    };
    assert_eq!(core.next_event(), gone);
}

#[test]
fn actions_beyond_ring() {
    // The core sends a call far more actions than its ring holds. The call must end as broken
    // instead of missing an action and waiting forever.
    let core = FakeCore::start();
    let target = RawTarget::start(|connection| {
        connection.read_request();
        connection.start_chunked("text/event-stream");
        connection.chunk(&token_event("a"));
        connection.await_close();
    });
    let mut caller = RawCaller::send(core.address(), chat_call("", true));
    let call = core.dispatch_next(target.address);
    core.next_start();
    caller.read_until("\"a\"");
    for _ in 0..100 {
        core.act(CallAction::Finish { call: call.clone() });
    }
    assert_eq!(core.next_end().0, AnswerEnd::Truncated);
    assert_eq!(caller.read_end().1, RawEnd::Reset);
}
