//! A failure domain whose routers follow each other.

#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use beechsaddle_platform_stand_in::ConfigDraft;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::gateway_support::{GatewayBench, GatewayProcess, draft, wait_for};

/// Routers of the domain: enough that two follow the store and the others follow these.
pub const ROUTERS: usize = 7;

/// Time within which a new configuration must be in effect at every router.
pub const IN_FORCE_LIMIT: Duration = Duration::from_secs(4);

/// A store with its targets, a router of another domain, and routers of one domain.
pub struct RelayFleet {
    /// The store, the targets and a router of another domain.
    pub bench: GatewayBench,
    /// The routers of the domain.
    pub routers: Vec<GatewayProcess>,
    /// The connection of each router to the store.
    pub paths: Vec<StorePath>,
}

/// A proxy to the store whose connections can be cut, and whose responses can be slowed down.
pub struct StorePath {
    pub address: SocketAddr,
    is_cut: watch::Sender<bool>,
    received: Arc<AtomicU64>,
}

impl StorePath {
    /// Starts a proxy without a limit.
    pub async fn start(store: SocketAddr) -> Self {
        StorePath::start_with_rate(store, None).await
    }

    /// Starts a proxy whose connections pass on at most `bytes_per_s` of responses.
    pub async fn start_slow(store: SocketAddr, bytes_per_s: u64) -> Self {
        StorePath::start_with_rate(store, Some(bytes_per_s)).await
    }

    async fn start_with_rate(store: SocketAddr, bytes_per_s: Option<u64>) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
        let address = listener.local_addr().expect("its address");
        let (is_cut, cuts) = watch::channel(false);
        let received = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&received);
        tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                let (mut cuts, counter) = (cuts.clone(), Arc::clone(&counter));
                tokio::spawn(async move {
                    let Ok(server) = TcpStream::connect(store).await else {
                        return;
                    };
                    // Either end may close at any moment; the other one notices.
                    tokio::select! {
                        () = carry(caller, server, counter, bytes_per_s) => {}
                        _ = cuts.wait_for(|is_cut| *is_cut) => {}
                    }
                });
            }
        });
        StorePath {
            address,
            is_cut,
            received,
        }
    }

    /// Closes all connections, also later ones.
    pub fn cut(&self) {
        self.is_cut.send_replace(true);
    }

    /// Returns how many bytes of responses were passed on.
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }
}

/// Passes on requests and responses until either end closes.
async fn carry(
    caller: TcpStream,
    server: TcpStream,
    counter: Arc<AtomicU64>,
    bytes_per_s: Option<u64>,
) {
    let (mut requests, mut caller) = caller.into_split();
    let (mut responses, mut server) = server.into_split();
    let upload = tokio::io::copy(&mut requests, &mut server);
    let download = async {
        let mut buffer = vec![0; 16 * 1_024];
        while let Ok(count @ 1..) = responses.read(&mut buffer).await {
            if let Some(bytes_per_s) = bytes_per_s {
                sleep(Duration::from_micros(
                    count as u64 * 1_000_000 / bytes_per_s,
                ))
                .await;
            }
            if caller.write_all(&buffer[..count]).await.is_err() {
                return;
            }
            counter.fetch_add(count as u64, Ordering::Relaxed);
        }
    };
    tokio::select! {
        _ = upload => {}
        () = download => {}
    }
}

impl RelayFleet {
    /// Starts a fleet with a small configuration.
    pub async fn start() -> Self {
        RelayFleet::start_with(&draft(1, 1_000_000), GatewayProcess::start).await
    }

    /// Starts a fleet with a configuration, and waits until two routers of the domain follow the store.
    pub async fn start_with(
        draft: &ConfigDraft,
        start: fn(SocketAddr, &str, &str) -> GatewayProcess,
    ) -> Self {
        let bench = GatewayBench::start(draft).await;
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
    pub async fn step_count(&self, what: &str) -> f64 {
        let mut steps = 0.0;
        for router in self.routers() {
            let metric = format!("news_steps_total{{what=\"{what}\"}}");
            steps += router.metric(&metric).await.unwrap_or(0.0);
        }
        steps
    }

    /// Returns the routers of the domain.
    pub fn routers(&self) -> impl Iterator<Item = &GatewayProcess> {
        self.routers.iter()
    }

    /// Applies a small configuration and waits until all routers have it.
    pub async fn change(&self, version: u64) {
        self.apply(&draft(version, 1_000_000)).await;
    }

    /// Applies a configuration and waits until all routers have it.
    pub async fn apply(&self, draft: &ConfigDraft) {
        let applied = Instant::now();
        self.bench.store.put_config(draft);
        let version = draft.version;
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
    pub async fn followers(&self) -> Vec<usize> {
        let mut followers = Vec::new();
        for (index, router) in self.routers().enumerate() {
            if router.metric("follows_store").await == Some(1.0) {
                followers.push(index);
            }
        }
        followers
    }
}
