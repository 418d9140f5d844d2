//! Tests of routers that tell each other what they measure of targets.

mod gateway_support;

use std::time::Duration;

use beechsaddle_core::gateway::{GatewayStatus, ReportStatus};
use beechsaddle_platform_stand_in::call;
use gateway_support::{GatewayBench, GatewayProcess, draft, request, wait_for};

/// The gap between two events of the slow engine's streams, in milliseconds.
const GAP_MS: u64 = 20;

struct SpeedFleet {
    bench: GatewayBench,
    others: Vec<GatewayProcess>,
}

impl SpeedFleet {
    /// Starts a router that measures engines, and two that do not: one of its domain and one of
    /// another. The last one starts by `start_last`.
    async fn start(
        start_last: fn(std::net::SocketAddr, &str, &str) -> GatewayProcess,
    ) -> SpeedFleet {
        let bench = GatewayBench::start_with_shared_speeds(&draft(1, 1_000_000)).await;
        let store = bench.store.address();
        let near = GatewayProcess::start_with_shared_speeds(store, "host-2", "north");
        let far = start_last(store, "host-3", "south");
        for target in &bench.engines {
            target.set_events(40, Duration::from_millis(GAP_MS));
        }
        let others = vec![near, far];
        for router in &others {
            router.wait_ready().await;
            router.wait_log(&["routers_listed", "routers=3"]).await;
        }
        SpeedFleet { bench, others }
    }

    async fn send_streams(&self) {
        for number in 0..4 {
            let mut stream = request("POST /stream/once/1", &format!("call-{number}"));
            stream.tokens = Some((100, 60));
            assert_eq!(self.bench.router.call(&stream).await.status, 200);
        }
    }
}

async fn status(router: &GatewayProcess) -> GatewayStatus {
    let reply = call(router.ready, &request("GET /admin/status", "status")).await;
    let reply = reply.expect("a status");
    serde_json::from_str(&reply.body).expect("a status")
}

/// Returns what a router knows from others of the engines' speeds.
async fn reports(router: &GatewayProcess) -> Vec<ReportStatus> {
    let targets = status(router).await.targets.into_iter();
    let reports = targets.filter_map(|target| target.reported);
    reports.filter(|report| report.event_ms.is_some()).collect()
}

/// Guards against a fleet in which a router knows only the targets that it has used itself: routers of
/// both domains know the speed that a single router measured, and that one does not hear it from them.
#[tokio::test]
async fn board_speed_of_one_router_reaches_both_domains() {
    let fleet = SpeedFleet::start(GatewayProcess::start_with_shared_speeds).await;
    fleet.send_streams().await;
    for router in &fleet.others {
        wait_for("a reported speed", || async {
            !reports(router).await.is_empty()
        })
        .await;
        for report in reports(router).await {
            let event_ms = report.event_ms.expect("a speed");
            let gap_ms = GAP_MS as f64;
            assert!((gap_ms..gap_ms * 2.0).contains(&event_ms), "{event_ms}");
        }
    }
    assert_eq!(reports(&fleet.bench.router).await, []);
}

/// Guards against an exchange that harms routers without it, as in a fleet that is being replaced: calls
/// go on, and the exchange stops asking.
#[tokio::test]
async fn board_router_without_the_exchange_takes_no_part() {
    let fleet = SpeedFleet::start(GatewayProcess::start).await;
    fleet.send_streams().await;
    let [near, far] = &fleet.others[..] else {
        panic!("two other routers");
    };
    wait_for("a reported speed", || async {
        !reports(near).await.is_empty()
    })
    .await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    assert_eq!(reports(far).await, []);
    let routers = [&fleet.bench.router, near];
    let lost = routers.map(|router| router.log_lines(&["notes_lost"]).len());
    assert!(lost.iter().sum::<usize>() <= 2, "asked {lost:?} times");
    fleet.send_streams().await;
}
