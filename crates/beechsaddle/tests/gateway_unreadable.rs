//! Tests of a gateway among entries of other writers that cannot be decoded.

mod gateway_support;

use beechsaddle_platform_stand_in::EntryState;
use gateway_support::{GatewayBench, draft, request, wait_for};

const AMPLE: u64 = 1_000_000;

/// One entry that cannot be decoded hid that a target leaves, and all targets after a restart.
#[tokio::test]
async fn invalid_entries_hide_no_target() {
    let mut bench = GatewayBench::start(&draft(1, AMPLE)).await;
    let contents = [r#"{"zone":"\ud800"}"#, r#"{"slots":1e400}"#];
    for kind in ["servers", "routers", "evacuations", "config", "crashes"] {
        for (name, content) in ["a", "z"].into_iter().zip(contents) {
            bench.store.put_raw(kind, name, content);
        }
    }
    let plain = &bench.plain[0];
    let zone = "north";
    bench
        .store
        .put_target(plain, "plain", zone, EntryState::Draining);
    let words = ["target_draining", "plain-1"];
    bench.router.wait_log(&words).await;
    bench.router.restart();
    bench.router.wait_ready().await;
    let call = request("GET /get/1", "call-1");
    wait_for("an answer", || async {
        bench.router.call(&call).await.body == "plain-2"
    })
    .await;
}

/// A target whose entry can no longer be decoded stayed in use; each later listing reported the
/// entry again.
#[tokio::test]
async fn invalid_entry_is_withdrawn_and_reported_once() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    let words = ["target_unreadable", "plain-1"];
    bench.store.put_raw("servers", "plain-1", "1e400");
    bench.router.wait_log(&words).await;
    bench.router.wait_log(&["target_gone", "plain-1"]).await;
    let listings = bench.store.target_listings();
    bench.store.compact();
    wait_for("another listing", || async {
        bench.store.target_listings() > listings + 2
    })
    .await;
    assert_eq!(bench.router.log_lines(&words).len(), 1);
    let prefix = "objects_unreadable_total{what=\"targets\"}";
    assert_eq!(bench.router.metric(prefix).await, Some(1.0));
    let plain = &bench.plain[0];
    let zone = "north";
    bench
        .store
        .put_target(plain, "plain", zone, EntryState::Ready);
    bench.store.put_raw("servers", "plain-1", "1e400");
    wait_for("another report", || async {
        bench.router.log_lines(&words).len() == 2
    })
    .await;
}
