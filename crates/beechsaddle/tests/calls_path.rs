//! Tests of successful calls.

mod calls_support;

use beechsaddle_core::call::{AnswerEnd, CallAction, CallEvent, CallRoute, TokenUsage};
use beechsaddle_core::prelude::*;
use calls_support::*;

const USAGE: TokenUsage = TokenUsage {
    input: 5,
    output: 2,
};

fn stream_target() -> RawTarget {
    RawTarget::start(|connection| {
        while connection.read_request().is_some() {
            connection.start_chunked("text/event-stream");
            connection.chunk(&token_event("a"));
            connection.chunk(&token_event("b"));
            connection.chunk(&usage_event(5, 2));
            connection.chunk(DONE_EVENT);
            connection.end_chunks();
        }
    })
}

#[test]
fn chat_streamed() {
    let target = stream_target();
    let core = FakeCore::start();
    let mut caller = RawCaller::send(core.address(), chat_call("", true));
    let arrival = core.next_arrival();
    assert_eq!(arrival.route, CallRoute::Chat { model: "m1".into() });
    assert_eq!(arrival.output_bound, Some(9));
    assert!(arrival.input_bound >= "hello".len() as u64);
    let call = arrival.call;
    core.act(dispatch(&call, 0, target.address));
    let request = target.next_request();
    assert_eq!(sent_attempt(&request), attempt(&call, 0).to_string());
    assert!(request.contains("\"max_tokens\":64"), "{request}");
    assert!(!request.contains("\"max_tokens\":9"), "{request}");
    assert!(request.contains("\"stream_options\":{\"include_usage\":true}"));
    assert_eq!(sent_header(&request, "authorization"), None);
    assert_eq!(core.next_start(), attempt(&call, 0));
    assert_eq!(core.next_end(), (AnswerEnd::Complete, USAGE));
    core.act(CallAction::Finish { call: call.clone() });
    let answer = caller.read_answer();
    assert_eq!(answer.status, 200);
    assert_eq!(
        header(&answer.head, "beechsaddle-call"),
        Some(&*call.to_string())
    );
    let expected = token_event("a") + &token_event("b") + DONE_EVENT;
    assert_eq!(answer.body, expected);
    core.await_no_calls();
}

#[test]
fn chat_usage_requested() {
    let target = stream_target();
    let core = FakeCore::start();
    let body = "{\"model\":\"m1\",\"stream\":true,\"stream_options\":{\"include_usage\":true},\
                \"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}";
    let request = chat_head("", body.len()) + body;
    let mut caller = RawCaller::send(core.address(), request);
    let call = core.dispatch_next(target.address);
    core.next_start();
    core.next_end();
    core.act(CallAction::Finish { call });
    assert!(caller.read_answer().body.contains("\"usage\""));
}

#[test]
fn chat_buffered() {
    let target = RawTarget::start(|connection| {
        while connection.read_request().is_some() {
            connection.answer(
                "200 OK",
                "content-type: application/json\r\n",
                &chat_answer(5, 2),
            );
        }
    });
    let core = FakeCore::start();
    let mut caller = RawCaller::send(core.address(), chat_call("", false));
    let call = core.dispatch_next(target.address);
    core.next_start();
    assert_eq!(core.next_end(), (AnswerEnd::Complete, USAGE));
    core.act(CallAction::Finish { call });
    let answer = caller.read_answer();
    assert_eq!((answer.status, answer.body), (200, chat_answer(5, 2)));
    core.await_no_calls();
}

#[test]
fn plain_passed_through() {
    let target = RawTarget::start(|connection| {
        while connection.read_request().is_some() {
            let extra = "x-answer: 1\r\nkeep-alive: timeout=5\r\nbeechsaddle-attempt-x: 1\r\n";
            connection.answer("201 Created", extra, "done");
        }
    });
    let core = FakeCore::start();
    let extra = "x-own: 7\r\nconnection: x-hop\r\nx-hop: 1\r\nte: trailers\r\n\
                 beechsaddle-attempt: forged\r\nbeechsaddle-deadline-ms: 1\r\nidempotency-key: k1\r\n";
    let request = plain_call("PUT", "/a/b?c=d", extra, "payload");
    let mut caller = RawCaller::send(core.address(), request);
    let arrival = core.next_arrival();
    let service = CallRoute::Service {
        service: "desk".into(),
    };
    assert_eq!(arrival.route, service);
    core.act(dispatch_once(&arrival.call, target.address));
    let request = target.next_request();
    assert!(
        request.starts_with("PUT /a/b?c=d HTTP/1.1\r\n"),
        "{request}"
    );
    assert!(request.ends_with("\r\n\r\npayload"), "{request}");
    assert_eq!(sent_header(&request, "x-own").as_deref(), Some("7"));
    assert_eq!(
        sent_header(&request, "idempotency-key").as_deref(),
        Some("k1")
    );
    for dropped in ["authorization", "x-hop", "te", "beechsaddle-deadline-ms"] {
        assert_eq!(sent_header(&request, dropped), None, "{request}");
    }
    assert_eq!(
        sent_attempt(&request),
        attempt(&arrival.call, 0).to_string()
    );
    core.next_start();
    core.next_end();
    core.act(CallAction::Finish { call: arrival.call });
    let answer = caller.read_answer();
    assert_eq!((answer.status, answer.body.as_str()), (201, "done"));
    assert_eq!(header(&answer.head, "x-answer"), Some("1"));
    assert_eq!(header(&answer.head, "keep-alive"), None);
    assert_eq!(header(&answer.head, "beechsaddle-attempt-x"), None);
}

#[test]
fn refusal_by_core() {
    let core = FakeCore::start();
    let mut caller = RawCaller::send(core.address(), chat_call("", true));
    let call = core.next_arrival().call;
    let refusal = CallRefusal::not_run(RefusalReason::BudgetExhausted, Some(1_200));
    core.act(CallAction::Refuse {
        call: call.clone(),
        refusal,
    });
    let answer = caller.read_answer();
    assert_eq!(answer.status, 402);
    assert_eq!(header(&answer.head, "retry-after"), Some("2"));
    let text: serde_json::Value = serde_json::from_str(&answer.body).expect("JSON");
    assert_eq!(text["error"]["reason"], "budget_exhausted");
    assert_eq!(text["error"]["ran"], "no");
    assert_eq!(text["error"]["call"], call.to_string());
    core.await_no_calls();
}

#[test]
fn models_listed() {
    let core = FakeCore::start();
    let request = "GET /v1/models HTTP/1.1\r\nhost: router\r\nauthorization: Bearer key-1\r\n\r\n";
    let mut caller = RawCaller::send(core.address(), request);
    let CallEvent::ModelsQuery { call, .. } = core.next_event() else {
        panic!("expected a models query");
    };
    let models = vec!["m1".into(), "m2".into()];
    core.act(CallAction::Models { call, models });
    let answer = caller.read_answer();
    assert_eq!(answer.status, 200);
    assert!(answer.body.contains("\"id\":\"m2\""), "{}", answer.body);
}

#[test]
fn health_follows_set_serving() {
    let core = FakeCore::start();
    let request = "GET /healthz HTTP/1.1\r\nhost: router\r\n\r\n";
    assert_eq!(exchange(core.address(), request).status, 503);
    core.handle.set_serving(true);
    assert_eq!(exchange(core.address(), request).status, 200);
    core.act(CallAction::StopAccepting);
}

#[test]
fn body_after_continue() {
    let core = FakeCore::start();
    let call = chat_call("expect: 100-continue\r\n", false);
    let (head, body) = call.split_once("\r\n\r\n").expect("a head");
    let mut caller = RawCaller::send(core.address(), format!("{head}\r\n\r\n"));
    caller.read_until("100 Continue\r\n\r\n");
    caller.write(body);
    core.next_arrival();
}

#[test]
fn calls_pipelined() {
    let core = FakeCore::start();
    let call = chat_call("", false);
    let mut caller = RawCaller::send(core.address(), format!("{call}{call}"));
    for reason in [RefusalReason::NoTarget, RefusalReason::Overloaded] {
        let call = core.next_arrival().call;
        let refusal = CallRefusal::not_run(reason, None);
        core.act(CallAction::Refuse { call, refusal });
        assert!(caller.read_answer().body.contains(reason.as_str()));
    }
}
