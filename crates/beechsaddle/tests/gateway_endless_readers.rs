//! Tests of routers to which others than targets of their calls send without end.

mod gateway_support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use beechsaddle_platform_stand_in::EntryState;
use beechsaddle_wire::lending_capnp::{TunnelOutcome, tunnel_reply, tunnel_request};
use gateway_support::{GatewayBench, GatewayProcess, SETTLE_SPAN, draft, request, wait_for};
use tokio::io::{AsyncReadExt, AsyncWriteExt, copy_bidirectional};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use tokio_util::compat::TokioAsyncReadCompatExt;

/// How long a peer sends without end.
const SEND_SPAN: Duration = Duration::from_millis(3_000);

/// Maximum processor time that a router may spend meanwhile, beyond its calls, in milliseconds.
const PROCESSOR_MS_MAX: u64 = 900;

/// Maximum time of a usual call beside busy tunnels.
const CALL_TIME_MAX: Duration = Duration::from_millis(40);

/// A router that carries tunnels, and a target of a service of its own.
struct TunnelBench {
    bench: GatewayBench,
}

impl TunnelBench {
    /// Starts a bench with a target that answers any request with the head, and the part without end.
    async fn start(head: &'static str, part: &'static [u8]) -> Self {
        let bench = GatewayBench::start(&draft(1, 1_000_000)).await;
        let address = start_endless(head, part).await;
        let entry = bench.plain[0].entry_at(address, "endless", "north", EntryState::Ready);
        bench.store.put("servers", "endless-1", &entry);
        bench.router.wait_log(&["target_joined", "endless-1"]).await;
        wait_for("a secret", || async {
            bench.store.spec("budgets", "peer-secret").is_some()
        })
        .await;
        sleep(SETTLE_SPAN).await;
        TunnelBench { bench }
    }

    /// Opens a tunnel to the target, as another router would.
    async fn open_tunnel(&self) -> TcpStream {
        let store = &self.bench.store;
        let secret = store.spec("budgets", "peer-secret").expect("a secret");
        let mut stream = connect_peer(&self.bench).await;
        let mut message = capnp::message::Builder::new_default();
        let mut request = message.init_root::<tunnel_request::Builder<'_>>();
        request.set_secret(secret["secret"].as_str().expect("a text"));
        request.set_target("endless-1");
        let mut bytes = b"TUNL".to_vec();
        capnp::serialize::write_message(&mut bytes, &message).expect("a message");
        stream.write_all(&bytes).await.expect("a request");
        let options = capnp::message::ReaderOptions::new();
        let reply = capnp_futures::serialize::read_message((&mut stream).compat(), options).await;
        let reply = reply.expect("a reply");
        let reply = reply
            .get_root::<tunnel_reply::Reader<'_>>()
            .expect("a reply");
        assert_eq!(reply.get_outcome(), Ok(TunnelOutcome::Opened));
        let head = "POST /order/1 HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n";
        stream.write_all(head.as_bytes()).await.expect("a request");
        stream
    }
}

async fn wait_entry(bench: &GatewayBench) {
    wait_for("an entry of the router", || async {
        bench.store.spec("routers", "host-1").is_some()
    })
    .await;
}

async fn connect_peer(bench: &GatewayBench) -> TcpStream {
    let entry = bench.store.spec("routers", "host-1").expect("an entry");
    let address = entry["address"].as_str().expect("an address");
    TcpStream::connect(address).await.expect("a connection")
}

async fn start_endless(head: &'static str, part: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(send_without_end(stream, head, part));
        }
    });
    address
}

/// Answers a request with the head, and the part without end.
async fn send_without_end(mut stream: TcpStream, head: &'static str, part: &'static [u8]) {
    let mut request = [0; 4_096];
    let parts = part.repeat(64 * 1_024 / part.len());
    // The router closes connections at any moment.
    if stream.read(&mut request).await.is_ok_and(|count| count > 0)
        && stream.write_all(head.as_bytes()).await.is_ok()
    {
        while stream.write_all(&parts).await.is_ok() {}
    }
}

/// Reads until the connection ends, for `SEND_SPAN` at most; returns the number of bytes, and whether it
/// ended.
async fn read_on(mut stream: TcpStream) -> (u64, bool) {
    let mut buffer = vec![0; 64 * 1_024];
    let mut read = 0;
    let reading = async {
        while let Ok(count @ 1..) = stream.read(&mut buffer).await {
            read += count as u64;
        }
    };
    let is_ended = timeout(SEND_SPAN, reading).await.is_ok();
    (read, is_ended)
}

/// Sends calls one after another for `SEND_SPAN`; returns the times that they took, in order of length.
async fn time_calls(bench: &GatewayBench) -> Vec<Duration> {
    let started = Instant::now();
    let mut times = Vec::new();
    let mut number = 0;
    while started.elapsed() < SEND_SPAN {
        let sent = Instant::now();
        let call = request("GET /get/1", &format!("beside-{number}"));
        assert_eq!(bench.router.call(&call).await.status, 200);
        times.push(sent.elapsed());
        number += 1;
        sleep(Duration::from_millis(20)).await;
    }
    times.sort_unstable();
    times
}

/// A target that sends interim responses without end through a tunnel took the processor of the router
/// that carries it.
#[tokio::test]
async fn interim_heads_without_end_close_the_tunnel() {
    let bench = TunnelBench::start("", b"HTTP/1.1 102 Processing\r\n\r\n").await;
    let stream = bench.open_tunnel().await;
    let before = bench.bench.router.processor_ms();
    let ((read, is_ended), times) = tokio::join!(read_on(stream), time_calls(&bench.bench));
    let used = bench.bench.router.processor_ms() - before;
    println!(
        "read {read} bytes, ended {is_ended}, {used} ms, slowest call {:?}",
        times.last()
    );
    assert!(is_ended, "the tunnel copied {read} bytes and goes on");
    assert!(used < PROCESSOR_MS_MAX, "{used} ms");
}

/// Bodies without end in tunnels delayed the calls of the router that carries them.
#[tokio::test]
async fn bodies_without_end_in_tunnels_delay_no_call() {
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 1000000000000\r\n\r\n";
    let bench = TunnelBench::start(head, &[b' '; 1_024]).await;
    let before = bench.bench.router.processor_ms();
    let tunnels = async {
        let mut read = Vec::new();
        for _ in 0..64 {
            read.push(read_on(bench.open_tunnel().await));
        }
        futures::future::join_all(read).await
    };
    let (read, times) = tokio::join!(tunnels, time_calls(&bench.bench));
    let used = bench.bench.router.processor_ms() - before;
    let read: u64 = read.iter().map(|(read, _)| read).sum();
    let median = times[times.len() / 2];
    println!("read {read} bytes, {used} ms, median {median:?}");
    assert!(median < CALL_TIME_MAX, "{median:?}");
}

/// A message of 60 MB from anyone who connects took as much memory.
#[tokio::test]
async fn large_peer_message_takes_no_memory() {
    let bench = GatewayBench::start(&draft(1, 1_000_000)).await;
    wait_entry(&bench).await;
    let before = bench.router.peak_memory_mb();
    let send = async {
        let mut stream = connect_peer(&bench).await;
        let words: u32 = 7_500_000;
        let mut head = vec![0; 4];
        head.extend_from_slice(&words.to_le_bytes());
        stream.write_all(&head).await.expect("a head");
        for _ in 0..59 {
            if stream.write_all(&vec![1; 1_000_000]).await.is_err() {
                return;
            }
        }
        sleep(Duration::from_millis(1_000)).await;
    };
    tokio::join!(send, time_calls(&bench));
    let used = bench.router.peak_memory_mb().saturating_sub(before);
    println!("{used} MB");
    assert!(used < 20, "{used} MB");
}

/// A connection that sends nothing to the address for other routers was kept for ever.
#[tokio::test]
async fn silent_peer_is_closed() {
    let bench = GatewayBench::start(&draft(1, 1_000_000)).await;
    wait_entry(&bench).await;
    let stream = connect_peer(&bench).await;
    let (_, is_ended) = read_on(stream).await;
    assert!(is_ended);
}

/// An intermediary before the store that sends without end took the processor of the router, and delayed
/// its calls.
#[tokio::test]
async fn store_without_end_takes_no_processor() {
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let sized = "HTTP/1.1 200 OK\r\ncontent-length: 1000000000000\r\n\r\n";
    let rejection = "HTTP/1.1 503 Away\r\ncontent-length: 1000000000000\r\n\r\n";
    for (head, part) in [
        (chunked, "1\r\n \r\n"),
        (sized, "                "),
        (rejection, "                "),
        ("HTTP/1.1 200 OK\r\n", "name-without-end"),
        ("", "HTTP/1.1 102 Processing\r\n\r\n"),
    ] {
        let bench = GatewayBench::start(&draft(1, 1_000_000)).await;
        let front = StoreFront::start(bench.store.address(), head, part).await;
        let router = GatewayProcess::start(front.address, "host-2", "north");
        router.wait_ready().await;
        router.wait_log(&["target_joined", "plain-2"]).await;
        let bench = GatewayBench { router, ..bench };
        front.is_endless.send_replace(true);
        let before = bench.router.processor_ms();
        let times = time_calls(&bench).await;
        let used = bench.router.processor_ms() - before;
        let slowest = times.last();
        println!("{head:?} {part:?}: {used} ms, slowest call {slowest:?}");
        assert!(used < PROCESSOR_MS_MAX, "{head:?} {part:?}: {used} ms");
    }
}

/// An intermediary between a router and the store, which answers by itself on request.
struct StoreFront {
    address: SocketAddr,
    is_endless: watch::Sender<bool>,
}

impl StoreFront {
    /// Starts an intermediary that forwards, and later answers with the head, and the part without end.
    async fn start(store: SocketAddr, head: &'static str, part: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("its address");
        let is_endless = watch::Sender::new(false);
        let sender = is_endless.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let is_endless = sender.subscribe();
                tokio::spawn(async move {
                    let answers = *is_endless.borrow();
                    match answers {
                        true => send_without_end(stream, head, part.as_bytes()).await,
                        false => forward(stream, store, is_endless).await,
                    }
                });
            }
        });
        StoreFront {
            address,
            is_endless,
        }
    }
}

/// Forwards to the store until the intermediary answers by itself.
async fn forward(mut stream: TcpStream, store: SocketAddr, mut is_endless: watch::Receiver<bool>) {
    let mut server = TcpStream::connect(store).await.expect("a connection");
    tokio::select! {
        // Either end may close at any moment; the other one notices.
        _ = copy_bidirectional(&mut stream, &mut server) => {}
        _ = is_endless.wait_for(|is_endless| *is_endless) => {}
    }
}
