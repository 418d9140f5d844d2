//! Tests of plain calls through a gateway.

mod gateway_support;

use std::time::Duration;

use beechsaddle_platform_stand_in::{CallRequest, StoreStandIn, TargetFault, TargetStandIn, call};
use gateway_support::{GatewayBench, GatewayProcess, KEY, draft, request, wait_for};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const AMPLE: u64 = 1_000_000;

fn set_faults(targets: &[TargetStandIn], fault: TargetFault) {
    targets.iter().for_each(|target| target.set_fault(fault));
}

#[tokio::test]
async fn plain_call_passes_unchanged() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    let mut call = request("POST /order/7?x=%2f&y", "call-1");
    call.body = b"two crates".to_vec();
    call.extra_headers = vec![
        "X-Own: kept".to_owned(),
        "Connection: X-Hop".to_owned(),
        "X-Hop: dropped".to_owned(),
    ];
    call.claim_workspace("forged");
    let reply = bench.router.call(&call).await;
    assert_eq!(reply.status, 200);
    let runs: Vec<_> = bench.plain.iter().flat_map(TargetStandIn::runs).collect();
    assert_eq!(runs.len(), 1);
    let run = &runs[0];
    assert_eq!(run.first_line, "POST /order/7?x=%2f&y HTTP/1.1");
    assert_eq!(run.body, b"two crates");
    assert_eq!(run.headers["x-own"], "kept");
    assert_eq!(run.workspace(), "acme");
    assert_eq!(run.request_id(), "call-1");
    assert!(!run.headers.contains_key("authorization"));
    assert!(!run.headers.contains_key("x-hop"));
    assert!(run.target().starts_with("plain-"));
    let left = run.deadline_ms().expect("a deadline");
    assert!((4_000..=5_000).contains(&left), "{left} ms were passed on");
    assert!(reply.seal().starts_with("seal-plain-"));
}

/// Invalid input is not forwarded: a missing id, an unknown path or key, a body over the limit or a
/// bad token count is refused once, reaches no target and spends no token.
#[tokio::test]
async fn bad_input_is_refused_and_reaches_no_target() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    let missing_id = CallRequest::new("GET /get/1", "", KEY);
    let wrong_key = CallRequest::new("GET /get/1", "call-2", "no such key");
    let unknown_route = request("GET /nowhere/1", "call-3");
    let mut large = request("POST /order/1", "call-4");
    large.body = vec![b'x'; 70_000];
    let mut bad_tokens = request("POST /stream/on/1", "call-6");
    bad_tokens.set_token_usage("many");
    let cases = [
        (missing_id, 400),
        (wrong_key, 401),
        (unknown_route, 404),
        (large, 413),
        (bad_tokens, 400),
    ];
    for (call, status) in cases {
        let reply = bench.router.call(&call).await;
        assert_eq!(reply.status, status, "{} {}", call.line, call.id);
        assert!(reply.body.contains("\"reason\""), "{}", reply.body);
    }
    assert_eq!(GatewayBench::arrival_count(&bench.plain), 0);
    assert_eq!(GatewayBench::arrival_count(&bench.engines), 0);
}

/// Request smuggling: a request has both `Content-Length` and chunked framing. The chunked framing
/// counts (RFC 9112, section 6.3), so the target receives one body with one length and no second
/// request.
#[tokio::test]
async fn conflicting_lengths_smuggle_no_request() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    let mut call = request("POST /order/1", "call-1");
    call.extra_headers = vec!["Transfer-Encoding: chunked".to_owned()];
    call.body = b"3\r\nabc\r\n0\r\n\r\n".to_vec();
    let reply = bench.router.call(&call).await;
    assert_eq!(reply.status, 200);
    let runs: Vec<_> = bench.plain.iter().flat_map(TargetStandIn::runs).collect();
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].body, b"abc");
    assert_eq!(runs[0].headers["content-length"], "3");
    assert!(!runs[0].headers.contains_key("transfer-encoding"));
}

#[tokio::test]
async fn no_config_is_refused_as_not_run() {
    let store = StoreStandIn::try_start().await.expect("a store");
    let router = GatewayProcess::start(store.address(), "host-1", "north");
    wait_for("a listener", || async {
        beechsaddle_platform_stand_in::call(router.address, &request("GET /get/1", "call-1"))
            .await
            .is_ok()
    })
    .await;
    let reply = router.call(&request("GET /get/1", "call-1")).await;
    assert_eq!(reply.status, 503);
    assert!(reply.headers.contains_key("retry-after"));
    assert!(!router.is_ready().await);
}

/// One target fails a call of an idempotent route. The call is retried at the other target, and the
/// caller does not see the failure.
#[tokio::test]
async fn idempotent_failed_is_served_by_another() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    bench.plain[0].set_fault(TargetFault::Failing);
    for number in 0..8 {
        let call = request(&format!("GET /get/{number}"), &format!("call-{number}"));
        let reply = bench.router.call(&call).await;
        assert_eq!((reply.status, reply.body.as_str()), (200, "plain-2"));
    }
}

/// If all targets fail, the failure is not hidden: the caller gets a target's own status and
/// signature.
#[tokio::test]
async fn idempotent_failed_everywhere_passes_the_failure_on() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    set_faults(&bench.plain, TargetFault::Failing);
    let reply = bench.router.call(&request("GET /get/1", "call-1")).await;
    assert_eq!((reply.status, reply.body.as_str()), (500, "broken"));
    assert!(!reply.seal().is_empty());
    assert_eq!(GatewayBench::run_count(&bench.plain), 2);
}

/// A target runs a non-repeatable call and closes the connection. The caller must not be told that
/// it did not run, and no other target may receive it.
#[tokio::test]
async fn not_repeatable_cut_is_unknown_and_runs_once() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    set_faults(&bench.plain, TargetFault::Disconnecting);
    let reply = bench.router.call(&request("POST /order/1", "call-1")).await;
    assert_eq!(reply.status, 502);
    assert!(!reply.headers.contains_key("retry-after"));
    assert_eq!(GatewayBench::run_count(&bench.plain), 1);
    let line = bench.router.wait_log(&["event=call ", "call-1"]).await;
    assert!(line.contains("outcome=outcome_unknown"), "{line}");
}

/// When no target runs a non-repeatable call, the refusal says that the call did not run and when
/// to retry.
#[tokio::test]
async fn not_repeatable_full_is_refused_as_not_run() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    for fault in [TargetFault::Full, TargetFault::Misdirected] {
        set_faults(&bench.plain, fault);
        let reply = bench.router.call(&request("POST /order/1", "call-1")).await;
        assert_eq!(reply.status, 503, "{fault:?}");
        assert!(reply.headers.contains_key("retry-after"));
    }
    assert_eq!(GatewayBench::run_count(&bench.plain), 0);
}

/// Invalid responses reach no caller: one with the id of another call, one without a signature and
/// a truncated one.
#[tokio::test]
async fn invalid_answers_reach_no_caller() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    let faults = [
        TargetFault::WrongId,
        TargetFault::Unsealed,
        TargetFault::TruncatedResponse,
    ];
    for fault in faults {
        set_faults(&bench.plain, fault);
        let reply = bench.router.call(&request("POST /order/1", "call-1")).await;
        assert_eq!(reply.status, 502, "{fault:?}");
        assert!(reply.body.contains("outcome_unknown"), "{}", reply.body);
    }
}

/// A target sends a surplus response after each response. It is still on the reused connection when
/// the next call is sent, and must not be taken for the answer to that call.
#[tokio::test]
async fn surplus_answer_reaches_no_later_call() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    set_faults(&bench.plain, TargetFault::SurplusResponse);
    for number in 0..20 {
        let call = request("GET /get/1", &format!("call-{number}"));
        let reply = bench.router.call(&call).await;
        assert_ne!(reply.body, "once more");
        assert_eq!(reply.status, 200);
        assert_eq!(reply.request_id(), call.id);
    }
}

#[tokio::test]
async fn connections_to_targets_are_reused() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    for number in 0..20 {
        bench
            .router
            .call(&request("POST /order/1", &format!("call-{number}")))
            .await;
    }
    let made: u64 = bench.plain.iter().map(TargetStandIn::connections).sum();
    assert!(made <= 4, "{made} connections for 20 calls in a row");
}

/// When a caller disconnects, the target sees its connection close and can stop its work, and the
/// router logs the disconnect.
#[tokio::test]
async fn caller_gone_ends_the_targets_work() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    for target in &bench.plain {
        target.set_response_delay(Duration::from_secs(4));
    }
    let call = request("POST /order/1", "call-1");
    let mut stream = TcpStream::connect(bench.router.address)
        .await
        .expect("a connection");
    stream.write_all(&call.bytes()).await.expect("a call");
    wait_for("an arrival", || async {
        GatewayBench::arrival_count(&bench.plain) == 1
    })
    .await;
    drop(stream);
    wait_for("an end of the work", || async {
        let mut runs = bench.plain.iter().flat_map(TargetStandIn::runs);
        runs.any(|run| run.is_cancelled)
    })
    .await;
    let line = bench.router.wait_log(&["event=call ", "call-1"]).await;
    assert!(line.contains("outcome=caller_gone"), "{line}");
}

/// A silent target is abandoned early: an idempotent call is retried while the other target can
/// still answer within the objective.
#[tokio::test]
async fn idempotent_silent_target_is_given_up_early() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    bench.plain[0].set_fault(TargetFault::Silent);
    for number in 0..6 {
        let call = request("GET /get/1", &format!("call-{number}"));
        let started = std::time::Instant::now();
        let reply = bench.router.call(&call).await;
        assert_eq!(reply.status, 200);
        assert!(started.elapsed() < Duration::from_secs(1));
    }
}

/// One late response does not eject a target: the call is sent to the other target as well, which
/// answers first, and the late target keeps receiving calls.
#[tokio::test]
async fn idempotent_late_answer_ejects_no_target() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    for target in &bench.plain {
        target.set_response_delay(Duration::from_millis(250));
    }
    let address = bench.router.address;
    let reply = tokio::spawn(async move { call(address, &request("GET /get/1", "late")).await });
    wait_for("an arrival", || async {
        GatewayBench::arrival_count(&bench.plain) == 1
    })
    .await;
    // Only the response to the call that has arrived is late.
    for target in &bench.plain {
        target.set_response_delay(Duration::ZERO);
    }
    let reply = reply.await.expect("a reply").expect("an answer");
    assert_eq!(reply.status, 200);
    bench
        .router
        .wait_log(&["attempt_ended", "late", "end=silent"])
        .await;
    assert!(bench.router.log_lines(&["target_ejected"]).is_empty());
}

/// A late response is forwarded if it comes before that of the target that was tried beside it, and
/// ejects neither of them.
#[tokio::test]
async fn idempotent_late_answer_is_forwarded() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    for target in &bench.plain {
        target.set_response_delay(Duration::from_millis(250));
    }
    let reply = bench.router.call(&request("GET /get/1", "late")).await;
    assert_eq!(reply.status, 200);
    let ended = ["attempt_ended", "late", "end=superseded"];
    let line = bench.router.wait_log(&ended).await;
    assert!(!line.contains(&reply.body), "{line}");
    assert!(bench.router.log_lines(&["target_ejected"]).is_empty());
}

/// Another target has the address of a target that left, and the store does not show it yet. The
/// first call is rejected there and retried elsewhere; later calls do not use the address again at
/// once.
#[tokio::test]
async fn misdirected_address_is_not_retried_at_once() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    bench.plain[0].set_fault(TargetFault::Misdirected);
    // Slow enough that the other address looks like the better choice each time.
    bench.plain[1].set_response_delay(Duration::from_millis(60));
    for number in 0..10 {
        let call = request(&format!("GET /get/{number}"), &format!("call-{number}"));
        let reply = bench.router.call(&call).await;
        assert_eq!((reply.status, reply.body.as_str()), (200, "plain-2"));
    }
    let arrivals = bench.plain[0].runs().len();
    assert!(arrivals <= 2, "{arrivals} calls went to the address");
}
