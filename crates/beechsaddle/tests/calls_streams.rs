//! Tests of answers that are relayed while they arrive.

mod calls_support;

use std::io::{ErrorKind, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use beechsaddle::calls::CallsOptions;
use beechsaddle_core::call::{AnswerEnd, CallAction, CallEvent, TokenUsage};
use beechsaddle_core::prelude::*;
use calls_support::*;

/// A quarter of the bytes of the prompt that `chat_call` sends, rounded up.
const PROMPT_ESTIMATE: u64 = "user\nhello\n".len().div_ceil(4) as u64;

/// Relays a stream that `script` truncates and checks that the caller sees it as broken.
fn expect_truncated(script: impl Fn(&mut TargetConnection) + Send + Sync + 'static) -> TokenUsage {
    let target = RawTarget::start(script);
    let core = FakeCore::start();
    let mut caller = RawCaller::send(core.address(), chat_call("", true));
    core.dispatch_next(target.address);
    core.next_start();
    let (end, usage) = core.next_end();
    assert_eq!(end, AnswerEnd::Truncated);
    let (text, end) = caller.read_end();
    assert!(!text.contains("[DONE]"), "{text}");
    assert!(!text.contains("\r\n0\r\n"), "{text}");
    assert_eq!(end, RawEnd::Reset);
    core.await_no_calls();
    usage
}

#[test]
fn stream_cut_by_close() {
    // The engine dies after two tokens. The caller must not take them for a complete answer: no
    // [DONE], no last chunk, and the connection ends in a reset.
    let usage = expect_truncated(|connection| {
        connection.read_request();
        connection.start_chunked("text/event-stream");
        connection.chunk(&token_event("a"));
        connection.chunk(&token_event("b"));
        std::thread::sleep(Duration::from_millis(30));
    });
    assert_eq!(
        usage,
        TokenUsage {
            input: PROMPT_ESTIMATE,
            output: 2
        }
    );
}

#[test]
fn stream_ended_without_done() {
    // The engine ends its body properly but without [DONE], as when a worker dies behind a front
    // end that stays up. The HTTP body is complete; the event stream is not.
    expect_truncated(|connection| {
        connection.read_request();
        connection.start_chunked("text/event-stream");
        connection.chunk(&token_event("a"));
        connection.end_chunks();
        connection.await_close();
    });
}

#[test]
fn stream_broken_chunk() {
    expect_truncated(|connection| {
        connection.read_request();
        connection.start_chunked("text/event-stream");
        connection.chunk(&token_event("a"));
        connection.write("zz\r\n");
        connection.await_close();
    });
}

#[test]
fn stream_stalled() {
    let target = RawTarget::start(|connection| {
        connection.read_request();
        connection.start_chunked("text/event-stream");
        connection.chunk(&token_event("a"));
        connection.await_close();
    });
    let options = CallsOptions {
        answer_idle_ms: 150,
        ..CallsOptions::default()
    };
    let core = FakeCore::start_with(options, 64);
    let mut caller = RawCaller::send(core.address(), chat_call("", true));
    core.dispatch_next(target.address);
    core.next_start();
    assert_eq!(core.next_end().0, AnswerEnd::Truncated);
    assert_eq!(caller.read_end().1, RawEnd::Reset);
}

#[test]
fn plain_short_of_length() {
    // A plain service announces more bytes than it sends. The first part was already relayed, so
    // the caller must see that the remainder is missing.
    let target = RawTarget::start(|connection| {
        connection.read_request();
        let part = "x".repeat(100_000);
        connection.write(format!(
            "HTTP/1.1 200 OK\r\ncontent-length: 200000\r\n\r\n{part}"
        ));
        std::thread::sleep(Duration::from_millis(30));
    });
    let core = FakeCore::start();
    let mut caller = RawCaller::send(core.address(), plain_call("GET", "/", "", ""));
    core.dispatch_next(target.address);
    core.next_start();
    let reading = std::thread::spawn(move || caller.read_end());
    assert_eq!(core.next_end().0, AnswerEnd::Truncated);
    assert_eq!(reading.join().expect("a reader").1, RawEnd::Reset);
}

#[test]
fn last_part_held_until_finish() {
    // The answer is complete, but its usage is not recorded yet. If the router died now, a caller
    // that had the whole answer would not be billed, so the end waits for the core.
    let target = RawTarget::start(|connection| {
        connection.read_request();
        connection.start_chunked("text/event-stream");
        connection.chunk(&(token_event("a") + &usage_event(5, 1) + DONE_EVENT));
        connection.end_chunks();
        connection.await_close();
    });
    let core = FakeCore::start();
    let mut caller = RawCaller::send(core.address(), chat_call("", true));
    let call = core.dispatch_next(target.address);
    core.next_start();
    assert_eq!(core.next_end().0, AnswerEnd::Complete);
    caller.read_until("\"a\"");
    let short = Duration::from_millis(150);
    caller
        .stream
        .set_read_timeout(Some(short))
        .expect("a timeout");
    let (text, end) = caller.read_end();
    assert_eq!(end, RawEnd::Open);
    assert!(!text.contains("[DONE]"), "{text}");
    core.act(CallAction::Finish { call });
    caller
        .stream
        .set_read_timeout(Some(WAIT_LIMIT))
        .expect("a timeout");
    caller.read_until("[DONE]");
    caller.read_until("\r\n0\r\n\r\n");
}

#[test]
fn last_bytes_held_until_finish() {
    let target = RawTarget::start(|connection| {
        connection.read_request();
        connection.answer("200 OK", "", &"x".repeat(200_000));
        connection.await_close();
    });
    let core = FakeCore::start();
    let mut caller = RawCaller::send(core.address(), plain_call("GET", "/", "", ""));
    let call = core.dispatch_next(target.address);
    core.next_start();
    caller.read_until("\r\n\r\n");
    let short = Duration::from_millis(150);
    caller
        .stream
        .set_read_timeout(Some(short))
        .expect("a timeout");
    let (text, end) = caller.read_end();
    assert_eq!(core.next_end().0, AnswerEnd::Complete);
    assert_eq!(end, RawEnd::Open);
    assert!(text.len() < 200_000);
    core.act(CallAction::Finish { call });
    let (remaining, _) = caller.read_end();
    assert_eq!(text.len() + remaining.len(), 200_000);
}

#[test]
fn abort_truncates_stream() {
    let target = RawTarget::start(|connection| {
        connection.read_request();
        connection.start_chunked("text/event-stream");
        connection.chunk(&token_event("a"));
        connection.await_close();
    });
    let core = FakeCore::start();
    let mut caller = RawCaller::send(core.address(), chat_call("", true));
    let call = core.dispatch_next(target.address);
    core.next_start();
    caller.read_until("\"a\"");
    core.act(CallAction::Abort { call });
    assert_eq!(core.next_end().0, AnswerEnd::Truncated);
    assert_eq!(caller.read_end().1, RawEnd::Reset);
}

#[test]
fn events_split_anywhere() {
    // The engine's events arrive in pieces of one byte. No event may be lost, duplicated or
    // released early, and the usage must be found.
    let target = RawTarget::start(|connection| {
        connection.read_request();
        connection.start_chunked("text/event-stream");
        let text = format!(
            ": ping\r\n\r\nevent: x\ndata: 1\n\n{}{}{}",
            token_event("a"),
            usage_event(5, 1),
            DONE_EVENT
        );
        for piece in text.split("").filter(|piece| !piece.is_empty()) {
            connection.chunk(piece);
        }
        connection.end_chunks();
        connection.await_close();
    });
    let core = FakeCore::start();
    let mut caller = RawCaller::send(core.address(), chat_call("", true));
    let call = core.dispatch_next(target.address);
    core.next_start();
    let usage = TokenUsage {
        input: 5,
        output: 1,
    };
    assert_eq!(core.next_end(), (AnswerEnd::Complete, usage));
    core.act(CallAction::Finish { call });
    let expected = format!(
        ": ping\r\n\r\nevent: x\ndata: 1\n\n{}{DONE_EVENT}",
        token_event("a")
    );
    assert_eq!(caller.read_answer().body, expected);
}

#[test]
fn progress_reported() {
    let target = RawTarget::start(|connection| {
        connection.read_request();
        connection.start_chunked("text/event-stream");
        for _ in 0..13 {
            connection.chunk(&token_event("a"));
            std::thread::sleep(Duration::from_millis(100));
        }
        connection.await_close();
    });
    let core = FakeCore::start();
    let _caller = RawCaller::send(core.address(), chat_call("", true));
    core.dispatch_next(target.address);
    core.next_start();
    let event = core.events.recv_timeout(WAIT_LIMIT).expect("an event");
    let CoreEvent::Call(CallEvent::AnswerProgress { usage, .. }) = event else {
        panic!("expected progress, got {event:?}");
    };
    assert!((8..=12).contains(&usage.output), "{usage:?}");
}

#[test]
fn caller_hangs_up_within_stream() {
    // The caller disconnects after the first token. The engine's connection must be closed at once,
    // or the engine would go on generating without a reader; the tokens used are billed.
    let target = RawTarget::start(|connection| {
        connection.read_request();
        connection.start_chunked("text/event-stream");
        connection.chunk(&token_event("a"));
        connection.await_close();
        let _ = connection.stream.shutdown(std::net::Shutdown::Both);
        connection.report_closed();
    });
    let core = FakeCore::start();
    let mut caller = RawCaller::send(core.address(), chat_call("", true));
    core.dispatch_next(target.address);
    core.next_start();
    target.next_request();
    caller.read_until("\"a\"");
    let start = Instant::now();
    caller.hang_up();
    let usage = TokenUsage {
        input: PROMPT_ESTIMATE,
        output: 1,
    };
    assert_eq!(core.next_end(), (AnswerEnd::CallerGone, usage));
    assert_eq!(target.next_request(), "closed");
    assert!(start.elapsed() < Duration::from_millis(500));
    core.await_no_calls();
}

#[test]
fn caller_hangs_up_before_head() {
    let target = RawTarget::start(|connection| {
        connection.read_request();
        connection.await_close();
        connection.report_closed();
    });
    let core = FakeCore::start();
    let caller = RawCaller::send(core.address(), chat_call("", true));
    core.dispatch_next(target.address);
    target.next_request();
    caller.hang_up();
    let nothing = TokenUsage::default();
    assert_eq!(core.next_end(), (AnswerEnd::CallerGone, nothing));
    assert_eq!(target.next_request(), "closed");
    core.await_no_calls();
}

#[test]
fn caller_hangs_up_before_dispatch() {
    // The caller disconnects before the core has decided. A dispatch that crosses this event must
    // not be carried out: the core was informed that nothing ran.
    let target = RawTarget::start(|connection| {
        connection.read_request();
    });
    let core = FakeCore::start();
    let caller = RawCaller::send(core.address(), chat_call("", true));
    let call = core.next_arrival().call;
    caller.hang_up();
    assert_eq!(
        core.next_event(),
        CallEvent::CallerGone {
            call: call.clone(),
            last_attempt: None
        }
    );
    core.act(dispatch(&call, 0, target.address));
    core.expect_no_event(Duration::from_millis(100));
    assert_eq!(target.more_requests(), 0);
}

/// Starts a target that streams without end and counts the bytes written.
fn flooding_target(written: Arc<AtomicUsize>, is_closed: Arc<AtomicBool>) -> RawTarget {
    RawTarget::start(move |connection| {
        connection.read_request();
        connection.start_chunked("text/event-stream");
        let event = token_event(&"x".repeat(1_000));
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        loop {
            match connection.stream.write(chunk.as_bytes()) {
                Ok(count) if count == chunk.len() => {
                    written.fetch_add(count, Ordering::Relaxed);
                }
                Ok(_) => {}
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return is_closed.store(true, Ordering::Relaxed),
            }
        }
    })
}

#[test]
fn slow_reader_applies_back_pressure() {
    // The caller stops reading while the engine could send without end. The engine must be slowed
    // down by back-pressure on its own connection; otherwise the router would buffer the stream
    // until it is killed.
    let written = Arc::new(AtomicUsize::new(0));
    let target = flooding_target(Arc::clone(&written), Arc::default());
    let core = FakeCore::start();
    let mut caller = RawCaller::send(core.address(), chat_call("", true));
    core.dispatch_next(target.address);
    core.next_start();
    caller.read_until("data:");
    let mut before = usize::MAX;
    let deadline = Instant::now() + WAIT_LIMIT;
    while written.load(Ordering::Relaxed) != before {
        assert!(Instant::now() < deadline, "the target is never slowed down");
        before = written.load(Ordering::Relaxed);
        std::thread::sleep(Duration::from_millis(250));
    }
    // Most of this is held by the host's socket buffers, on both sides of the router.
    let limit = 24 * 1_024 * 1_024;
    assert!(before < limit, "{before} bytes were taken");
    println!("taken from the target: {before} bytes");
}

#[test]
fn stalled_reader_cut() {
    // The caller never reads on. After the time limit without progress its connection is closed, so
    // that it cannot occupy an engine's slot and a reservation forever.
    let is_closed = Arc::new(AtomicBool::new(false));
    let target = flooding_target(Arc::default(), Arc::clone(&is_closed));
    let options = CallsOptions {
        write_stall_ms: 200,
        ..CallsOptions::default()
    };
    let core = FakeCore::start_with(options, 64);
    let _caller = RawCaller::send(core.address(), chat_call("", true));
    core.dispatch_next(target.address);
    core.next_start();
    assert_eq!(core.next_end().0, AnswerEnd::CallerGone);
    let deadline = Instant::now() + WAIT_LIMIT;
    while !is_closed.load(Ordering::Relaxed) {
        assert!(Instant::now() < deadline, "the target keeps writing");
        std::thread::sleep(Duration::from_millis(2));
    }
}

#[test]
fn stream_continues_after_usage() {
    // The caller requested the usage; the engine reports it early and then sends on without end.
    // Events after the usage are held back until the answer ends, and must not fill the router's
    // memory.
    let target = RawTarget::start(|connection| {
        connection.read_request();
        connection.start_chunked("text/event-stream");
        connection.chunk(&token_event("a"));
        let usage = "{\"prompt_tokens\":5,\"completion_tokens\":1}";
        connection.chunk(&format!("data: {{\"choices\":[],\"usage\":{usage}}}\n\n"));
        while connection.chunk(&token_event(&"x".repeat(8_192))) {}
    });
    let body = "{\"model\":\"m1\",\"stream\":true,\"stream_options\":{\"include_usage\":true},\
                \"max_tokens\":9,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}";
    let core = FakeCore::start();
    let mut caller = RawCaller::send(core.address(), chat_head("", body.len()) + body);
    core.dispatch_next(target.address);
    core.next_start();
    assert_eq!(core.next_end().0, AnswerEnd::Truncated);
    assert_eq!(caller.read_end().1, RawEnd::Reset);
}
