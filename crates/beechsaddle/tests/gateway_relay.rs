//! Tests of routers that receive the store's changes from each other.

mod gateway_support;
mod relay_support;

use std::time::{Duration, Instant};

use beechsaddle_platform_stand_in::{EntryState, StoreFault, TargetStandIn};
use gateway_support::{GatewayProcess, draft};
use nix::sys::signal::Signal;
use relay_support::{IN_FORCE_LIMIT, RelayFleet};
use tokio::time::sleep;

/// Only two of the seven routers of a domain watch the store, so that a change does not end a watch
/// of every router. Changes of the configuration and of targets must reach all seven as fast as if
/// each watched.
#[tokio::test]
async fn two_followers_relay_changes_to_all_routers() {
    let fleet = RelayFleet::start().await;
    let before = fleet.bench.store.calls("GET config");
    for version in 2..6 {
        fleet.change(version).await;
    }
    let store_calls = fleet.bench.store.calls("GET config") - before;
    assert!(store_calls <= 24, "{store_calls} calls for four changes");
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

/// Seven routers start together, and each asks one of the two followers for changes, first a second
/// after the store last answered that follower. When the follower then reported stale state, the
/// next routers in line began to follow the store too, so that four routers watched it for every
/// change.
#[tokio::test]
async fn starting_fleet_passes_over_no_follower() {
    let fleet =
        RelayFleet::start_with(&draft(1, 1_000_000), GatewayProcess::start_with_rare_probes).await;
    assert_eq!(fleet.step_count("away").await, 0.0);
}

/// The store rejects both followers and serves the other routers while a target's entry is removed.
/// Routers that reach the store must drop the target within their usual bound. When these routers
/// took the outage that the followers reported for their own, they treated the entry as lapsed in
/// the outage, and sent calls to the target for two more seconds.
#[tokio::test]
async fn removed_target_is_dropped_while_followers_lack_the_store() {
    let fleet = RelayFleet::start().await;
    let followers = fleet.followers().await;
    for index in &followers {
        fleet.paths[*index].cut();
    }
    sleep(Duration::from_millis(1_500)).await;
    fleet.bench.store.remove_target("engine-2");
    let removed = Instant::now();
    for (index, router) in fleet.routers().enumerate() {
        if !followers.contains(&index) {
            router.wait_log(&["target_gone", "engine-2"]).await;
            let retained = router.log_lines(&["target_unconfirmed", "engine-2"]);
            assert_eq!(retained, Vec::<String>::new());
        }
    }
    assert!(
        removed.elapsed() < IN_FORCE_LIMIT / 2,
        "{:?}",
        removed.elapsed()
    );
}

/// A follower freezes. The routers that follow it must notice, use the other follower and have the
/// next configuration in time; the frozen router has this configuration after it resumes.
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
    assert!(
        applied.elapsed() < IN_FORCE_LIMIT,
        "{:?}",
        applied.elapsed()
    );
    frozen.signal(Signal::SIGCONT);
    frozen.wait_log(&["config_in_force", "version=2 "]).await;
}

/// Both followers are killed. The other routers ask the next in line or the store itself, and have
/// the next configuration in time.
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
    assert!(
        applied.elapsed() < IN_FORCE_LIMIT,
        "{:?}",
        applied.elapsed()
    );
}

/// After an outage of the store for all routers, a configuration that is applied as the store
/// recovers reaches every router in time.
#[tokio::test]
async fn all_routers_catch_up_after_store_outage() {
    let fleet = RelayFleet::start().await;
    fleet.bench.store.set_fault(StoreFault::Silent);
    sleep(Duration::from_millis(3_000)).await;
    fleet.bench.store.set_fault(StoreFault::None);
    fleet.change(2).await;
}
