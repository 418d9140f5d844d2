//! Tests of routers that receive the store's changes from each other.

mod gateway_support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use beechsaddle_platform_stand_in::{EntryState, StoreFault, TargetStandIn};
use gateway_support::{GatewayBench, GatewayProcess, draft, wait_for};
use nix::sys::signal::Signal;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// Routers of the domain: enough that two follow the store and the others follow these.
const ROUTERS: usize = 7;

/// Time within which a new configuration must be in effect at every router.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(4);

struct RelayFleet {
    /// The store, the targets and a router of another domain.
    bench: GatewayBench,
    routers: Vec<GatewayProcess>,
    /// The connection of each router to the store.
    paths: Vec<StorePath>,
}

/// A proxy to the store whose connections can be cut.
struct StorePath {
    address: SocketAddr,
    is_cut: watch::Sender<bool>,
}

impl StorePath {
    async fn start(store: SocketAddr) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
        let address = listener.local_addr().expect("its address");
        let (is_cut, cuts) = watch::channel(false);
        tokio::spawn(async move {
            while let Ok((mut caller, _)) = listener.accept().await {
                let mut cuts = cuts.clone();
                tokio::spawn(async move {
                    let Ok(mut server) = TcpStream::connect(store).await else {
                        return;
                    };
                    // Either end may close at any moment; the other one notices.
                    tokio::select! {
                        _ = copy_bidirectional(&mut caller, &mut server) => {}
                        _ = cuts.wait_for(|is_cut| *is_cut) => {}
                    }
                });
            }
        });
        StorePath { address, is_cut }
    }

    /// Closes all connections, also later ones.
    fn cut(&self) {
        self.is_cut.send_replace(true);
    }
}

impl RelayFleet {
    async fn start() -> Self {
        RelayFleet::start_with(GatewayProcess::start).await
    }

    async fn start_with(start: fn(SocketAddr, &str, &str) -> GatewayProcess) -> Self {
        let bench = GatewayBench::start(&draft(1, 1_000_000)).await;
        let (mut routers, mut paths) = (Vec::new(), Vec::new());
        for number in 2..ROUTERS + 2 {
            let path = StorePath::start(bench.store.address()).await;
            let host = format!("host-{number}");
            routers.push(start(path.address, &host, "south"));
            paths.push(path);
        }
        let fleet = RelayFleet {
            bench,
            routers,
            paths,
        };
        for router in fleet.routers() {
            router.wait_ready().await;
            let listed = format!("routers={}", ROUTERS + 1);
            router.wait_log(&["routers_listed", &listed]).await;
        }
        // A router that was at first listed alone watches the store until that watch ends.
        wait_for("two followers", || async {
            fleet.followers().await.len() == 2 && fleet.step_count("news").await > 0.0
        })
        .await;
        fleet
    }

    /// Returns the steps of all routers with this result.
    async fn step_count(&self, what: &str) -> f64 {
        let mut steps = 0.0;
        for router in self.routers() {
            let metric = format!("news_steps_total{{what=\"{what}\"}}");
            steps += router.metric(&metric).await.unwrap_or(0.0);
        }
        steps
    }

    fn routers(&self) -> impl Iterator<Item = &GatewayProcess> {
        self.routers.iter()
    }

    /// Applies a configuration and waits until all routers have it.
    async fn change(&self, version: u64) {
        let applied = Instant::now();
        self.bench.store.put_config(&draft(version, 1_000_000));
        for router in self.routers() {
            let version = format!("version={version} ");
            router.wait_log(&["config_in_force", &version]).await;
        }
        assert!(
            applied.elapsed() < IN_FORCE_LIMIT,
            "{:?}",
            applied.elapsed()
        );
    }

    /// Returns the indices of the routers that follow the store.
    async fn followers(&self) -> Vec<usize> {
        let mut followers = Vec::new();
        for (index, router) in self.routers().enumerate() {
            if router.metric("follows_store").await == Some(1.0) {
                followers.push(index);
            }
        }
        followers
    }
}

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
    let fleet = RelayFleet::start_with(GatewayProcess::start_with_rare_probes).await;
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
