//! Tests of requests that the edge refuses by itself.
//!
//! Malformed or oversized requests get an answer with a reason, are reported to the core to be
//! counted, reach the core as no call, and leave the router serving.

mod calls_support;

use std::time::Duration;

use beechsaddle::calls::CallsOptions;
use beechsaddle_core::prelude::*;
use calls_support::*;

/// Sends a request that must be refused, and checks that the next one is accepted.
fn expect_refusal(request: impl AsRef<[u8]>, status: u16, reason: RefusalReason, expected: &str) {
    let core = FakeCore::start();
    let answer = exchange(core.address(), request);
    assert_eq!(answer.status, status, "{answer:?}");
    assert!(answer.body.contains(reason.as_str()), "{answer:?}");
    assert!(answer.body.contains(expected), "{answer:?}");
    assert!(answer.body.contains("\"ran\":\"no\""), "{answer:?}");
    assert_eq!(core.next_rejection(), reason);
    let _caller = RawCaller::send(core.address(), chat_call("", false));
    core.next_arrival();
}

fn expect_bad_body(body: impl AsRef<[u8]>, expected: &str) {
    let mut request = chat_head("", body.as_ref().len()).into_bytes();
    request.extend_from_slice(body.as_ref());
    expect_refusal(request, 400, RefusalReason::BadRequest, expected);
}

fn expect_bad_member(member: &str, expected: &str) {
    let body = format!(
        "{{\"model\":\"m1\",{member},\"messages\":[{{\"role\":\"user\",\"content\":\"x\"}}]}}"
    );
    expect_bad_body(body, expected);
}

fn expect_bad_header(extra: &str, expected: &str) {
    expect_refusal(
        chat_call(extra, false),
        400,
        RefusalReason::BadRequest,
        expected,
    );
}

#[test]
fn head_garbage() {
    let core = FakeCore::start();
    let mut caller = RawCaller::send(core.address(), b"\x16\x03\x01\x02garbage\r\n\r\n");
    let answer = caller.read_answer();
    assert_eq!(answer.status, 400);
    assert_eq!(caller.read_end().1, RawEnd::Closed);
    assert_eq!(core.next_rejection(), RefusalReason::BadRequest);
}

#[test]
fn head_too_large() {
    let core = FakeCore::start();
    let flood = format!("x-flood: {}\r\n", "a".repeat(64 * 1_024));
    let mut caller = RawCaller::connect(core.address());
    caller.write(chat_call(&flood, false));
    assert_eq!(caller.read_answer().status, 431);
    assert_eq!(core.next_rejection(), RefusalReason::BadRequest);
}

#[test]
fn head_too_many_headers() {
    let core = FakeCore::start();
    let flood: String = (0..100).map(|index| format!("x-{index}: a\r\n")).collect();
    let answer = exchange(core.address(), chat_call(&flood, false));
    assert_eq!(answer.status, 431);
    assert_eq!(core.next_rejection(), RefusalReason::BadRequest);
}

#[test]
fn head_lengths_conflict() {
    let core = FakeCore::start();
    let request = chat_call("content-length: 3\r\n", false);
    assert_eq!(exchange(core.address(), request).status, 400);
    assert_eq!(core.next_rejection(), RefusalReason::BadRequest);
}

#[test]
fn headers_duplicate() {
    expect_bad_header(
        "authorization: Bearer key-2\r\n",
        "authorization comes twice",
    );
    expect_bad_header(
        "idempotency-key: a\r\nIdempotency-Key: b\r\n",
        "idempotency-key comes twice",
    );
    expect_bad_header(
        "beechsaddle-budget: a\r\nbeechsaddle-budget: a\r\n",
        "beechsaddle-budget comes twice",
    );
    expect_bad_header(
        "beechsaddle-timeout-ms: 1\r\nbeechsaddle-timeout-ms: 2\r\n",
        "beechsaddle-timeout-ms comes twice",
    );
}

#[test]
fn headers_all_findings() {
    let extra = "beechsaddle-timeout-ms: soon\r\nbeechsaddle-repeatable: maybe\r\n";
    expect_bad_header(extra, "beechsaddle-timeout-ms must");
    expect_bad_header(extra, "beechsaddle-repeatable must");
}

#[test]
fn key_missing() {
    let request = "POST /v1/chat/completions HTTP/1.1\r\nhost: r\r\ncontent-length: 2\r\n\r\n{}";
    expect_refusal(request, 401, RefusalReason::UnknownKey, "bearer key");
    let request = request.replace("host: r", "host: r\r\nauthorization: Basic a2V5");
    expect_refusal(request, 401, RefusalReason::UnknownKey, "bearer key");
}

#[test]
fn budget_name_invalid() {
    for text in ["", "a b", "a/b", "\u{e9}", &"b".repeat(65)] {
        let extra = format!("beechsaddle-budget: {text}\r\n");
        expect_bad_header(&extra, "beechsaddle-budget must");
    }
}

#[test]
fn idempotency_key_invalid() {
    let long = format!("idempotency-key: {}\r\n", "k".repeat(129));
    expect_bad_header(&long, "idempotency-key must");
    expect_bad_header("idempotency-key: k\u{e9}\r\n", "printable ASCII");
    expect_bad_header("beechsaddle-repeatable: no\r\n", "needs an Idempotency-Key");
}

#[test]
fn body_not_text() {
    expect_bad_body(b"{\"model\":\"\xff\"}", "not UTF-8 at byte 10");
    expect_bad_body("{\"model\":", "JSON object");
    expect_bad_body("[1]", "JSON object");
    expect_bad_body("", "JSON object");
    expect_bad_body("[".repeat(100_000), "JSON object");
}

#[test]
fn body_members_missing() {
    expect_bad_body("{\"messages\":[{\"role\":\"user\"}]}", "model is missing");
    expect_bad_body("{\"model\":\"m1\"}", "messages is missing");
    expect_bad_body("{\"model\":\"m1\",\"messages\":[]}", "must not be empty");
    expect_bad_body(
        "{\"model\":\"m1\",\"messages\":[{}]}",
        "messages[0]: role is missing",
    );
    expect_bad_body(
        "{\"model\":7,\"messages\":[{\"role\":\"user\"}]}",
        "model must be text",
    );
}

#[test]
fn body_members_unbounded() {
    expect_bad_member("\"n\":2", "n is not served");
    expect_bad_member("\"best_of\":3", "best_of is not served");
    expect_bad_member("\"chat_template\":\"{{x}}\"", "chat_template is not served");
    expect_bad_member("\"max_tokens\":0", "at least 1");
    expect_bad_member("\"max_tokens\":-4", "max_tokens");
    expect_bad_member("\"max_tokens\":1e30", "max_tokens");
    expect_bad_member("\"max_tokens\":3,\"max_completion_tokens\":4", "differ");
    expect_bad_member("\"stream\":\"yes\"", "stream");
}

#[test]
fn body_members_duplicate() {
    expect_bad_member(
        "\"max_tokens\":3,\"max_tokens\":4000",
        "max_tokens comes twice",
    );
    expect_bad_member(
        "\"max_tokens\":3,\"max\\u005ftokens\":4000",
        "max_tokens comes twice",
    );
}

#[test]
fn body_members_flood() {
    let flood: Vec<String> = (0..300).map(|index| format!("\"x{index}\":1")).collect();
    expect_bad_member(&flood.join(","), "at most 256 members");
}

#[test]
fn body_images() {
    let body = "{\"model\":\"m1\",\"messages\":[{\"role\":\"user\",\"content\":\
                [{\"type\":\"image_url\",\"image_url\":{\"url\":\"data:\"}}]}]}";
    expect_bad_body(body, "image_url are not served");
}

#[test]
fn body_too_large() {
    // The caller writes its whole body before it reads. The router refuses at the head, reads on
    // within limits and closes only then; closing with unread bytes would reset the connection, and
    // the caller would fail in writing instead of reading the 413.
    let options = CallsOptions {
        body_bytes: 1_000,
        ..CallsOptions::default()
    };
    let core = FakeCore::start_with(options, 64);
    let body = "x".repeat(8_000_000);
    let mut caller = RawCaller::send(core.address(), chat_head("", body.len()) + &body);
    let answer = caller.read_answer();
    assert_eq!(answer.status, 413);
    assert_eq!(header(&answer.head, "connection"), Some("close"));
    assert_eq!(core.next_rejection(), RefusalReason::BodyTooLarge);
}

#[test]
fn body_too_large_chunked() {
    let options = CallsOptions {
        body_bytes: 1_000,
        ..CallsOptions::default()
    };
    let core = FakeCore::start_with(options, 64);
    let head = chat_head("", 0).replace("content-length: 0", "transfer-encoding: chunked");
    let mut caller = RawCaller::send(core.address(), head);
    caller.write(format!("7d0\r\n{}\r\n", "x".repeat(2_000)));
    assert_eq!(caller.read_answer().status, 413);
    assert_eq!(core.next_rejection(), RefusalReason::BodyTooLarge);
}

#[test]
fn body_stalls() {
    let options = CallsOptions {
        body_timeout_ms: 100,
        ..CallsOptions::default()
    };
    let core = FakeCore::start_with(options, 64);
    let mut caller = RawCaller::send(core.address(), chat_head("", 50) + "{\"model\"");
    assert_eq!(caller.read_answer().status, 408);
    assert_eq!(caller.read_end().1, RawEnd::Closed);
    assert_eq!(core.next_rejection(), RefusalReason::BodyTimeout);
}

#[test]
fn body_breaks_off() {
    let core = FakeCore::start();
    let caller = RawCaller::send(core.address(), chat_head("", 50) + "{\"model\"");
    caller.hang_up();
    assert_eq!(core.next_rejection(), RefusalReason::BadRequest);
    core.expect_no_event(Duration::from_millis(50));
    assert_eq!(core.handle.open_calls(), 0);
    let _caller = RawCaller::send(core.address(), chat_call("", false));
    core.next_arrival();
}

#[test]
fn path_invalid() {
    let reason = RefusalReason::BadRequest;
    for path in ["/a/../b", "/%2e%2E/b", "/./b", "/a/.%2e"] {
        expect_refusal(
            plain_call("GET", path, "", ""),
            400,
            reason,
            "must not contain",
        );
    }
    let empty = plain_call("GET", "", "", "").replace("/svc/desk", "/svc/");
    expect_refusal(empty, 400, reason, "/svc/<service>/<path>");
    let other = plain_call("GET", "", "", "").replace("/svc/desk", "/other");
    expect_refusal(other, 404, RefusalReason::UnknownService, "no such path");
    let wrong_method = chat_call("", false).replace("POST", "PUT");
    expect_refusal(wrong_method, 400, reason, "use POST");
}

#[test]
fn version_old() {
    let request = chat_call("", false).replace("HTTP/1.1", "HTTP/1.0");
    expect_refusal(request, 400, RefusalReason::BadRequest, "HTTP/1.1");
}

#[test]
fn path_head_method() {
    let core = FakeCore::start();
    let target = RawTarget::start(|connection| {
        connection.read_request();
        connection.write("HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n");
        connection.await_close();
    });
    let mut caller = RawCaller::send(core.address(), plain_call("HEAD", "", "", ""));
    let call = core.dispatch_next(target.address);
    assert!(target.next_request().starts_with("HEAD / HTTP/1.1"));
    core.next_start();
    core.next_end();
    core.act(beechsaddle_core::call::CallAction::Finish { call });
    let head = caller.read_until("\r\n\r\n").to_ascii_lowercase();
    assert_eq!(header(&head, "content-length"), Some("99"));
}
