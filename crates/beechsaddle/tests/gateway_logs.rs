//! Tests of what an engineer on call finds: the lines of a failed call, and the metrics.

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

/// A caller complains that its call was refused for its budget. From the id one line gives the
/// workspace, what was asked and how long it waited; the workspace leads to what was taken when.
#[tokio::test]
async fn refused_for_budget_leads_to_the_ledger() {
    let bench = GatewayBench::start(&draft(1, 10_000)).await;
    for number in 0..6 {
        let id = format!("complaint-{number}");
        bench.router.call(&stream_request(&id, 50_000)).await;
        tokio::time::sleep(std::time::Duration::from_millis(700)).await;
    }
    let line = bench.router.wait_log(&["event=call", "complaint-5"]).await;
    for word in ["workspace=acme", "tokens=50020", "outcome=budget_exhausted"] {
        assert!(line.contains(word), "no {word} in {line}");
    }
    let line = bench
        .router
        .wait_log(&["ledger_written", "workspace=acme"])
        .await;
    assert!(line.contains("taken="), "{line}");
}

/// A caller complains that its stream broke off. Its lines give each target, what happened there
/// and after how many events, and why nothing went on.
#[tokio::test]
async fn broken_stream_leads_to_its_targets() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    for target in &bench.engines {
        target.set_events(9, std::time::Duration::from_millis(2));
        target.set_fault(TargetFault::CutEvents(2));
    }
    bench.router.call(&stream_request("complaint", 100)).await;
    let line = bench.router.wait_log(&["event=call", "complaint"]).await;
    for word in ["outcome=broken_off", "events=4", "target=engine-", "why="] {
        assert!(line.contains(word), "no {word} in {line}");
    }
    let ends = bench
        .router
        .log_lines(&["attempt_ended", "complaint", "end=broken"]);
    assert_eq!(ends.len(), 2, "{ends:?}");
    let resumed = bench.router.log_lines(&["stream_resumed", "complaint"]);
    assert_eq!(resumed.len(), 1, "{resumed:?}");
}

/// A caller asks what became of a call that may run once only. Its lines name the one target that
/// may have run it, and what came from there.
#[tokio::test]
async fn unknown_outcome_leads_to_the_target() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    for target in &bench.plain {
        target.set_fault(TargetFault::Cutting);
    }
    bench
        .router
        .call(&request("POST /order/1", "complaint"))
        .await;
    let line = bench.router.wait_log(&["event=call", "complaint"]).await;
    assert!(line.contains("outcome=outcome_unknown"), "{line}");
    let ends = bench
        .router
        .log_lines(&["attempt_ended", "complaint", "end=broken"]);
    assert_eq!(ends.len(), 1, "{ends:?}");
    assert!(ends[0].contains("target=plain-"), "{}", ends[0]);
}

/// The page of metrics lists what a router serves, and nothing else.
#[tokio::test]
async fn metrics_page_lists_each() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    // What is counted by a word is served from its first count on.
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
