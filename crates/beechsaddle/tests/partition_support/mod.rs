//! A router whose paths to all targets can be cut, beside one that always reaches them.

#![allow(dead_code)]

use std::time::{Duration, Instant};

use beechsaddle_platform_stand_in::{CallReply, CallRequest, call as call_router};
use beechsaddle_wire::lending_capnp::{TunnelOutcome, tunnel_reply, tunnel_request};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio_util::compat::TokioAsyncReadCompatExt;

use crate::gateway_support::{GatewayBench, GatewayProcess, SETTLE_SPAN, draft, request, wait_for};
use crate::path_support::{PathMode, StoreView};

const AMPLE: u64 = 1_000_000;

/// Time from the start of a partition after which first attempts must succeed.
const NOTICE_SPAN: Duration = Duration::from_millis(3_000);

/// Time after which the router has closed its idle connections to targets.
pub const IDLE_SPAN: Duration = Duration::from_millis(600);

/// A router whose paths to all targets can be cut, and one that always reaches them.
pub struct PartitionBench {
    /// The store, the targets and the router that reaches them.
    pub bench: GatewayBench,
    pub view: StoreView,
    pub router: GatewayProcess,
}

impl PartitionBench {
    pub async fn start() -> Self {
        let bench = GatewayBench::start(&draft(1, AMPLE)).await;
        let targets = bench.plain.iter().chain(&bench.engines);
        let view = StoreView::start(bench.store.address(), targets).await;
        let router = GatewayProcess::start(view.address, "host-2", "north");
        router.wait_ready().await;
        router.wait_log(&["target_joined", "engine-2"]).await;
        router.wait_log(&["routers_listed", "routers=2"]).await;
        sleep(SETTLE_SPAN).await;
        PartitionBench {
            bench,
            view,
            router,
        }
    }

    /// Sends one call of each kind to the partitioned router; returns those that failed.
    pub async fn call_each(&self, name: &str) -> Vec<(String, CallReply)> {
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
    pub async fn failures_after_cut(&self, mode: PathMode) -> Vec<(String, CallReply)> {
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

    /// Cuts the router from all targets and waits until it has noticed.
    pub async fn cut(&self, mode: PathMode) {
        self.view.set_mode(mode);
        wait_for("a noticed partition", || async {
            let _ = self.call_each("cut").await;
            self.router.metric("path_lost").await == Some(1.0)
        })
        .await;
    }

    /// Sends a stream's call to the partitioned router and returns its reply, once a target runs it.
    pub async fn start_stream(&self) -> JoinHandle<CallReply> {
        let before = GatewayBench::arrival_count(&self.bench.engines);
        let address = self.router.address;
        let stream = tokio::spawn(async move {
            let call = token_request("POST /stream/once/1", "relayed");
            call_router(address, &call).await.expect("an answer")
        });
        wait_for("an arrival", || async {
            GatewayBench::arrival_count(&self.bench.engines) > before
        })
        .await;
        stream
    }

    /// Asks the other router for a tunnel, as a router would.
    pub async fn ask_for_tunnel(&self, secret: &str, target: &str) -> Option<TunnelOutcome> {
        let (outcome, _) = self.open_bare_tunnel(secret, target).await?;
        Some(outcome)
    }

    /// Asks the other router for a tunnel, as a router of a version without frames would.
    pub async fn open_bare_tunnel(
        &self,
        secret: &str,
        target: &str,
    ) -> Option<(TunnelOutcome, TcpStream)> {
        let entry = self
            .bench
            .store
            .spec("routers", "host-1")
            .expect("an entry");
        let address = entry["address"].as_str().expect("an address");
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        let mut message = capnp::message::Builder::new_default();
        let mut request = message.init_root::<tunnel_request::Builder<'_>>();
        request.set_secret(secret);
        request.set_target(target);
        let mut bytes = b"TUNL".to_vec();
        capnp::serialize::write_message(&mut bytes, &message).expect("a message");
        stream.write_all(&bytes).await.expect("a request");
        let options = capnp::message::ReaderOptions::new();
        let reply = capnp_futures::serialize::read_message((&mut stream).compat(), options).await;
        let reply = reply.ok()?;
        let reply = reply.get_root::<tunnel_reply::Reader<'_>>().ok()?;
        let outcome = reply.get_outcome().ok()?;
        Some((outcome, stream))
    }

    pub fn secret(&self) -> String {
        let entry = self.bench.store.spec("budgets", "peer-secret");
        let entry = entry.expect("a secret");
        entry["secret"].as_str().expect("a text").to_owned()
    }
}

/// Returns a call with the tokens that a stream needs.
pub fn token_request(line: &str, id: &str) -> CallRequest {
    let mut call = request(line, id);
    if line.contains("/stream") {
        call.tokens = Some((100, 60));
    }
    call
}
