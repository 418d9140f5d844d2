//! Tests of the limits on connections, time and memory.

mod calls_support;

use std::time::{Duration, Instant};

use beechsaddle::calls::CallsOptions;
use beechsaddle_core::prelude::*;
use calls_support::*;

#[test]
fn connections_beyond_limit() {
    // More callers connect than the router has room for. The ones beyond are told so at once and
    // closed, instead of waiting in a queue; when one leaves there is room again.
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
    let deadline = Instant::now() + PATIENCE;
    while core.handle.open_connections() > 1 {
        assert!(Instant::now() < deadline, "the connection stays open");
        std::thread::sleep(Duration::from_millis(2));
    }
    let _third = RawCaller::send(core.address(), chat_call("", false));
    core.next_arrival();
}

#[test]
fn head_dripping() {
    // A caller sends one byte of its head now and then, never the end, to hold a connection for
    // ever. The time for a head runs from its start, so that dripping does not stretch it.
    let options = CallsOptions {
        head_timeout_ms: 200,
        ..CallsOptions::default()
    };
    let core = FakeCore::start_with(options, 64);
    let mut caller = RawCaller::connect(core.address());
    let start = Instant::now();
    while core.handle.open_connections() > 0 || start.elapsed() < Duration::from_millis(50) {
        assert!(start.elapsed() < PATIENCE, "the connection stays open");
        use std::io::Write;
        let _ = caller.stream.write_all(b"G");
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(start.elapsed() >= Duration::from_millis(150));
}

#[test]
fn connection_idle() {
    let options = CallsOptions {
        head_timeout_ms: 100,
        ..CallsOptions::default()
    };
    let core = FakeCore::start_with(options, 64);
    let mut caller = RawCaller::connect(core.address());
    assert_eq!(caller.read_end(), (String::new(), RawEnd::Closed));
}

#[test]
fn bodies_beyond_memory() {
    // Many callers send large bodies at a time, each within its own limit. Beyond the common
    // limit a caller is refused for the moment, and the memory comes back with the calls.
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
    // The core is behind and its ring is full. A new call is refused at once as not run; the end
    // of a call that the core knows of waits for room instead of being lost.
    let core = FakeCore::start_with(CallsOptions::default(), 1);
    let first = RawCaller::send(core.address(), chat_call("", false));
    let deadline = Instant::now() + PATIENCE;
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
    let gone = beechsaddle_core::call::CallEvent::CallerGone { call };
    assert_eq!(core.next_event(), gone);
}
