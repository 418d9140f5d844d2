//! Tests of refusals that are sent before the request's body has arrived.

mod gateway_support;

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use beechsaddle_platform_stand_in::{CallRequest, CallerLink, ConfigDraft, LimitsDraft};
use gateway_support::{GatewayBench, KEY, draft, request};
use nix::sys::signal::Signal;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};

const AMPLE: u64 = 1_000_000;
/// Size of the bodies that the router refuses to read, in bytes.
const BODY_BYTES: usize = 400_000;
/// Size of the parts in which a body is sent, in bytes.
const PART_BYTES: usize = 20_000;
/// Pause between two parts: the router has answered, and closed if it does, within one.
const PART_PAUSE: Duration = Duration::from_millis(20);
/// Size of a receive buffer that a few responses fill, in bytes.
const SMALL_BUFFER_BYTES: u32 = 2_048;
/// Number of calls whose responses overfill the small buffer.
const UNREAD_CALLS: usize = 40;
/// The grace period of the routers in all tests, in milliseconds.
const GRACE_MS: u64 = 6_000;
/// Time after which a connection that is still open counts as kept.
const CLOSE_LIMIT: Duration = Duration::from_secs(6);

/// Returns a call with a large body.
fn large_call(line: &str, key: &str) -> CallRequest {
    let mut call = CallRequest::new(line, "large", key);
    call.body = vec![b'a'; BODY_BYTES];
    call
}

/// Sends a request in parts, with pauses.
async fn send_slowly(stream: &mut TcpStream, call: &CallRequest) -> io::Result<()> {
    for part in call.bytes().chunks(PART_BYTES) {
        stream.write_all(part).await?;
        sleep(PART_PAUSE).await;
    }
    Ok(())
}

/// Reads all that arrives before the end of the connection.
async fn read_rest(stream: &mut TcpStream) -> (String, io::Result<usize>) {
    let mut rest = Vec::new();
    let ended = timeout(CLOSE_LIMIT, stream.read_to_end(&mut rest)).await;
    let ended = ended.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
    (String::from_utf8_lossy(&rest).into_owned(), ended)
}

/// Connects and has one call served.
async fn connect_used(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("a link");
    let call = request("GET /get/1", "first");
    stream.write_all(&call.bytes()).await.expect("a write");
    let mut head = [0; 12];
    stream.read_exact(&mut head).await.expect("a status");
    assert_eq!(&head, b"HTTP/1.1 200");
    sleep(Duration::from_millis(100)).await;
    let mut rest = [0; 4_096];
    let count = stream.read(&mut rest).await.expect("the rest");
    assert!(count > 0);
    stream
}

/// Sends a call that is refused, and checks that the refusal is all that its caller receives.
async fn check_refusal(bench: &GatewayBench, call: &CallRequest, status: &str, reason: &str) {
    let mut stream = connect_used(bench.router.address).await;
    let sent = send_slowly(&mut stream, call).await;
    let (rest, ended) = read_rest(&mut stream).await;
    assert!(sent.is_ok() && ended.is_ok(), "{sent:?} {ended:?} {rest:?}");
    assert!(rest.starts_with(status), "{rest}");
    assert!(rest.contains("connection: close\r\n"), "{rest}");
    assert!(rest.contains(&format!("\"reason\":\"{reason}\"")), "{rest}");
    assert!(rest.ends_with("}}"), "{rest}");
}

/// Sends bytes until the router cuts the connection, and returns how long that took.
async fn send_endlessly(stream: &mut TcpStream) -> Duration {
    let started = Instant::now();
    while stream.write_all(&[b'a'; 1_000]).await.is_ok() {
        assert!(started.elapsed() < CLOSE_LIMIT, "the connection is kept");
        sleep(PART_PAUSE).await;
    }
    started.elapsed()
}

/// Sends the head of a call with a body that takes longer than any close, on a route that does not
/// exist.
async fn begin_endless_call(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("a link");
    let call = request("POST /none/1", "endless").bytes();
    let head = String::from_utf8(call).expect("a head");
    let head = head.replace("Content-Length: 0", "Content-Length: 100000000");
    let written = stream.write_all(head.as_bytes()).await;
    written.expect("a write");
    stream
}

// Writes of callers on a route that was just removed fail before they read the refusal.
#[tokio::test]
async fn unknown_route_with_body_under_way() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    let call = large_call("POST /none/1", KEY);
    check_refusal(&bench, &call, "HTTP/1.1 404 ", "unknown_route").await;
}

// Writes of callers whose key was just removed fail before they read the refusal.
#[tokio::test]
async fn unknown_key_with_body_under_way() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    let call = large_call("POST /order/1", "no-such-key");
    check_refusal(&bench, &call, "HTTP/1.1 401 ", "unknown_key").await;
}

// Writes of callers whose body is larger than the limit fail before they read the refusal.
#[tokio::test]
async fn too_large_body_under_way() {
    let limits = LimitsDraft {
        body_bytes: 50_000,
        ..LimitsDraft::default()
    };
    let config = ConfigDraft {
        limits,
        ..draft(1, AMPLE)
    };
    let bench = GatewayBench::start(&config).await;
    let call = large_call("POST /order/1", KEY);
    check_refusal(&bench, &call, "HTTP/1.1 413 ", "body_too_large").await;
}

// The reset discards responses that wait for a caller who reads slowly, also those of calls that ran.
#[tokio::test]
async fn unknown_route_behind_unread_responses() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    let socket = TcpSocket::new_v4().expect("a socket");
    let sized = socket.set_recv_buffer_size(SMALL_BUFFER_BYTES);
    sized.expect("a small buffer");
    let connected = socket.connect(bench.router.address).await;
    let mut stream = connected.expect("a link");
    for number in 0..UNREAD_CALLS {
        let call = request("GET /get/1", &format!("call-{number}"));
        stream.write_all(&call.bytes()).await.expect("a write");
    }
    let call = large_call("POST /none/1", KEY);
    let sent = send_slowly(&mut stream, &call).await;
    let (rest, ended) = read_rest(&mut stream).await;
    let served = rest.matches("HTTP/1.1 200 ").count();
    let ran = GatewayBench::run_count(&bench.plain);
    assert_eq!((served, ran), (UNREAD_CALLS, UNREAD_CALLS), "{sent:?}");
    assert!(sent.is_ok() && ended.is_ok(), "{sent:?} {ended:?}");
    assert!(rest.ends_with("}}"), "{rest}");
}

// A refusal closes the connection although the body has arrived, so that each costs a new one.
#[tokio::test]
async fn unknown_route_with_whole_body_keeps_connection() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    let mut link = CallerLink::try_connect(bench.router.address)
        .await
        .expect("a link");
    for number in 0..3 {
        let mut call = request("POST /none/1", &format!("small-{number}"));
        call.body = vec![b'a'; 1_000];
        let reply = link.call(&call).await.expect("an answer");
        assert_eq!(reply.status, 404);
    }
    let reply = link.call(&request("GET /get/1", "last")).await;
    assert_eq!(reply.expect("an answer").status, 200);
}

// A caller that sends on after its refusal holds its connection for ever, or the wait for it to close
// is taken for the wait for a request or a head.
#[tokio::test]
async fn unknown_route_with_endless_body() {
    let limits = LimitsDraft {
        idle_timeout_ms: 500,
        head_timeout_ms: 300,
        ..LimitsDraft::default()
    };
    let config = ConfigDraft {
        limits,
        ..draft(1, AMPLE)
    };
    let bench = GatewayBench::start(&config).await;
    let mut stream = begin_endless_call(bench.router.address).await;
    let took = send_endlessly(&mut stream).await;
    assert!(took > Duration::from_secs(1), "{took:?}");
    let closes = bench.router.log_lines(&["caller_closed"]);
    assert!(closes.is_empty(), "{closes:?}");
    for what in ["idle", "head"] {
        let name = format!("caller_closes_total{{what=\"{what}\"}}");
        assert_eq!(bench.router.metric(&name).await, Some(0.0));
    }
}

// A caller that sends on after its refusal delays the exit of the router.
#[tokio::test]
async fn unknown_route_with_endless_body_at_exit() {
    let mut bench = GatewayBench::start(&draft(1, AMPLE)).await;
    bench.router.signal(Signal::SIGTERM);
    bench.router.wait_log(&["leaving"]).await;
    let left_at = Instant::now();
    // So that the router exits while it waits for the caller to close.
    sleep(Duration::from_millis(1_500)).await;
    let mut stream = begin_endless_call(bench.router.address).await;
    let sending = tokio::spawn(async move { send_endlessly(&mut stream).await });
    assert_eq!(bench.router.wait_end().await, Some(0));
    let took = left_at.elapsed();
    assert!(took < Duration::from_millis(GRACE_MS), "{took:?}");
    assert!(sending.await.is_ok());
}
