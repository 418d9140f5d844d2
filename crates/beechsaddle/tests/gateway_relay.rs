//! Tests of routers that learn from each other what changes in the store.

mod gateway_support;

use std::time::{Duration, Instant};

use beechsaddle_platform_stand_in::{EntryState, StoreFault, TargetStandIn};
use gateway_support::{GatewayBench, GatewayProcess, draft};
use nix::sys::signal::Signal;
use tokio::time::sleep;

/// Routers of the domain: enough that two follow the store and the others these.
const ROUTERS: usize = 7;

/// Within what a new configuration has to be in force at every router.
const IN_FORCE: Duration = Duration::from_secs(4);

struct RelayFleet {
    bench: GatewayBench,
    others: Vec<GatewayProcess>,
}

impl RelayFleet {
    async fn start() -> Self {
        let bench = GatewayBench::start(&draft(1, 1_000_000)).await;
        let others: Vec<_> = (2..=ROUTERS)
            .map(|number| {
                let host = format!("host-{number}");
                GatewayProcess::start(bench.store.address(), &host, "north")
            })
            .collect();
        let fleet = RelayFleet { bench, others };
        for router in fleet.routers() {
            router.wait_ready().await;
            let listed = format!("routers={ROUTERS}");
            router.wait_log(&["routers_listed", &listed]).await;
        }
        // Those that follow others are told apart from their first question on.
        sleep(Duration::from_millis(1_500)).await;
        fleet
    }

    fn routers(&self) -> impl Iterator<Item = &GatewayProcess> {
        std::iter::once(&self.bench.router).chain(&self.others)
    }

    /// Applies a configuration and waits until all have it.
    async fn change(&self, version: u64) {
        let applied = Instant::now();
        self.bench.store.put_config(&draft(version, 1_000_000));
        for router in self.routers() {
            let version = format!("version={version} ");
            router.wait_log(&["config_in_force", &version]).await;
        }
        assert!(applied.elapsed() < IN_FORCE, "{:?}", applied.elapsed());
    }

    /// The routers that others follow: they are the ones that go on watching the store.
    async fn followers(&self) -> Vec<usize> {
        let mut followers = Vec::new();
        for (index, router) in self.routers().enumerate() {
            if router
                .metric("news_steps_total{what=\"news\"}")
                .await
                .is_none()
            {
                followers.push(index);
            }
        }
        followers
    }
}

/// Seven routers of a domain each watched the store for every change. Two do so now, and a change of the
/// configuration or of a target is known to all of them as soon.
#[tokio::test]
async fn changes_reach_all_routers_by_two_that_follow() {
    let fleet = RelayFleet::start().await;
    assert_eq!(fleet.followers().await.len(), 2);
    let before = fleet.bench.store.calls("GET config");
    for version in 2..6 {
        fleet.change(version).await;
    }
    let asked = fleet.bench.store.calls("GET config") - before;
    assert!(asked <= 24, "{asked} calls for four changes");
    let target = TargetStandIn::try_start("engine-9")
        .await
        .expect("a target");
    let store = &fleet.bench.store;
    store.put_target(&target, "engine", "north", EntryState::Ready);
    for router in fleet.routers() {
        router.wait_log(&["target_joined", "engine-9"]).await;
    }
    store.remove_target("engine-9");
    for router in fleet.routers() {
        router.wait_log(&["target_gone", "engine-9"]).await;
    }
}

/// One of the two that follow the store is frozen, and answers nobody. Its followers notice, go on by the other one
/// and know the next configuration in time. Awake again, it knows it as well.
#[tokio::test]
async fn frozen_follower_hides_no_change() {
    let fleet = RelayFleet::start().await;
    let frozen = fleet.followers().await[0];
    let frozen = fleet.routers().nth(frozen).expect("a router");
    frozen.signal(Signal::SIGSTOP);
    let applied = Instant::now();
    fleet.bench.store.put_config(&draft(2, 1_000_000));
    for router in fleet.routers() {
        if !std::ptr::eq(router, frozen) {
            router.wait_log(&["config_in_force", "version=2 "]).await;
        }
    }
    assert!(applied.elapsed() < IN_FORCE, "{:?}", applied.elapsed());
    frozen.signal(Signal::SIGCONT);
    frozen.wait_log(&["config_in_force", "version=2 "]).await;
}

/// Both that follow the store are killed. The others ask the next in line or the store itself, and know the next
/// configuration in time.
#[tokio::test]
async fn killed_followers_are_replaced() {
    let fleet = RelayFleet::start().await;
    let killed = fleet.followers().await;
    for (index, router) in fleet.routers().enumerate() {
        if killed.contains(&index) {
            router.signal(Signal::SIGKILL);
        }
    }
    let applied = Instant::now();
    fleet.bench.store.put_config(&draft(2, 1_000_000));
    for (index, router) in fleet.routers().enumerate() {
        if !killed.contains(&index) {
            router.wait_log(&["config_in_force", "version=2 "]).await;
        }
    }
    assert!(applied.elapsed() < IN_FORCE, "{:?}", applied.elapsed());
}

/// The store is silent for all routers, and a configuration comes as it is back. All know it in time, those that
/// follow others as well.
#[tokio::test]
async fn store_back_all_catch_up() {
    let fleet = RelayFleet::start().await;
    fleet.bench.store.set_fault(StoreFault::Silent);
    sleep(Duration::from_millis(3_000)).await;
    fleet.bench.store.set_fault(StoreFault::None);
    fleet.change(2).await;
}
