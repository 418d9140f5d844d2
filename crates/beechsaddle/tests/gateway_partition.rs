//! Tests of routers that are partitioned from all targets while other routers reach them.

mod gateway_support;
mod path_support;

use std::time::{Duration, Instant};

use beechsaddle_platform_stand_in::{CallReply, CallRequest};
use gateway_support::{GatewayBench, GatewayProcess, SETTLE_SPAN, draft, request};
use path_support::{PathMode, StoreView};
use tokio::time::sleep;

const AMPLE: u64 = 1_000_000;

/// Time from the start of a partition after which first attempts must succeed.
const NOTICE_SPAN: Duration = Duration::from_millis(3_000);

/// Time after which the router has closed its idle connections to targets.
const IDLE_SPAN: Duration = Duration::from_millis(600);

/// A router whose paths to all targets can be cut, and one that always reaches them.
struct PartitionBench {
    /// The store, the targets and the router that reaches them.
    _bench: GatewayBench,
    view: StoreView,
    router: GatewayProcess,
}

impl PartitionBench {
    async fn start() -> Self {
        let bench = GatewayBench::start(&draft(1, AMPLE)).await;
        let targets = bench.plain.iter().chain(&bench.engines);
        let view = StoreView::start(bench.store.address(), targets).await;
        let router = GatewayProcess::start(view.address, "host-2", "north");
        router.wait_ready().await;
        router.wait_log(&["target_joined", "engine-2"]).await;
        router.wait_log(&["routers_listed", "routers=2"]).await;
        sleep(SETTLE_SPAN).await;
        PartitionBench {
            _bench: bench,
            view,
            router,
        }
    }

    /// Sends one call of each kind to the partitioned router; returns those that failed.
    async fn call_each(&self, name: &str) -> Vec<(String, CallReply)> {
        let lines = [
            "GET /get/1",
            "POST /order/1",
            "POST /stream/on/1",
            "POST /stream/once/1",
        ];
        let mut failed = Vec::new();
        for line in lines {
            let id = format!("{name}-{}", line.replace([' ', '/'], "-"));
            let reply = self.router.call(&token_request(line, &id)).await;
            if reply.status != 200 || !reply.is_complete {
                failed.push((id, reply));
            }
        }
        failed
    }

    /// Cuts the router from all targets, lets it notice while it gets calls, and returns the calls that
    /// failed after that.
    async fn failures_after_cut(&self, mode: PathMode) -> Vec<(String, CallReply)> {
        self.view.set_mode(mode);
        let cut_at = Instant::now();
        let mut rounds = 0;
        while cut_at.elapsed() < NOTICE_SPAN {
            // Calls before the router notices may fail.
            let _ = self.call_each(&format!("early-{rounds}")).await;
            rounds += 1;
            sleep(Duration::from_millis(50)).await;
        }
        sleep(IDLE_SPAN).await;
        let mut failed = Vec::new();
        for round in 0..5 {
            failed.extend(self.call_each(&format!("late-{round}")).await);
        }
        failed
    }
}

fn token_request(line: &str, id: &str) -> CallRequest {
    let mut call = request(line, id);
    if line.contains("/stream") {
        call.tokens = Some((100, 60));
    }
    call
}

/// Callers of a router that is partitioned from all targets were refused although another router
/// reaches the targets: connections hang.
#[tokio::test]
async fn hanging_partition_is_served_through_another_router() {
    let bench = PartitionBench::start().await;
    assert_eq!(bench.call_each("before").await, []);
    let failed = bench.failures_after_cut(PathMode::Hanging).await;
    assert_eq!(failed, []);
}

/// Callers of a router that is partitioned from all targets were refused although another router
/// reaches the targets: connections are reset.
#[tokio::test]
async fn refusing_partition_is_served_through_another_router() {
    let bench = PartitionBench::start().await;
    assert_eq!(bench.call_each("before").await, []);
    let failed = bench.failures_after_cut(PathMode::Refusing).await;
    assert_eq!(failed, []);
}

/// Callers of a router that is partitioned from all targets were refused although another router
/// reaches the targets: established connections live on.
#[tokio::test]
async fn partition_for_new_connections_is_served_through_another_router() {
    let bench = PartitionBench::start().await;
    assert_eq!(bench.call_each("before").await, []);
    let failed = bench.failures_after_cut(PathMode::RefusingNew).await;
    assert_eq!(failed, []);
}
