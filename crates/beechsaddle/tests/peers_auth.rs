//! Connections of strangers, of routers with another secret, and of routers that mean another life.

mod peers_support;

use std::io::{Read, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use beechsaddle::peers::PeerAuth;
use beechsaddle_core::prelude::*;
use beechsaddle_wire::peer::{PeerHello, reader_options, write_hello};
use beechsaddle_wire::peer_capnp::peer_gate;
use capnp_futures::serialize_packed::{PackedRead, PackedWrite};
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use futures::AsyncWriteExt;
use quickcheck::{Arbitrary, Gen};
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use peers_support::{SECRET, TestEdge, note, options, start};

const OTHER_SECRET: &str = "another-secret-that-is-long-enough";

fn connect(edge: &TestEdge) -> TcpStream {
    let stream = TcpStream::connect(edge.handle.local_address()).expect("connects");
    stream
        .set_read_timeout(Some(Duration::from_secs(5)))
        .expect("sets");
    stream
}

// Reads until the edge closes, and tells how long that took.
fn wait_for_close(mut stream: TcpStream) -> Duration {
    let start = Instant::now();
    let mut rest = Vec::new();
    match stream.read_to_end(&mut rest) {
        Ok(_) => {}
        Err(error) => assert_eq!(
            error.kind(),
            std::io::ErrorKind::ConnectionReset,
            "still open"
        ),
    }
    start.elapsed()
}

// The start of a message of one segment with so many words.
fn announcement(words: u32) -> [u8; 8] {
    let mut bytes = [0; 8];
    bytes[4..].copy_from_slice(&words.to_le_bytes());
    bytes
}

fn packed(bytes: &[u8]) -> Vec<u8> {
    let mut packed = Vec::new();
    let mut writer = PackedWrite::new(&mut packed);
    futures::executor::block_on(async {
        writer.write_all(bytes).await.expect("writes");
        writer.flush().await.expect("writes");
    });
    packed
}

// Runs calls on the gate of an edge as a client that may do what a router never does.
fn with_gate<F>(address: SocketAddr, calls: impl FnOnce(peer_gate::Client) -> F)
where
    F: Future<Output = ()>,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("builds");
    let tasks = tokio::task::LocalSet::new();
    tasks.block_on(&runtime, async {
        let stream = tokio::net::TcpStream::connect(address)
            .await
            .expect("connects");
        let (reader, writer) = stream.into_split();
        let network = VatNetwork::new(
            PackedRead::new(reader.compat()),
            PackedWrite::new(writer.compat_write()),
            Side::Client,
            reader_options(),
        );
        let mut system = RpcSystem::new(Box::new(network), None);
        let gate = system.bootstrap(Side::Server);
        tokio::task::spawn_local(system);
        calls(gate).await;
    });
}

fn hello(receiver: &RouterIncarnation) -> PeerHello {
    PeerHello {
        sender: RouterIncarnation::new("host-x", 1),
        receiver: receiver.clone(),
        nonce: [7; 32],
    }
}

async fn say_hello(gate: &peer_gate::Client, hello: &PeerHello) -> Result<(), capnp::Error> {
    let mut request = gate.hello_request();
    write_hello(hello, request.get().init_hello()).expect("within limits");
    request.send().promise.await.map(|_| ())
}

async fn say_proof(gate: &peer_gate::Client, proof: &[u8]) -> Result<(), capnp::Error> {
    let mut request = gate.prove_request();
    request.get().set_proof(proof);
    let response = request.send().promise.await?;
    response.get()?.get_inbox().map(|_| ())
}

// A router was started with the secret of another fleet. Neither side may take the other for a peer:
// the one that connects gives away no message, the one that listens tells its core nothing.
#[test]
fn connect_wrong_secret_passes_nothing_either_way() {
    let left = start("host-a", 1, options(OTHER_SECRET));
    let right = start("host-b", 7, options(SECRET));
    left.send(&right, note(1));
    left.wait_for("refused", |counts| {
        counts.refused > 0 && counts.dropped == 1
    });
    right.wait_for("refused", |counts| counts.refused > 0);
    assert!(right.events.is_empty());
    assert_eq!(left.handle.counts().connected, 0);
}

#[test]
fn peer_auth_try_new_short_secret() {
    assert!(PeerAuth::try_new("short").is_none());
    let shown = format!("{:?}", PeerAuth::try_new(SECRET));
    assert!(!shown.contains(SECRET), "{shown}");
}

// A stranger that speaks the protocol but does not know the secret makes up a proof. It gets no
// inbox, its connection ends, and the same gate gives it no second try.
#[test]
fn prove_made_up_proof_is_refused() {
    let edge = start("host-b", 7, options(SECRET));
    let hello = hello(&edge.me);
    with_gate(edge.handle.local_address(), async |gate| {
        assert!(say_hello(&gate, &hello).await.is_ok());
        assert!(say_proof(&gate, &[0; 32]).await.is_err());
        assert!(say_proof(&gate, &[0; 32]).await.is_err());
    });
    edge.wait_for("refused", |counts| counts.refused == 1);
}

#[test]
fn prove_without_hello_is_refused() {
    let edge = start("host-b", 7, options(SECRET));
    with_gate(edge.handle.local_address(), async |gate| {
        assert!(say_proof(&gate, &[0; 32]).await.is_err());
    });
    edge.wait_for("refused", |counts| counts.refused == 1);
}

// A second hello would draw a fresh proof from the edge for names that the stranger chose after it
// has seen the first.
#[test]
fn hello_twice_is_refused() {
    let edge = start("host-b", 7, options(SECRET));
    let hello = hello(&edge.me);
    with_gate(edge.handle.local_address(), async |gate| {
        assert!(say_hello(&gate, &hello).await.is_ok());
        assert!(say_hello(&gate, &hello).await.is_err());
    });
    edge.wait_for("refused", |counts| counts.refused == 1);
}

// A stranger lets the router prove itself and sends the router's own proof back as its own. The
// label of each side in the proof makes it worthless.
#[test]
fn prove_reflected_proof_is_refused() {
    let edge = start("host-b", 7, options(SECRET));
    let hello = hello(&edge.me);
    with_gate(edge.handle.local_address(), async |gate| {
        let mut request = gate.hello_request();
        write_hello(&hello, request.get().init_hello()).expect("within limits");
        let response = request.send().promise.await.expect("answers");
        let challenge = response.get().and_then(|results| results.get_challenge());
        let proof = challenge.and_then(|challenge| challenge.get_proof());
        let proof = proof.expect("a proof").to_vec();
        assert!(say_proof(&gate, &proof).await.is_err());
    });
    edge.wait_for("refused", |counts| counts.refused == 1);
}

// A router restarts at the same address. A peer that has not heard of it still sends to the earlier
// life: its requests must not reach the new one, which holds none of the grants they are about.
#[test]
fn connect_other_incarnation_is_refused() {
    let left = start("host-a", 1, options(SECRET));
    let right = start("host-b", 8, options(SECRET));
    let earlier = RouterIncarnation::new("host-b", 7);
    left.handle.send(earlier, right.address(), note(1));
    left.wait_for("dropped", |counts| counts.dropped == 1);
    left.send(&right, note(2));
    assert_eq!(right.receive(), (left.me.clone(), note(2)));
    assert!(right.events.is_empty());
}

// The same, and the sender does not look at who answers: the new life itself has to refuse.
#[test]
fn hello_for_other_incarnation_is_refused() {
    let edge = start("host-b", 8, options(SECRET));
    let earlier = hello(&RouterIncarnation::new("host-b", 7));
    with_gate(edge.handle.local_address(), async |gate| {
        assert!(say_hello(&gate, &earlier).await.is_err());
    });
    edge.wait_for("refused", |counts| counts.refused == 1);
}

// Bytes that are no Cap'n Proto reach the port: a scanner, or a caller at the wrong port. Each such
// connection ends, and peers go on being served.
#[test]
fn accept_garbage_ends_the_connection_only() {
    let left = start("host-a", 1, options(SECRET));
    let right = start("host-b", 7, options(SECRET));
    let mut gen_ = Gen::new(300);
    for _ in 0..60 {
        let bytes = Vec::<u8>::arbitrary(&mut gen_);
        let mut stream = connect(&right);
        let _ = stream.write_all(&bytes);
        let _ = stream.shutdown(std::net::Shutdown::Write);
        wait_for_close(stream);
    }
    let http = b"GET / HTTP/1.1\r\nHost: router\r\n\r\n";
    let mut stream = connect(&right);
    stream.write_all(http).expect("writes");
    wait_for_close(stream);
    left.send(&right, note(1));
    assert_eq!(right.receive().1, note(1));
}

// A stranger sends half a message and waits, or claims a message of megabytes. It is let go of after
// the handshake time, whatever it has sent.
#[test]
fn accept_half_sent_bytes_end_in_time() {
    let edge = start("host-b", 7, options(SECRET));
    let mut stream = connect(&edge);
    let mut bytes = packed(&announcement(1_000));
    bytes.extend(packed(&[1; 96]));
    stream.write_all(&bytes).expect("writes");
    let elapsed = wait_for_close(stream);
    assert!(elapsed >= Duration::from_millis(400), "{elapsed:?}");
    assert!(elapsed < Duration::from_secs(3), "{elapsed:?}");
    edge.wait_for("refused", |counts| counts.refused == 1);
}

// A stranger announces megabytes and streams them as fast as it can, packed: two bytes stand for
// two thousand zeros. The edge unpacks no more than a handshake can have.
#[test]
fn accept_flood_before_the_proof_is_cut() {
    for chunk in [vec![0; 65_536], vec![1; 65_536]] {
        let edge = start("host-b", 7, options(SECRET));
        let mut stream = connect(&edge);
        let mut bytes = packed(&announcement(900_000));
        bytes.extend(packed(&chunk));
        for _ in 0..100 {
            if stream.write_all(&bytes).is_err() {
                break;
            }
        }
        let elapsed = wait_for_close(stream);
        assert!(elapsed < Duration::from_millis(400), "{elapsed:?}");
        let counts = edge.wait_for("refused", |counts| counts.refused == 1);
        assert!(counts.bytes_in <= 8_192, "{counts:?}");
    }
}

// Many strangers connect and say nothing. Only so many are kept; a peer gets in again as soon as the
// time of the silent ones is over.
#[test]
fn accept_silent_strangers_are_bounded() {
    let mut few = options(SECRET);
    few.unproven_max = 3;
    few.connect_timeout_ms = 1_500;
    let right = start("host-b", 7, few);
    let begin = Instant::now();
    let silent: Vec<TcpStream> = (0..10).map(|_| connect(&right)).collect();
    right.wait_for("refused", |counts| counts.refused == 7);
    assert!(begin.elapsed() < Duration::from_secs(1), "not at once");
    let left = start("host-a", 1, options(SECRET));
    left.send(&right, note(1));
    assert_eq!(right.receive().1, note(1));
    drop(silent);
}
