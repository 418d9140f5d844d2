//! Tests of callers whose requests arrive around the steps of the edge's shutdown.

mod calls_support;

use std::net::SocketAddr;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use beechsaddle::calls::CallsOptions;
use beechsaddle_core::call::CallAction;
use beechsaddle_core::prelude::*;
use calls_support::*;

/// Time for which idle connections stay open after the edge has stopped accepting.
const GRACE: Duration = Duration::from_millis(300);
/// Time after which what was sent has been read.
const READ_DELAY: Duration = Duration::from_millis(50);
/// Number of callers whose requests arrive while the edge is held up.
const CALLERS: usize = 12;
/// Number of edges that stop right after a caller has connected.
const ROUNDS: usize = 40;
/// Number of messages of a chat that takes the edge's only thread some hundred milliseconds to read.
const LONG_CHAT_MESSAGES: usize = 120_000;
const HEALTH_REQUEST: &str = "GET /healthz HTTP/1.1\r\nhost: router\r\n\r\n";

fn start() -> FakeCore {
    let options = CallsOptions {
        drain_grace_ms: GRACE.as_millis() as u64,
        ..CallsOptions::default()
    };
    FakeCore::start_with(options, 64)
}

/// Connects and has one request answered.
fn connect_used(address: SocketAddr) -> RawCaller {
    let mut caller = RawCaller::send(address, HEALTH_REQUEST);
    caller.read_answer();
    caller
}

/// Checks that a caller is told that the router is shutting down, and that its connection closes.
fn expect_draining(caller: &mut RawCaller) {
    let answer = caller.read_answer();
    assert_eq!(answer.status, 503);
    let refusal = "\"reason\":\"draining\",\"ran\":\"no\"";
    assert!(answer.body.contains(refusal), "{answer:?}");
    assert_eq!(header(&answer.head, "connection"), Some("close"));
    assert_eq!(caller.read_end(), (String::new(), RawEnd::Closed));
}

/// Stops the edge in a thread that returns the number of connections that were cut.
fn stop(core: FakeCore) -> JoinHandle<usize> {
    thread::spawn(move || core.handle.stop(WAIT_LIMIT))
}

/// A chat that occupies the edge's only thread while it is read.
struct LongChat {
    caller: RawCaller,
}

impl LongChat {
    /// Sends all but the last byte.
    fn prepare(core: &FakeCore) -> Self {
        let message = "{\"role\":\"user\",\"content\":\"\"}";
        let messages = vec![message; LONG_CHAT_MESSAGES].join(",");
        let body = format!("{{\"model\":\"m1\",\"max_tokens\":9,\"messages\":[{messages}]");
        let head = chat_head("", body.len() + 1);
        let caller = RawCaller::send(core.address(), head + &body);
        thread::sleep(READ_DELAY);
        LongChat { caller }
    }

    /// Runs `events` while the edge is held up.
    fn hold_up(&mut self, core: &FakeCore, events: impl FnOnce()) {
        self.caller.write("}");
        thread::sleep(Duration::from_millis(20));
        events();
        let is_held = core.events.is_empty();
        core.next_arrival();
        assert!(is_held, "the edge was not held up");
    }
}

// The end of the grace closes a kept connection on which a part of a head has arrived, and its caller
// gets neither an answer nor a refusal.
#[test]
fn grace_end_part_of_head_on_kept_connection() {
    let core = start();
    let mut caller = connect_used(core.address());
    let call = chat_call("", false);
    let (first, rest) = call.split_at(20);
    core.act(CallAction::StopAccepting);
    thread::sleep(GRACE - READ_DELAY);
    caller.write(first);
    thread::sleep(READ_DELAY * 3);
    caller.write(rest);
    expect_draining(&mut caller);
    assert_eq!(core.handle.stop(WAIT_LIMIT), 0);
}

// The end of the grace closes kept connections whose requests have arrived but are not read yet.
#[test]
fn grace_end_unread_calls_on_kept_connections() {
    let core = start();
    let mut chat = LongChat::prepare(&core);
    let mut callers: Vec<_> = (0..CALLERS).map(|_| connect_used(core.address())).collect();
    core.act(CallAction::StopAccepting);
    thread::sleep(GRACE - READ_DELAY);
    chat.hold_up(&core, || {
        for caller in &mut callers {
            caller.write(chat_call("", false));
        }
        thread::sleep(READ_DELAY * 2);
    });
    for caller in &mut callers {
        expect_draining(caller);
    }
}

// The exit ends the grace: a router without open calls closes kept connections at once, and a call that
// is under way gets neither an answer nor a refusal.
#[test]
fn stop_call_within_the_grace() {
    let core = start();
    let mut caller = connect_used(core.address());
    core.act(CallAction::StopAccepting);
    let stopping = stop(core);
    thread::sleep(READ_DELAY);
    caller.write(chat_call("", false));
    expect_draining(&mut caller);
    assert_eq!(stopping.join().expect("a thread"), 0);
}

// The close of the listener resets connections that wait to be accepted, with the calls that their
// callers have sent.
#[test]
fn stop_accepting_waiting_connections() {
    let core = start();
    let mut chat = LongChat::prepare(&core);
    let mut callers = Vec::new();
    chat.hold_up(&core, || {
        for _ in 0..CALLERS {
            callers.push(RawCaller::send(core.address(), chat_call("", false)));
        }
        core.act(CallAction::StopAccepting);
    });
    for caller in &mut callers {
        expect_draining(caller);
    }
}

// The edge stops before its listener has run once more, and resets connections that wait to be accepted.
#[test]
fn stop_right_after_connect() {
    for _ in 0..ROUNDS {
        let core = start();
        let mut caller = RawCaller::send(core.address(), HEALTH_REQUEST);
        core.act(CallAction::StopAccepting);
        let stopping = stop(core);
        caller.read_answer();
        drop(caller);
        assert_eq!(stopping.join().expect("a thread"), 0);
    }
}

// The rest of a head comes after every phase of the shutdown has begun: its connection closes without an
// answer, or its call is sent on and cut by the exit.
#[test]
fn stop_part_of_head_on_new_connection() {
    let core = start();
    let call = chat_call("", false);
    let (first, rest) = call.split_at(20);
    let mut caller = RawCaller::send(core.address(), first);
    thread::sleep(READ_DELAY);
    core.act(CallAction::StopAccepting);
    let stopping = stop(core);
    thread::sleep(GRACE + READ_DELAY);
    caller.write(rest);
    expect_draining(&mut caller);
    assert_eq!(stopping.join().expect("a thread"), 0);
}

// A call whose body arrives after the exit was decided is not open, and the exit cuts it.
#[test]
fn stop_body_that_arrives_late() {
    let core = start();
    let call = chat_call("", false);
    let (first, rest) = call.split_at(call.len() - 5);
    let mut caller = RawCaller::send(core.address(), first);
    thread::sleep(READ_DELAY);
    core.act(CallAction::StopAccepting);
    assert_eq!(core.handle.open_calls(), 0);
    thread::scope(|scope| {
        let stopping = scope.spawn(|| core.handle.stop(WAIT_LIMIT));
        thread::sleep(GRACE + READ_DELAY);
        caller.write(rest);
        let call = core.next_arrival().call;
        let refusal = CallRefusal::not_run(RefusalReason::Draining, Some(1_000));
        core.act(CallAction::Refuse { call, refusal });
        expect_draining(&mut caller);
        assert_eq!(stopping.join().expect("a thread"), 0);
    });
}

// The exit closes the connection of a refused caller that still sends its body, and the reset takes the
// refusal.
#[test]
fn stop_refused_caller_with_body_under_way() {
    let core = start();
    let mut caller = connect_used(core.address());
    core.act(CallAction::StopAccepting);
    caller.write(chat_head("", 100_000) + &"a".repeat(50_000));
    assert_eq!(core.next_rejection(), RefusalReason::Draining);
    let stopping = stop(core);
    thread::sleep(GRACE + READ_DELAY);
    caller.write("a".repeat(50_000));
    expect_draining(&mut caller);
    drop(caller);
    assert_eq!(stopping.join().expect("a thread"), 0);
}

// The exit cuts an answer that its caller has not read to the end, though no call is open any more.
#[test]
fn stop_answer_that_is_read_late() {
    const ANSWER_BYTES: usize = 3 * 1_024 * 1_024;
    let target = RawTarget::start(|connection| {
        connection.read_request();
        let text = "a".repeat(ANSWER_BYTES);
        let answer = chat_answer(5, 9).replace("hi", &text);
        connection.answer("200 OK", "content-type: application/json\r\n", &answer);
        connection.await_close();
    });
    let core = start();
    let mut caller = RawCaller::send(core.address(), chat_call("", false));
    let call = core.dispatch_next(target.address);
    core.next_start();
    core.next_end();
    core.act(CallAction::Finish { call });
    core.await_no_calls();
    core.act(CallAction::StopAccepting);
    let stopping = stop(core);
    thread::sleep(GRACE + READ_DELAY);
    let answer = caller.read_answer();
    assert_eq!(answer.status, 200);
    assert!(answer.body.len() > ANSWER_BYTES);
    assert_eq!(caller.read_end().1, RawEnd::Closed);
    assert_eq!(stopping.join().expect("a thread"), 0);
}

// Idle connections whose callers do not close theirs hold the exit up.
#[test]
fn stop_idle_connections() {
    let core = start();
    let callers: Vec<_> = (0..CALLERS).map(|_| connect_used(core.address())).collect();
    core.act(CallAction::StopAccepting);
    let start = Instant::now();
    assert_eq!(core.handle.stop(WAIT_LIMIT), 0);
    assert!(start.elapsed() < GRACE * 3, "{:?}", start.elapsed());
    drop(callers);
}
