//! Tests of routers that learn from each other what changes in the store.

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

/// Routers of the domain: enough that two follow the store and the others these.
const ROUTERS: usize = 7;

/// Within what a new configuration has to be in force at every router.
const IN_FORCE: Duration = Duration::from_secs(4);

struct RelayFleet {
    /// Store and targets, and a router of another domain.
    bench: GatewayBench,
    routers: Vec<GatewayProcess>,
    /// The way of each router to the store.
    paths: Vec<StorePath>,
}

/// A way to the store that can be cut.
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

    /// Every connection is closed from now on.
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
        // A router that was listed alone at first watches the store until that watch ends.
        wait_for("two followers", || async {
            fleet.followers().await.len() == 2 && fleet.step_count("news").await > 0.0
        })
        .await;
        fleet
    }

    /// Steps of all routers that ended so.
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

    /// The routers that follow the store now.
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

/// Seven routers of a domain each watched the store for every change. Two do so now, and a change of the
/// configuration or of a target is known to all of them as soon.
#[tokio::test]
async fn changes_reach_all_routers_by_two_that_follow() {
    let fleet = RelayFleet::start().await;
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

/// Seven routers of a domain start together. Each asks one of the two that follow the store for changes, the first
/// time a second after the store has last answered that one. It was told that what the follower knows is old, asked
/// the next in line, and that one began to follow the store as well: four watched it for every change.
#[tokio::test]
async fn fleet_that_starts_doubts_no_follower() {
    let fleet = RelayFleet::start_with(GatewayProcess::start_seldom_probing).await;
    assert_eq!(fleet.step_count("away").await, 0.0);
}

/// The store turns away both routers that follow it, and serves the others. A target leaves without notice: its entry
/// is removed. Those that reach the store have to leave it alone within their bound, as if nothing had happened.
/// Told by their followers that the store was away, they once took the entry for one that had lapsed with an outage,
/// and sent calls to the target for two seconds more.
#[tokio::test]
async fn followers_turned_away_others_leave_a_target() {
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
            let kept = router.log_lines(&["target_unconfirmed", "engine-2"]);
            assert_eq!(kept, Vec::<String>::new());
        }
    }
    assert!(removed.elapsed() < IN_FORCE / 2, "{:?}", removed.elapsed());
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
