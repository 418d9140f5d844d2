//! Tests of the answers that a router which has just joined gives to the routers that follow it.

mod gateway_support;

use std::net::SocketAddr;
use std::time::Duration;

use beechsaddle_core::hash::rendezvous_weight;
use beechsaddle_platform_stand_in::{EntryState, StoreStandIn, TargetStandIn};
use beechsaddle_wire::lending_capnp::{FollowOutcome, FollowedKind, news_relay};
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use gateway_support::{GatewayProcess, draft, wait_for};
use tokio::net::TcpStream;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

/// Other routers of the domain: enough that some follow the store for the others.
const OTHER_ROUTERS: usize = 7;

/// Time within which the router must know of a change before it may report that there is none.
const PROPAGATION_SPAN: Duration = Duration::from_millis(300);

/// A router that has just joined and does not follow the store yet must not report that nothing
/// changed.
#[tokio::test]
async fn joining_router_claims_no_state_before_it_watches() {
    LocalSet::new().run_until(check_claim()).await;
}

async fn check_claim() {
    let store = StoreStandIn::try_start().await.expect("a store");
    store.put_config(&draft(1, 1_000_000));
    let before = add_target(&store, "engine-1").await;
    for number in 0..OTHER_ROUTERS {
        let entry = serde_json::json!({"domain": "south", "address": "127.0.0.1:9"});
        store.put("routers", &format!("host-{number}"), &entry);
    }
    let host = first_follower();
    let router = GatewayProcess::start(store.address(), &host, "south");
    router.wait_log(&["target_joined", "engine-1"]).await;
    wait_for("its secret", || async {
        store.spec("budgets", "peer-secret").is_some()
    })
    .await;
    let revision = store.revision();
    let late = add_target(&store, "engine-2").await;
    sleep(PROPAGATION_SPAN).await;
    let entry = store.spec("routers", &host).expect("its entry");
    let address = entry["address"].as_str().expect("an address");
    let secret = store.spec("budgets", "peer-secret").expect("a secret");
    let secret = secret["secret"].as_str().expect("a text").to_owned();
    let address = address.parse().expect("an address");
    let claim = ask(address, &secret, revision).await;
    assert_ne!(claim, (FollowOutcome::News, 0), "the answer hides a change");
    drop((before, late));
}

async fn add_target(store: &StoreStandIn, name: &str) -> TargetStandIn {
    let target = TargetStandIn::try_start(name).await.expect("a target");
    store.put_target(&target, "engine", "south", EntryState::Ready);
    target
}

/// Returns a host name that ranks first among the routers that follow the store.
fn first_follower() -> String {
    let weight = |host: &str| rendezvous_weight("news", host);
    let known = (0..OTHER_ROUTERS).map(|number| weight(&format!("host-{number}")));
    let most = known.max().expect("routers");
    let names = (0..).map(|number| format!("joins-{number}"));
    let mut first = names.filter(|name| weight(name) > most);
    first.next().expect("a name")
}

/// Asks a router for changes of targets; returns its outcome and the number of batches.
async fn ask(address: SocketAddr, secret: &str, revision: u64) -> (FollowOutcome, u32) {
    let stream = TcpStream::connect(address).await.expect("a connection");
    let (reader, writer) = stream.into_split();
    let network = VatNetwork::new(
        reader.compat(),
        writer.compat_write(),
        Side::Client,
        capnp::message::ReaderOptions::new(),
    );
    let mut system = RpcSystem::new(Box::new(network), None);
    let client: news_relay::Client = system.bootstrap(Side::Server);
    spawn_local(system);
    // The router loads the secret a moment after it has started.
    loop {
        let mut call = client.follow_request();
        let mut parameters = call.get();
        parameters.set_secret(secret);
        parameters.set_kind(FollowedKind::Targets);
        parameters.set_revision(revision);
        parameters.set_wait_ms(50);
        if let Ok(reply) = call.send().promise.await {
            let answer = reply.get().expect("an answer");
            let batches = answer.get_batches().expect("batches").len();
            return (answer.get_outcome().expect("an outcome"), batches);
        }
        sleep(Duration::from_millis(20)).await;
    }
}
