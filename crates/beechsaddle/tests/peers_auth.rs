//! Tests of unauthenticated clients, routers with another secret, and messages for another
//! incarnation.

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

use peers_support::{SECRET, TestEdge, options, settle_reply, start};

const OTHER_SECRET: &str = "another-secret-that-is-long-enough";

fn connect(edge: &TestEdge) -> TcpStream {
    let stream = TcpStream::connect(edge.handle.local_address()).expect("connects");
    stream
        .set_read_timeout(Some(Duration::from_secs(5)))
        .expect("sets");
    stream
}

// Reads until the edge closes, and returns how long that took.
fn wait_for_close(mut stream: TcpStream) -> Duration {
    let start = Instant::now();
    let mut remaining = Vec::new();
    match stream.read_to_end(&mut remaining) {
        Ok(_) => {}
        Err(error) => assert_eq!(
            error.kind(),
            std::io::ErrorKind::ConnectionReset,
            "still open"
        ),
    }
    start.elapsed()
}

// Returns the header of a message with one segment of `words` words.
fn segment_header(words: u32) -> [u8; 8] {
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

// Runs calls on the gate of an edge as a client that is not bound to the routers' protocol.
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

async fn send_hello(gate: &peer_gate::Client, hello: &PeerHello) -> Result<(), capnp::Error> {
    let mut request = gate.hello_request();
    write_hello(hello, request.get().init_hello()).expect("within limits");
    request.send().promise.await.map(|_| ())
}

async fn send_proof(gate: &peer_gate::Client, proof: &[u8]) -> Result<(), capnp::Error> {
    let mut request = gate.prove_request();
    request.get().set_proof(proof);
    let response = request.send().promise.await?;
    response.get()?.get_inbox().map(|_| ())
}

// A router was started with the secret of another fleet. Neither side may accept the other as a
// peer: the connecting one sends no message, the listening one passes nothing to its core.
#[test]
fn connect_wrong_secret_passes_nothing_either_way() {
    let left = start("host-a", 1, options(OTHER_SECRET));
    let right = start("host-b", 7, options(SECRET));
    left.send(&right, settle_reply(1));
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

// A client that speaks the protocol without knowing the secret forges a proof. It gets no inbox,
// its connection ends, and the same gate allows no second attempt.
#[test]
fn prove_forged_proof_is_refused() {
    let edge = start("host-b", 7, options(SECRET));
    let hello = hello(&edge.own_incarnation);
    with_gate(edge.handle.local_address(), async |gate| {
        assert!(send_hello(&gate, &hello).await.is_ok());
        assert!(send_proof(&gate, &[0; 32]).await.is_err());
        assert!(send_proof(&gate, &[0; 32]).await.is_err());
    });
    edge.wait_for("refused", |counts| counts.refused == 1);
}

#[test]
fn prove_without_hello_is_refused() {
    let edge = start("host-b", 7, options(SECRET));
    with_gate(edge.handle.local_address(), async |gate| {
        assert!(send_proof(&gate, &[0; 32]).await.is_err());
    });
    edge.wait_for("refused", |counts| counts.refused == 1);
}

// A second hello would obtain a new proof from the edge for names that the client chose after it
// had seen the first one.
#[test]
fn hello_twice_is_refused() {
    let edge = start("host-b", 7, options(SECRET));
    let hello = hello(&edge.own_incarnation);
    with_gate(edge.handle.local_address(), async |gate| {
        assert!(send_hello(&gate, &hello).await.is_ok());
        assert!(send_hello(&gate, &hello).await.is_err());
    });
    edge.wait_for("refused", |counts| counts.refused == 1);
}

// A client obtains the router's proof and sends it back as its own. It is invalid because the proof
// contains a label of the side that made it.
#[test]
fn prove_reflected_proof_is_refused() {
    let edge = start("host-b", 7, options(SECRET));
    let hello = hello(&edge.own_incarnation);
    with_gate(edge.handle.local_address(), async |gate| {
        let mut request = gate.hello_request();
        write_hello(&hello, request.get().init_hello()).expect("within limits");
        let response = request.send().promise.await.expect("answers");
        let challenge = response.get().and_then(|results| results.get_challenge());
        let proof = challenge.and_then(|challenge| challenge.get_proof());
        let proof = proof.expect("a proof").to_vec();
        assert!(send_proof(&gate, &proof).await.is_err());
    });
    edge.wait_for("refused", |counts| counts.refused == 1);
}

// A router restarts at the same address. A peer that does not know it yet still sends to the
// earlier incarnation: its requests must not reach the new one, which holds none of the grants they
// refer to.
#[test]
fn connect_other_incarnation_is_refused() {
    let left = start("host-a", 1, options(SECRET));
    let right = start("host-b", 8, options(SECRET));
    let earlier = RouterIncarnation::new("host-b", 7);
    left.handle.send(earlier, right.address(), settle_reply(1));
    left.wait_for("dropped", |counts| counts.dropped == 1);
    left.send(&right, settle_reply(2));
    assert_eq!(
        right.receive(),
        (left.own_incarnation.clone(), settle_reply(2))
    );
    assert!(right.events.is_empty());
}

// A sender that does not check the incarnation greets the earlier one: the new incarnation itself
// has to refuse.
#[test]
fn hello_for_other_incarnation_is_refused() {
    let edge = start("host-b", 8, options(SECRET));
    let earlier = hello(&RouterIncarnation::new("host-b", 7));
    with_gate(edge.handle.local_address(), async |gate| {
        assert!(send_hello(&gate, &earlier).await.is_err());
    });
    edge.wait_for("refused", |counts| counts.refused == 1);
}

// Bytes that are not Cap'n Proto reach the port, from a scanner or a caller at the wrong port. Each
// such connection ends, and peers are still served.
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
    left.send(&right, settle_reply(1));
    assert_eq!(right.receive().1, settle_reply(1));
}

// A client sends half a message and waits, or announces a message of megabytes. It is disconnected
// after the handshake's time limit, whatever it has sent.
#[test]
fn accept_partial_message_times_out() {
    let edge = start("host-b", 7, options(SECRET));
    let mut stream = connect(&edge);
    let mut bytes = packed(&segment_header(1_000));
    bytes.extend(packed(&[1; 96]));
    stream.write_all(&bytes).expect("writes");
    let elapsed = wait_for_close(stream);
    assert!(elapsed >= Duration::from_millis(400), "{elapsed:?}");
    assert!(elapsed < Duration::from_secs(3), "{elapsed:?}");
    edge.wait_for("refused", |counts| counts.refused == 1);
}

// A client announces megabytes and sends them at full speed, packed: two bytes stand for two
// thousand zeros. The edge unpacks no more than the size of a handshake.
#[test]
fn accept_flood_before_authentication_is_cut() {
    for chunk in [vec![0; 65_536], vec![1; 65_536]] {
        let edge = start("host-b", 7, options(SECRET));
        let mut stream = connect(&edge);
        let mut bytes = packed(&segment_header(900_000));
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

// Many clients connect and send nothing. Only a limited number is accepted; a peer is accepted
// again as soon as the silent ones have timed out.
#[test]
fn accept_silent_connections_are_bounded() {
    let mut limited = options(SECRET);
    limited.unauthenticated_max = 3;
    limited.connect_timeout_ms = 1_500;
    let right = start("host-b", 7, limited);
    let begin = Instant::now();
    let silent: Vec<TcpStream> = (0..10).map(|_| connect(&right)).collect();
    right.wait_for("refused", |counts| counts.refused == 7);
    assert!(
        begin.elapsed() < Duration::from_secs(1),
        "the refusals took too long"
    );
    let left = start("host-a", 1, options(SECRET));
    left.send(&right, settle_reply(1));
    assert_eq!(right.receive().1, settle_reply(1));
    drop(silent);
}
