//! Tests of targets that fail before any part of their answer was sent to the caller.

mod calls_support;

use std::net::TcpListener;
use std::time::{Duration, Instant};

use beechsaddle::calls::CallsOptions;
use beechsaddle_core::call::{AnswerEnd, AttemptFailure, CallAction, CallEvent, TokenUsage};
use beechsaddle_core::prelude::*;
use calls_support::*;

/// Dispatches a chat to a target that runs `script` and returns the failure of the attempt.
fn failure_at(script: impl Fn(&mut TargetConnection) + Send + Sync + 'static) -> AttemptFailure {
    let target = RawTarget::start(script);
    let core = FakeCore::start();
    let _caller = RawCaller::send(core.address(), chat_call("", false));
    core.dispatch_next(target.address);
    core.next_failure()
}

#[test]
fn connect_refused() {
    // Nothing listens at the target's address, so the call is known not to have run. The library
    // reports a failed connect as a failed request; without a distinction, every dead target would
    // turn calls that did not run into calls of unknown outcome.
    let free = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = free.local_addr().expect("an address");
    drop(free);
    let core = FakeCore::start();
    let mut caller = RawCaller::send(core.address(), chat_call("", false));
    let call = core.dispatch_next(address);
    assert_eq!(core.next_failure(), AttemptFailure::ConnectFailed);
    let target = RawTarget::start(|connection| {
        connection.read_request();
        connection.answer("200 OK", "", &chat_answer(5, 2));
    });
    core.act(dispatch(&call, 1, target.address));
    assert_eq!(core.next_start(), attempt(&call, 1));
    core.next_end();
    core.act(CallAction::Finish { call });
    assert_eq!(caller.read_answer().status, 200);
}

#[test]
fn connection_lost_after_request() {
    let failure = failure_at(|connection| {
        connection.read_request();
    });
    assert_eq!(failure, AttemptFailure::ConnectionLost);
}

#[test]
fn connection_lost_within_buffered_answer() {
    let failure = failure_at(|connection| {
        connection.read_request();
        connection.write("HTTP/1.1 200 OK\r\ncontent-length: 500\r\n\r\n{\"choices\"");
    });
    assert_eq!(failure, AttemptFailure::ConnectionLost);
}

#[test]
fn answer_unreadable() {
    let failure = failure_at(|connection| {
        connection.read_request();
        connection.write("NONSENSE\r\n\r\n");
    });
    assert_eq!(failure, AttemptFailure::BadAnswer);
}

#[test]
fn answer_without_usage() {
    let failure = failure_at(|connection| {
        connection.read_request();
        connection.answer("200 OK", "", "{\"choices\":[]}");
    });
    assert_eq!(failure, AttemptFailure::BadAnswer);
}

#[test]
fn answer_too_large() {
    let target = RawTarget::start(|connection| {
        connection.read_request();
        connection.answer("200 OK", "", &"x".repeat(2_000));
        connection.await_close();
    });
    let options = CallsOptions {
        answer_bytes: 1_000,
        ..CallsOptions::default()
    };
    let core = FakeCore::start_with(options, 64);
    let _caller = RawCaller::send(core.address(), chat_call("", false));
    core.dispatch_next(target.address);
    assert_eq!(core.next_failure(), AttemptFailure::BadAnswer);
}

#[test]
fn answer_server_error() {
    let failure = failure_at(|connection| {
        connection.read_request();
        connection.answer("500 Oops", "", "");
    });
    assert_eq!(failure, AttemptFailure::ServerError);
}

#[test]
fn answer_busy() {
    for status in ["429 Busy", "503 Leaving"] {
        let failure = failure_at(move |connection| {
            connection.read_request();
            connection.answer(status, "", "");
        });
        assert_eq!(failure, AttemptFailure::TargetBusy);
    }
}

#[test]
fn answer_of_unknown_length() {
    // The target's body ends with its connection, so a complete one and one truncated by a crash
    // look the same. It must not be sent to the caller as complete.
    let target = RawTarget::start(|connection| {
        connection.read_request();
        connection.write("HTTP/1.1 200 OK\r\n\r\nhalf an ans");
    });
    let core = FakeCore::start();
    let _caller = RawCaller::send(core.address(), plain_call("GET", "/", "", ""));
    core.dispatch_next(target.address);
    assert_eq!(core.next_failure(), AttemptFailure::BadAnswer);
}

#[test]
fn engine_rejection_relayed() {
    let target = RawTarget::start(|connection| {
        connection.read_request();
        connection.answer("400 Bad Request", "", "{\"error\":\"context too long\"}");
    });
    let core = FakeCore::start();
    let mut caller = RawCaller::send(core.address(), chat_call("", true));
    let call = core.dispatch_next(target.address);
    core.next_start();
    assert_eq!(
        core.next_end(),
        (AnswerEnd::Complete, TokenUsage::default())
    );
    core.act(CallAction::Finish { call });
    assert_eq!(caller.read_answer().status, 400);
}

#[test]
fn server_error_of_non_repeatable_call() {
    // A call that may not be repeated gets the target's 500: it ran, and this is its outcome.
    let target = RawTarget::start(|connection| {
        connection.read_request();
        connection.answer("500 Oops", "", "claim already closed");
    });
    let core = FakeCore::start();
    let extra = "idempotency-key: k1\r\n";
    let mut caller = RawCaller::send(core.address(), plain_call("POST", "/", extra, "x"));
    let call = core.next_arrival().call;
    core.act(dispatch_once(&call, target.address));
    core.next_start();
    core.next_end();
    core.act(CallAction::Finish { call });
    let answer = caller.read_answer();
    assert_eq!(
        (answer.status, answer.body.as_str()),
        (500, "claim already closed")
    );
}

/// Answers a request with the echo that lets the router reuse the connection.
fn answer_with_echo(connection: &mut TargetConnection, request: &str, extra: &str, body: &str) {
    let attempt = sent_attempt(request);
    let extra = format!("beechsaddle-attempt: {attempt}\r\n{extra}");
    connection.answer("200 OK", &extra, body);
}

#[test]
fn reused_connection_closes_under_request() {
    // The target echoes attempts, so its connection is reused from the second call on. It reads the
    // third call and closes without an answer, as after a crash. The call may have run, so no layer
    // may send it again: exactly one more request must arrive, and on that connection; a new
    // connection would have answered.
    let target = RawTarget::start(|connection| {
        while let Some(request) = connection.read_request() {
            let is_third = connection.index == 1 && connection.requests == 2;
            if is_third {
                return;
            }
            answer_with_echo(connection, &request, "", &chat_answer(5, 2));
        }
    });
    let core = FakeCore::start();
    for _ in 0..2 {
        let mut caller = RawCaller::send(core.address(), chat_call("", false));
        let call = core.dispatch_next(target.address);
        core.next_start();
        core.next_end();
        core.act(CallAction::Finish { call });
        assert_eq!(caller.read_answer().status, 200);
        target.next_request();
        std::thread::sleep(Duration::from_millis(20));
    }
    let _caller = RawCaller::send(core.address(), chat_call("", false));
    let call = core.dispatch_next(target.address);
    assert_eq!(core.next_failure(), AttemptFailure::ConnectionLost);
    assert_eq!(
        sent_attempt(&target.next_request()),
        attempt(&call, 0).to_string()
    );
    std::thread::sleep(Duration::from_millis(100));
    assert_eq!(target.more_requests(), 0, "the call was sent again");
}

#[test]
fn non_repeatable_call_on_fresh_connection() {
    // A target may close an idle connection while a request is in flight on it, and it is then
    // unknown whether the request ran. A call that may not be repeated must use a new connection,
    // although a reusable one is available from the second call on.
    let target = RawTarget::start(|connection| {
        while let Some(request) = connection.read_request() {
            let extra = format!("x-index: {}\r\n", connection.index);
            answer_with_echo(connection, &request, &extra, "");
        }
    });
    let core = FakeCore::start();
    let mut indexes = Vec::new();
    for is_non_repeatable in [false, false, true, true, false] {
        let extra = "idempotency-key: k1\r\n";
        let mut caller = RawCaller::send(core.address(), plain_call("POST", "/", extra, "x"));
        let call = core.next_arrival().call;
        match is_non_repeatable {
            true => core.act(dispatch_once(&call, target.address)),
            false => core.act(dispatch(&call, 0, target.address)),
        }
        core.next_start();
        core.next_end();
        core.act(CallAction::Finish { call });
        let answer = caller.read_answer();
        let index = header(&answer.head, "x-index").expect("an index");
        indexes.push(index.to_owned());
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(indexes, ["0", "1", "2", "3", "1"]);
}

#[test]
fn stale_copy_without_echo_reaches_no_caller() {
    // The target does not echo attempts. It answers each request on a reused connection with the
    // previous answer, as after sending one answer twice. Such an answer cannot be attributed, so
    // the next call must use another connection.
    let target = RawTarget::start(|connection| {
        let mut output = 2 + connection.index as u64;
        while connection.read_request().is_some() {
            connection.answer("200 OK", "", &chat_answer(5, output));
            output = 2;
        }
    });
    let core = FakeCore::start();
    for output in [2, 3, 4] {
        let mut caller = RawCaller::send(core.address(), chat_call("", false));
        let call = core.dispatch_next(target.address);
        core.next_start();
        assert_eq!(core.next_end().1.output, output);
        core.act(CallAction::Finish { call });
        assert_eq!(caller.read_answer().body, chat_answer(5, output));
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn answer_without_echo_on_reused_connection() {
    // A target that echoes attempts answers the third call, on a reused connection, without an
    // echo. It may be the answer of the previous call; the attempt fails, and the caller does not
    // receive it.
    let target = RawTarget::start(|connection| {
        while let Some(request) = connection.read_request() {
            match connection.requests {
                2 => connection.answer("200 OK", "", &chat_answer(5, 9)),
                _ => {
                    answer_with_echo(connection, &request, "", &chat_answer(5, 2));
                    true
                }
            };
        }
    });
    let core = FakeCore::start();
    for _ in 0..2 {
        let mut caller = RawCaller::send(core.address(), chat_call("", false));
        let call = core.dispatch_next(target.address);
        core.next_start();
        core.next_end();
        core.act(CallAction::Finish { call });
        assert_eq!(caller.read_answer().status, 200);
        std::thread::sleep(Duration::from_millis(20));
    }
    let _caller = RawCaller::send(core.address(), chat_call("", false));
    core.dispatch_next(target.address);
    assert_eq!(core.next_failure(), AttemptFailure::WrongAttempt);
}

#[test]
fn late_answer_not_given_to_next_call() {
    // The target answers the first call only after the router has timed out, and the second call
    // follows at once. The late answer must not be taken for the second call's, though this target
    // does not echo attempts: the first connection must be closed.
    let target = RawTarget::start(|connection| {
        let mut number = 0;
        while connection.read_request().is_some() {
            number += 1;
            let is_first = connection.index == 0 && number == 1;
            if is_first {
                std::thread::sleep(Duration::from_millis(250));
            }
            let body = chat_answer(5, if is_first { 2 } else { 3 });
            connection.answer("200 OK", "", &body);
        }
    });
    let core = FakeCore::start();
    let mut caller = RawCaller::send(core.address(), chat_call("", false));
    let call = core.next_arrival().call;
    if let CallAction::Dispatch {
        attempt,
        target,
        address,
        output_limit,
        deadline,
        ..
    } = dispatch(&call, 0, target.address)
    {
        core.act(CallAction::Dispatch {
            attempt,
            target,
            address,
            output_limit,
            head_timeout_ms: 100,
            deadline,
            repeatable: true,
        });
    }
    assert_eq!(core.next_failure(), AttemptFailure::TimedOut);
    core.act(dispatch(&call, 1, target.address));
    core.next_start();
    assert_eq!(core.next_end().1.output, 3);
    core.act(CallAction::Finish { call });
    assert_eq!(caller.read_answer().body, chat_answer(5, 3));
}

#[test]
fn misdirected_answer_detected_by_echo() {
    // The target mixes up its connections and answers this call with another attempt's answer. The
    // echo reveals it; the answer is dropped, and the caller receives that of the next attempt.
    let target = RawTarget::start(|connection| {
        let request = connection.read_request().expect("a request");
        let own = sent_attempt(&request);
        let echo = match connection.index {
            0 => "host-a@7#99.0".to_owned(),
            _ => own,
        };
        let extra = format!("beechsaddle-attempt: {echo}\r\n");
        connection.answer("200 OK", &extra, &chat_answer(5, connection.index as u64));
        connection.await_close();
    });
    let core = FakeCore::start();
    let mut caller = RawCaller::send(core.address(), chat_call("", false));
    let call = core.dispatch_next(target.address);
    assert_eq!(core.next_failure(), AttemptFailure::WrongAttempt);
    core.act(dispatch(&call, 1, target.address));
    core.next_start();
    core.next_end();
    core.act(CallAction::Finish { call });
    assert_eq!(caller.read_answer().body, chat_answer(5, 1));
}

#[test]
fn answer_sent_twice() {
    // The target answers the first call twice on its connection. The second copy must not become
    // the answer of the next call.
    let target = RawTarget::start(|connection| {
        let mut number = 0;
        while connection.read_request().is_some() {
            number += 1;
            let is_first = connection.index == 0 && number == 1;
            let body = chat_answer(5, if is_first { 2 } else { 3 });
            connection.answer("200 OK", "", &body);
            if is_first {
                connection.answer("200 OK", "", &body);
            }
        }
    });
    let core = FakeCore::start();
    for output in [2, 3] {
        let mut caller = RawCaller::send(core.address(), chat_call("", false));
        let call = core.dispatch_next(target.address);
        core.next_start();
        assert_eq!(core.next_end().1.output, output);
        core.act(CallAction::Finish { call });
        assert_eq!(caller.read_answer().body, chat_answer(5, output));
    }
}

#[test]
fn refusal_while_attempt_runs() {
    // The core refuses a call while its target does not answer. The caller receives the refusal at
    // once, and the target's connection is closed.
    let target = RawTarget::start(|connection| {
        connection.read_request();
        connection.await_close();
        let _ = connection.read_request();
    });
    let core = FakeCore::start();
    let mut caller = RawCaller::send(core.address(), chat_call("", false));
    let call = core.dispatch_next(target.address);
    target.next_request();
    let refusal = CallRefusal::unknown(RefusalReason::DeadlineExceeded, None);
    core.act(CallAction::Refuse { call, refusal });
    let answer = caller.read_answer();
    assert_eq!(answer.status, 504);
    assert!(answer.body.contains("\"ran\":\"unknown\""), "{answer:?}");
    core.await_no_calls();
}

/// Whole answers that many targets in trouble send at once, without their end, took more memory than the
/// router's host has.
#[test]
fn answers_without_end_take_little_memory() {
    const CALLS: usize = 60;
    // Shared by all connections, so that the target itself takes no memory for each.
    static BODY: [u8; 4_000_000] = [b' '; 4_000_000];
    let target = RawTarget::start(|connection| {
        connection.read_request();
        // The router closes the connection at any moment.
        connection.write("HTTP/1.1 200 OK\r\ncontent-length: 4194304\r\n\r\n");
        connection.write(BODY.as_slice());
        connection.await_close();
    });
    let core = FakeCore::start();
    let before = resident_kb();
    let mut most = before;
    let callers = (0..CALLS).map(|_| RawCaller::send(core.address(), chat_call("", false)));
    let callers: Vec<_> = callers.collect();
    let mut failed = 0;
    let until = Instant::now() + Duration::from_secs(3);
    while Instant::now() < until {
        most = most.max(resident_kb());
        match core.events.recv_timeout(Duration::from_millis(10)) {
            Ok(CoreEvent::Call(CallEvent::Arrived(arrival))) => {
                core.act(dispatch(&arrival.call, 0, target.address));
            }
            Ok(CoreEvent::Call(CallEvent::AttemptFailed { failure, .. })) => {
                assert_eq!(failure, AttemptFailure::BadAnswer);
                failed += 1;
            }
            Ok(event) => panic!("unexpected {event:?}"),
            Err(_) => {}
        }
    }
    drop(callers);
    let used = most - before;
    println!("{used} kB, {failed} failed");
    assert!(used < 160_000, "{used} kB");
}

/// Returns the memory that this process uses, in kilobytes.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("a status");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let fields: Vec<_> = line.expect("a size").split_whitespace().collect();
    fields[1].parse().expect("a number")
}
