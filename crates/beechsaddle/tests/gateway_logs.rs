//! Tests of what an engineer on call needs to find: the log lines of a failed call, and the
//! metrics.

mod gateway_support;

use std::collections::BTreeSet;

use beechsaddle_platform_stand_in::{CallRequest, TargetFault, call};
use gateway_support::{GatewayBench, KEY, draft, request};

const AMPLE: u64 = 1_000_000;

fn stream_request(id: &str, tokens: u64) -> CallRequest {
    let mut call = request("POST /stream/on/1", id);
    call.tokens = Some((tokens, 20));
    call
}

/// A budget refusal can be traced: the call's id leads to one line with the workspace, the tokens
/// requested and the wait, and the workspace leads to what was taken when.
#[tokio::test]
async fn budget_refusal_is_traceable_to_the_ledger() {
    let bench = GatewayBench::start(&draft(1, 10_000)).await;
    for number in 0..6 {
        let id = format!("complaint-{number}");
        bench.router.call(&stream_request(&id, 50_000)).await;
        tokio::time::sleep(std::time::Duration::from_millis(700)).await;
    }
    let line = bench.router.wait_log(&["event=call ", "complaint-5"]).await;
    for field in ["workspace=acme", "tokens=50020", "outcome=budget_exhausted"] {
        assert!(line.contains(field), "no {field} in {line}");
    }
    let line = bench
        .router
        .wait_log(&["ledger_written", "workspace=acme"])
        .await;
    assert!(line.contains("taken="), "{line}");
}

/// A broken stream can be traced: its lines name each target, what happened there, after how many
/// events, and why the stream was not resumed.
#[tokio::test]
async fn broken_stream_is_traceable_to_its_targets() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    for target in &bench.engines {
        target.set_events(9, std::time::Duration::from_millis(2));
        target.set_fault(TargetFault::TruncatedStream(2));
    }
    bench.router.call(&stream_request("complaint", 100)).await;
    let line = bench.router.wait_log(&["event=call ", "complaint"]).await;
    for field in ["outcome=broken_off", "events=4", "target=engine-", "why="] {
        assert!(line.contains(field), "no {field} in {line}");
    }
    let ends = bench
        .router
        .log_lines(&["attempt_ended", "complaint", "end=broken"]);
    assert_eq!(ends.len(), 2, "{ends:?}");
    let resumed = bench.router.log_lines(&["stream_resumed", "complaint"]);
    assert_eq!(resumed.len(), 1, "{resumed:?}");
    for field in ["version_before=v1", "version=v1"] {
        assert!(resumed[0].contains(field), "no {field} in {}", resumed[0]);
    }
    let same = "resume_versions_total{by=\"router\",what=\"same\"}";
    assert_eq!(bench.router.metric(same).await, Some(1.0));
}

/// An unknown outcome can be traced: the lines of a non-repeatable call name the one target that
/// may have run it, and the failure there.
#[tokio::test]
async fn unknown_outcome_is_traceable_to_the_target() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    for target in &bench.plain {
        target.set_fault(TargetFault::Disconnecting);
    }
    bench
        .router
        .call(&request("POST /order/1", "complaint"))
        .await;
    let line = bench.router.wait_log(&["event=call ", "complaint"]).await;
    assert!(line.contains("outcome=outcome_unknown"), "{line}");
    let ends = bench
        .router
        .log_lines(&["attempt_ended", "complaint", "end=broken"]);
    assert_eq!(ends.len(), 1, "{ends:?}");
    assert!(ends[0].contains("target=plain-"), "{}", ends[0]);
}

/// All decisions of a call are logged: an answered call logs its admission, its tokens with the age
/// of the ledger copy, and its target, in order and each with the call's id.
#[tokio::test]
async fn decisions_of_a_call_are_logged_in_order() {
    let bench = GatewayBench::start(&draft(3, AMPLE)).await;
    bench.router.call(&stream_request("followed", 100)).await;
    bench.router.wait_log(&["event=call ", "id=followed"]).await;
    let lines = bench.router.log_lines(&["id=followed"]);
    let events = ["call_admitted", "tokens_reserved", "call_placed", "call "];
    assert_eq!(lines.len(), events.len(), "{lines:#?}");
    for (line, event) in lines.iter().zip(events) {
        assert!(line.contains(&format!("event={event}")), "{line}");
    }
    for (line, field) in [
        (0, "config=3"),
        (1, "ledger_age_ms="),
        (2, "store_age_ms="),
        (3, "added_ms="),
    ] {
        assert!(lines[line].contains(field), "no {field} in {}", lines[line]);
    }
}

/// No failure is lost under load: in a burst, the lines of most answered calls are sampled out and
/// counted, failed calls are all logged, and no call is logged partially.
#[tokio::test]
async fn burst_logs_all_failures_and_complete_calls() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    let calls = (0..240).map(|number| {
        let path = match number % 12 {
            0 => "GET /nowhere/1",
            _ => "GET /get/1",
        };
        let call = request(path, &format!("burst-{number}-"));
        async move { bench_call(bench.router.address, &call).await }
    });
    let statuses = futures::future::join_all(calls).await;
    assert_eq!(statuses.iter().filter(|status| **status == 404).count(), 20);
    let left_out = bench.router.metric("lines_sampled_out_total ").await;
    assert!(left_out > Some(0.0));
    tokio::time::sleep(std::time::Duration::from_millis(300)).await;
    let refused = bench
        .router
        .log_lines(&["event=call ", "outcome=unknown_route"]);
    assert_eq!(refused.len(), 20);
    for line in bench.router.log_lines(&["event=call ", "outcome=answered"]) {
        let id = line
            .split("id=")
            .nth(1)
            .and_then(|rest| rest.split(' ').next());
        let id = format!("id={} ", id.expect("an id"));
        let lines = bench.router.log_lines(&[&id]);
        assert_eq!(lines.len(), 3, "{lines:#?}");
    }
}

async fn bench_call(address: std::net::SocketAddr, request: &CallRequest) -> u16 {
    call(address, request).await.expect("an answer").status
}

/// Nothing reads the router's log, and its pipe and ring are full. Calls are served as before, and
/// the router exits in time although its last lines cannot be written.
#[tokio::test]
async fn unread_log_blocks_nothing() {
    let mut bench = GatewayBench::start_with_unread_log(&draft(1, AMPLE)).await;
    // 4,096 lines fit in the ring and 64 KiB in the pipe; long ids fill them sooner.
    let filler = "x".repeat(2_000);
    for number in 0..2_500 {
        let id = format!("{filler}{number}");
        let status = bench
            .router
            .call(&request("GET /nowhere/1", &id))
            .await
            .status;
        assert_eq!(status, 404);
    }
    let started = std::time::Instant::now();
    assert_eq!(
        bench
            .router
            .call(&request("GET /get/1", "last"))
            .await
            .status,
        200
    );
    assert!(started.elapsed().as_millis() < 500);
    bench.router.signal(nix::sys::signal::Signal::SIGTERM);
    assert_eq!(bench.router.wait_end().await, Some(0));
}

/// Each item of a router's state is shown with its age, and the command line shows the same.
#[tokio::test]
async fn status_shows_state_with_ages() {
    let bench = GatewayBench::start(&draft(7, AMPLE)).await;
    bench.router.call(&stream_request("call-1", 100)).await;
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_beechsaddle"))
        .args(["status", &bench.router.ready.to_string()])
        .output()
        .expect("the command");
    assert!(output.status.success(), "{output:?}");
    let text = String::from_utf8(output.stdout).expect("text");
    for field in [
        "gateway host-1@",
        "phase=serving",
        "config version=7 age_ms=",
        "workspace acme role=keeper free=",
        "ledger_age_ms=",
        "target engine-1 service=engine phase=ready active=0 ejected_for_ms=0",
        "heard_age_ms=",
    ] {
        assert!(text.contains(field), "no {field} in {text}");
    }
}

/// The page of metrics lists exactly the metrics that are served.
#[tokio::test]
async fn metrics_page_lists_every_metric() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    // A metric with labels is served from its first count on.
    bench.plain[0].set_fault(TargetFault::Failing);
    for number in 0..8 {
        bench
            .router
            .call(&request("GET /get/1", &format!("call-{number}")))
            .await;
    }
    bench
        .router
        .call(&CallRequest::new("GET /get/1", "call", "no such key"))
        .await;
    let request = CallRequest::new("GET /metrics", "metrics", KEY);
    let reply = call(bench.router.ready, &request).await.expect("metrics");
    let served: BTreeSet<_> = reply
        .body
        .lines()
        .filter_map(|line| line.strip_prefix("# TYPE "))
        .filter_map(|line| line.split(' ').next())
        .map(str::to_owned)
        .collect();
    let page = include_str!("../../../docs/GATEWAY.md");
    let listed: BTreeSet<_> = page
        .lines()
        .filter_map(|line| line.strip_prefix("| `beechsaddle_"))
        .filter_map(|line| line.split('`').next())
        .map(|name| format!("beechsaddle_{name}"))
        .collect();
    assert_eq!(served, listed);
}
