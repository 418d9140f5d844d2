//! Tests of listeners that impersonate a peer, and of peers that do not read their answers.

mod peers_support;

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc::{Sender, channel};
use std::time::Duration;

use beechsaddle::peers::StreamMeter;
use beechsaddle_core::prelude::*;
use beechsaddle_wire::peer::{PeerChallenge, read_hello, reader_options, write_challenge};
use beechsaddle_wire::peer_capnp::{peer_gate, peer_inbox};
use capnp_futures::serialize_packed::{PackedRead, PackedWrite};
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use peers_support::{SECRET, options, settle_reply, start};

// Answers every hello with a forged proof and returns an inbox to any client.
struct Impostor {
    received: Sender<u32>,
}

impl peer_gate::Server for Impostor {
    async fn hello(
        self: Rc<Self>,
        parameters: peer_gate::HelloParams,
        mut results: peer_gate::HelloResults,
    ) -> Result<(), capnp::Error> {
        let hello = read_hello(parameters.get()?.get_hello()?).expect("a hello");
        let challenge = PeerChallenge {
            receiver: hello.receiver,
            nonce: [1; 32],
            proof: [2; 32],
        };
        write_challenge(&challenge, results.get().init_challenge()).expect("within limits");
        Ok(())
    }

    async fn prove(
        self: Rc<Self>,
        _parameters: peer_gate::ProveParams,
        mut results: peer_gate::ProveResults,
    ) -> Result<(), capnp::Error> {
        let inbox: peer_inbox::Client = capnp_rpc::new_client(OpenInbox {
            received: self.received.clone(),
        });
        results.get().set_inbox(inbox);
        Ok(())
    }
}

struct OpenInbox {
    received: Sender<u32>,
}

impl peer_inbox::Server for OpenInbox {
    async fn deliver(
        self: Rc<Self>,
        parameters: peer_inbox::DeliverParams,
        _results: peer_inbox::DeliverResults,
    ) -> Result<(), capnp::Error> {
        let count = parameters.get()?.get_messages()?.len();
        let _ = self.received.send(count);
        Ok(())
    }
}

// Listens on a separate thread until the test's process ends.
fn start_impostor(received: Sender<u32>) -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("binds");
    let address = listener.local_addr().expect("bound");
    listener.set_nonblocking(true).expect("sets");
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("builds");
        let tasks = tokio::task::LocalSet::new();
        tasks.block_on(&runtime, async {
            let listener = tokio::net::TcpListener::from_std(listener).expect("listens");
            loop {
                let (stream, _) = listener.accept().await.expect("accepts");
                serve(stream, received.clone());
            }
        });
    });
    address
}

fn serve(stream: tokio::net::TcpStream, received: Sender<u32>) {
    let (reader, writer) = stream.into_split();
    let network = VatNetwork::new(
        PackedRead::new(reader.compat()),
        PackedWrite::new(writer.compat_write()),
        Side::Server,
        reader_options(),
    );
    let gate: peer_gate::Client = capnp_rpc::new_client(Impostor { received });
    tokio::task::spawn_local(RpcSystem::new(Box::new(network), Some(gate.client)));
}

// A process listens at a peer's old address and accepts every proof. The router sends it no
// message: the calls, keys and budgets in them are for the fleet only.
#[test]
fn connect_impostor_receives_nothing() {
    let (received, deliveries) = channel();
    let address = start_impostor(received);
    let left = start("host-a", 1, options(SECRET));
    let to = RouterIncarnation::new("host-b", 7);
    left.handle.send(to, address.to_string(), settle_reply(1));
    left.wait_for("refused", |counts| {
        counts.refused > 0 && counts.dropped == 1
    });
    assert!(deliveries.recv_timeout(Duration::from_millis(100)).is_err());
}

// A faulty peer keeps calling and reads none of the answers, which wait in an unbounded queue of
// the library. It may send a little more, as a slow peer does, and is then disconnected.
#[test]
fn record_read_while_a_write_is_blocked_is_bounded() {
    let meter = StreamMeter::unlimited();
    let size = 64 * 1024;
    for _ in 0..100 {
        assert!(meter.record_read(size).is_ok());
    }
    meter.record_write(true);
    let reads = (0..100).take_while(|_| meter.record_read(size).is_ok());
    assert_eq!(reads.count(), 5);
    meter.record_write(false);
    assert!(meter.record_read(size).is_ok());
}

#[test]
fn record_read_before_authentication_is_bounded() {
    let meter = StreamMeter::unauthenticated();
    assert!(meter.record_read(4_000).is_ok());
    assert!(meter.read_limit(1_000_000) < 100);
    assert!(meter.record_read(100).is_err());
    meter.set_authenticated();
    assert!(meter.record_read(1_000_000).is_ok());
}
