//! Listeners that pass for a peer, and connections that take without giving.

mod peers_support;

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc::{Sender, channel};
use std::time::Duration;

use beechsaddle::peers::StreamGauge;
use beechsaddle_core::prelude::*;
use beechsaddle_wire::peer::{PeerChallenge, read_hello, reader_options, write_challenge};
use beechsaddle_wire::peer_capnp::{peer_gate, peer_inbox};
use capnp_futures::serialize_packed::{PackedRead, PackedWrite};
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use peers_support::{SECRET, note, options, start};

// Answers every hello with a made-up proof and hands an inbox to everyone.
struct Impostor {
    taken: Sender<u32>,
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
            taken: self.taken.clone(),
        });
        results.get().set_inbox(inbox);
        Ok(())
    }
}

struct OpenInbox {
    taken: Sender<u32>,
}

impl peer_inbox::Server for OpenInbox {
    async fn deliver(
        self: Rc<Self>,
        parameters: peer_inbox::DeliverParams,
        _results: peer_inbox::DeliverResults,
    ) -> Result<(), capnp::Error> {
        let count = parameters.get()?.get_messages()?.len();
        let _ = self.taken.send(count);
        Ok(())
    }
}

// Listens on a thread of its own until the test's process ends.
fn start_impostor(taken: Sender<u32>) -> SocketAddr {
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
                serve(stream, taken.clone());
            }
        });
    });
    address
}

fn serve(stream: tokio::net::TcpStream, taken: Sender<u32>) {
    let (reader, writer) = stream.into_split();
    let network = VatNetwork::new(
        PackedRead::new(reader.compat()),
        PackedWrite::new(writer.compat_write()),
        Side::Server,
        reader_options(),
    );
    let gate: peer_gate::Client = capnp_rpc::new_client(Impostor { taken });
    tokio::task::spawn_local(RpcSystem::new(Box::new(network), Some(gate.client)));
}

// Someone listens at a peer's old address and takes every proof. The router gives it no message: the
// calls, keys and budgets in them are for the fleet only.
#[test]
fn connect_impostor_is_told_nothing() {
    let (taken, told) = channel();
    let address = start_impostor(taken);
    let left = start("host-a", 1, options(SECRET));
    let to = RouterIncarnation::new("host-b", 7);
    left.handle.send(to, address.to_string(), note(1));
    left.wait_for("refused", |counts| {
        counts.refused > 0 && counts.dropped == 1
    });
    assert!(told.recv_timeout(Duration::from_millis(100)).is_err());
}

// A broken peer goes on calling and reads none of the answers, which wait in a queue of the library
// without a bound. It may send a little more, as one that is slow does, and is cut after that.
#[test]
fn note_read_while_a_write_waits_is_bounded() {
    let gauge = StreamGauge::unlimited();
    let size = 64 * 1024;
    for _ in 0..100 {
        assert!(gauge.note_read(size).is_ok());
    }
    gauge.note_write(true);
    let reads = (0..100).take_while(|_| gauge.note_read(size).is_ok());
    assert_eq!(reads.count(), 5);
    gauge.note_write(false);
    assert!(gauge.note_read(size).is_ok());
}

#[test]
fn note_read_before_the_proof_is_bounded() {
    let gauge = StreamGauge::unproven();
    assert!(gauge.note_read(4_000).is_ok());
    assert!(gauge.read_limit(1_000_000) < 100);
    assert!(gauge.note_read(100).is_err());
    gauge.set_proven();
    assert!(gauge.note_read(1_000_000).is_ok());
}
