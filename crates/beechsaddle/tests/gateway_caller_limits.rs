//! Tests of the limits on callers while versions of the configuration change them.

mod gateway_support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use beechsaddle_platform_stand_in::{CallerLink, ConfigDraft, LimitsDraft, StoreFault};
use gateway_support::{GatewayBench, draft, request};
use nix::sys::signal::Signal;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

const AMPLE: u64 = 1_000_000;
/// Number of kept connections in each test.
const LINKS: usize = 6;
/// Time after its acknowledgement from which all callers go by a version, in milliseconds: the
/// router's default of `in_force_ms`.
const IN_FORCE_MS: u64 = 2_000;
/// Time after which a limit that is in force has to have cut a connection: a safe margin, as a
/// router may wait for changes that are under way.
const CUT_LIMIT: Duration = Duration::from_secs(7);
/// Size of a header that no version with the smaller head limit allows, in bytes.
const LARGE_HEADER_BYTES: usize = 30_000;

fn idle_draft(version: u64, idle_timeout_ms: u64) -> ConfigDraft {
    let limits = LimitsDraft {
        idle_timeout_ms,
        ..LimitsDraft::default()
    };
    limits_draft(version, limits)
}

fn head_time_draft(version: u64, head_timeout_ms: u64) -> ConfigDraft {
    let limits = LimitsDraft {
        head_timeout_ms,
        ..LimitsDraft::default()
    };
    limits_draft(version, limits)
}

fn head_size_draft(version: u64, head_bytes: u64) -> ConfigDraft {
    let limits = LimitsDraft {
        head_bytes,
        ..LimitsDraft::default()
    };
    limits_draft(version, limits)
}

fn limits_draft(version: u64, limits: LimitsDraft) -> ConfigDraft {
    ConfigDraft {
        limits,
        ..draft(version, AMPLE)
    }
}

/// Writes a configuration and waits until the router goes by it.
async fn change(bench: &GatewayBench, newer: &ConfigDraft) {
    bench.store.put_config(newer);
    let version = format!("version={} ", newer.version);
    bench.router.wait_log(&["config_in_force", &version]).await;
}

async fn connect(address: SocketAddr) -> Vec<CallerLink> {
    let mut links = Vec::new();
    for _ in 0..LINKS {
        links.push(CallerLink::try_connect(address).await.expect("a link"));
    }
    links
}

/// Sends a call on each connection and returns how many were answered with success.
async fn count_served(links: &mut [CallerLink], round: &str) -> usize {
    let mut served = 0;
    for (number, link) in links.iter_mut().enumerate() {
        let call = request("GET /get/1", &format!("{round}-{number}"));
        let reply = link.call(&call).await;
        served += usize::from(reply.is_ok_and(|reply| reply.status == 200));
    }
    served
}

/// Waits until the router closes a connection, and returns how long that took; `None` if it was
/// reset or stays open.
async fn closed_after(stream: &mut TcpStream) -> Option<Duration> {
    let started = Instant::now();
    let mut rest = Vec::new();
    match timeout(CUT_LIMIT, stream.read_to_end(&mut rest)).await {
        Ok(Ok(_)) => Some(started.elapsed()),
        Ok(Err(_)) | Err(_) => None,
    }
}

/// Returns how many connections the router has closed for a reason.
async fn closes(bench: &GatewayBench, what: &str) -> f64 {
    let name = format!("caller_closes_total{{what=\"{what}\"}}");
    bench.router.metric(&name).await.expect("a metric")
}

/// Sends the first half of a head.
async fn begin_head(stream: &mut TcpStream, id: &str) -> Vec<u8> {
    let mut first = request("GET /get/1", id).bytes();
    let rest = first.split_off(first.len() / 2);
    stream.write_all(&first).await.expect("a write");
    rest
}

/// Returns the status of the response that arrives on a connection.
async fn read_status(stream: &mut TcpStream) -> Option<u16> {
    let mut head = [0; 12];
    stream.read_exact(&mut head).await.ok()?;
    let text = String::from_utf8_lossy(&head[9..]).into_owned();
    text.parse().ok()
}

/// Returns the status of a call with a large header; `None` if the connection ended without one.
async fn large_head_status(link: &mut CallerLink, id: &str) -> Option<u16> {
    let mut call = request("GET /get/1", id);
    let line = format!("X-Long: {}", "a".repeat(LARGE_HEADER_BYTES));
    call.extra_headers.push(line);
    link.call(&call).await.ok().map(|reply| reply.status)
}

// Callers keep connections by a longer idle time, and lose calls on those accepted under a shorter
// one.
#[tokio::test]
async fn idle_time_longer_for_used_connections() {
    let bench = GatewayBench::start(&idle_draft(1, 1_000)).await;
    let mut links = connect(bench.router.address).await;
    assert_eq!(count_served(&mut links, "first").await, LINKS);
    change(&bench, &idle_draft(2, 8_000)).await;
    assert_eq!(count_served(&mut links, "second").await, LINKS);
    sleep(Duration::from_secs(5)).await;
    assert_eq!(count_served(&mut links, "third").await, LINKS);
    assert_eq!(closes(&bench, "idle").await, 0.0);
}

// Connections on which a stream has ended are kept for ever, and use up the descriptors.
#[tokio::test]
async fn idle_time_counts_after_streams() {
    let bench = GatewayBench::start(&idle_draft(1, 500)).await;
    for target in &bench.engines {
        target.set_events(5, Duration::from_millis(50));
    }
    let mut stream = TcpStream::connect(bench.router.address)
        .await
        .expect("a link");
    let mut call = request("POST /stream/once/1", "call-1");
    call.tokens = Some((10, 15));
    stream.write_all(&call.bytes()).await.expect("a write");
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"0\r\n\r\n") {
        let count = stream.read_buf(&mut bytes).await.expect("an answer");
        assert!(count > 0, "the connection ended");
    }
    let took = closed_after(&mut stream).await;
    assert!(took.is_some(), "the connection is kept");
    assert_eq!(closes(&bench, "idle").await, 1.0);
}

// A longer idle time reaches connections only with their next request, so that those which are idle
// at the change are closed while callers still use them.
#[tokio::test]
async fn idle_time_longer_for_idle_connections() {
    let bench = GatewayBench::start(&idle_draft(1, 1_000)).await;
    let mut links = connect(bench.router.address).await;
    assert_eq!(count_served(&mut links, "first").await, LINKS);
    sleep(Duration::from_millis(500)).await;
    change(&bench, &idle_draft(2, 8_000)).await;
    sleep(Duration::from_secs(5)).await;
    assert_eq!(count_served(&mut links, "second").await, LINKS);
}

// Callers learn of a longer idle time before the router does, and use connections that it has closed
// by the shorter one.
#[tokio::test]
async fn idle_time_longer_in_force_before_router_knows() {
    let bench = GatewayBench::start(&idle_draft(1, 1_000)).await;
    let mut links = connect(bench.router.address).await;
    assert_eq!(count_served(&mut links, "first").await, LINKS);
    // The router misses the change for most of the time that a change may take.
    bench.store.set_fault(StoreFault::Silent);
    bench.store.put_config(&idle_draft(2, 8_000));
    sleep(Duration::from_millis(IN_FORCE_MS - 300)).await;
    assert_eq!(count_served(&mut links, "second").await, LINKS);
    sleep(Duration::from_millis(900)).await;
    bench.store.set_fault(StoreFault::None);
    bench
        .router
        .wait_log(&["config_in_force", "version=2 "])
        .await;
    sleep(Duration::from_secs(4)).await;
    assert_eq!(count_served(&mut links, "third").await, LINKS);
}

// A router that is cut off from the store closes connections by an idle time that may long have been
// superseded by a longer one.
#[tokio::test]
async fn idle_time_longer_without_store() {
    let bench = GatewayBench::start(&idle_draft(1, 1_000)).await;
    let mut links = connect(bench.router.address).await;
    bench.store.set_fault(StoreFault::Silent);
    bench.router.wait_log(&["store_lost"]).await;
    sleep(Duration::from_millis(IN_FORCE_MS)).await;
    bench.store.put_config(&idle_draft(2, 8_000));
    assert_eq!(count_served(&mut links, "first").await, LINKS);
    sleep(Duration::from_secs(6)).await;
    assert_eq!(count_served(&mut links, "second").await, LINKS);
}

// A router that reaches the store again closes connections by its old idle time, before it has read
// the longer one.
#[tokio::test]
async fn idle_time_longer_read_after_outage() {
    let bench = GatewayBench::start(&idle_draft(1, 1_000)).await;
    let mut links = connect(bench.router.address).await;
    bench.store.set_fault(StoreFault::Silent);
    bench.router.wait_log(&["store_lost"]).await;
    assert_eq!(count_served(&mut links, "first").await, LINKS);
    bench.store.put_config(&idle_draft(2, 8_000));
    sleep(Duration::from_millis(5_500)).await;
    bench.store.set_fault(StoreFault::None);
    bench
        .router
        .wait_log(&["config_in_force", "version=2 "])
        .await;
    assert_eq!(count_served(&mut links, "second").await, LINKS);
    sleep(Duration::from_secs(5)).await;
    assert_eq!(count_served(&mut links, "third").await, LINKS);
}

// A shorter idle time cuts callers who may still go by the longer one, on connections that are idle
// at the change.
#[tokio::test]
async fn idle_time_shorter_for_callers_behind() {
    let bench = GatewayBench::start(&idle_draft(1, 8_000)).await;
    let mut links = connect(bench.router.address).await;
    assert_eq!(count_served(&mut links, "first").await, LINKS);
    sleep(Duration::from_millis(4_500)).await;
    change(&bench, &idle_draft(2, 500)).await;
    sleep(Duration::from_millis(IN_FORCE_MS - 400)).await;
    assert_eq!(count_served(&mut links, "second").await, LINKS);
}

// A shorter idle time cuts callers who may still go by the longer one, on connections that were
// accepted and became idle after the router applied the change.
#[tokio::test]
async fn idle_time_shorter_for_new_connections_of_callers_behind() {
    let bench = GatewayBench::start(&idle_draft(1, 8_000)).await;
    change(&bench, &idle_draft(2, 100)).await;
    let mut links = connect(bench.router.address).await;
    assert_eq!(count_served(&mut links, "first").await, LINKS);
    sleep(Duration::from_millis(IN_FORCE_MS - 300)).await;
    assert_eq!(count_served(&mut links, "second").await, LINKS);
}

// A shorter idle time never reaches connections that were accepted before, which then take up
// descriptors for longer than the operator wants.
#[tokio::test]
async fn idle_time_shorter_closes_connections_in_the_end() {
    let bench = GatewayBench::start(&idle_draft(1, 60_000)).await;
    let mut stream = TcpStream::connect(bench.router.address)
        .await
        .expect("a link");
    change(&bench, &idle_draft(2, 500)).await;
    sleep(Duration::from_millis(IN_FORCE_MS)).await;
    let call = request("GET /get/1", "first").bytes();
    stream.write_all(&call).await.expect("a write");
    assert_eq!(read_status(&mut stream).await, Some(200));
    assert!(closed_after(&mut stream).await.is_some());
}

// A connection stays open for ever if its caller sends nothing, or is cut by a reset instead of a
// normal close.
#[tokio::test]
async fn idle_time_over_closes_unused_connection() {
    let bench = GatewayBench::start(&idle_draft(1, 500)).await;
    let mut stream = TcpStream::connect(bench.router.address)
        .await
        .expect("a link");
    let took = closed_after(&mut stream).await.expect("a close");
    assert!(took >= Duration::from_millis(450), "{took:?}");
    assert_eq!(closes(&bench, "idle").await, 1.0);
}

// A request that waits in the socket when the idle time is over, as the router's process stood
// still, ends without an answer.
#[tokio::test]
async fn idle_time_over_with_request_in_socket() {
    let bench = GatewayBench::start(&idle_draft(1, 500)).await;
    let mut streams = Vec::new();
    for _ in 0..LINKS {
        let stream = TcpStream::connect(bench.router.address).await;
        streams.push(stream.expect("a link"));
    }
    sleep(Duration::from_millis(200)).await;
    bench.router.signal(Signal::SIGSTOP);
    for (number, stream) in streams.iter_mut().enumerate() {
        let mut call = request("GET /get/1", &format!("call-{number}"));
        call.deadline_ms = 60_000;
        stream.write_all(&call.bytes()).await.expect("a write");
    }
    sleep(Duration::from_secs(6)).await;
    bench.router.signal(Signal::SIGCONT);
    for stream in &mut streams {
        assert_eq!(read_status(stream).await, Some(200));
    }
}

// A shorter time for heads is not enforced on connections that were accepted before, so that slow
// callers hold them for as long as the former version allowed.
#[tokio::test]
async fn head_time_shorter_cuts_slow_head() {
    let bench = GatewayBench::start(&head_time_draft(1, 30_000)).await;
    let mut stream = TcpStream::connect(bench.router.address)
        .await
        .expect("a link");
    change(&bench, &head_time_draft(2, 300)).await;
    sleep(Duration::from_millis(IN_FORCE_MS + 1_000)).await;
    let rest = begin_head(&mut stream, "slow").await;
    let started = Instant::now();
    for byte in rest.chunks(1) {
        // The write fails once the router has closed.
        if stream.write_all(byte).await.is_err() {
            break;
        }
        sleep(Duration::from_millis(200)).await;
    }
    assert!(started.elapsed() < CUT_LIMIT, "{:?}", started.elapsed());
    assert_eq!(closes(&bench, "head").await, 1.0);
}

// A longer time for heads does not reach connections that were accepted before, and slow callers
// lose requests that the configuration allows.
#[tokio::test]
async fn head_time_longer_serves_slow_head() {
    let bench = GatewayBench::start(&head_time_draft(1, 300)).await;
    let mut stream = TcpStream::connect(bench.router.address)
        .await
        .expect("a link");
    change(&bench, &head_time_draft(2, 10_000)).await;
    let rest = begin_head(&mut stream, "slow").await;
    sleep(Duration::from_millis(4_500)).await;
    // The write fails if the router has closed, and then there is no status either.
    let _ = stream.write_all(&rest).await;
    assert_eq!(read_status(&mut stream).await, Some(200));
}

// A head limit is read at accept, so that callers on kept connections are refused what a newer
// version allows.
#[tokio::test]
async fn head_size_larger_for_open_connections() {
    let bench = GatewayBench::start(&head_size_draft(1, 16_384)).await;
    let mut links = connect(bench.router.address).await;
    assert_eq!(count_served(&mut links, "first").await, LINKS);
    change(&bench, &head_size_draft(2, 65_536)).await;
    for link in &mut links {
        assert_eq!(large_head_status(link, "large").await, Some(200));
    }
}

// A smaller head limit is not enforced on kept connections, or cuts them without a refusal.
#[tokio::test]
async fn head_size_smaller_for_open_connections() {
    let bench = GatewayBench::start(&head_size_draft(1, 65_536)).await;
    let mut links = connect(bench.router.address).await;
    assert_eq!(count_served(&mut links, "first").await, LINKS);
    change(&bench, &head_size_draft(2, 16_384)).await;
    // Callers may go by the former version until then.
    assert_eq!(large_head_status(&mut links[0], "early").await, Some(200));
    sleep(Duration::from_millis(IN_FORCE_MS + 1_000)).await;
    for link in &mut links {
        assert_eq!(large_head_status(link, "late").await, Some(431));
    }
}

// A body limit is read at accept, or a smaller one refuses callers who may go by the larger one.
#[tokio::test]
async fn body_size_change_for_open_connections() {
    let body_draft = |version, body_bytes| {
        let limits = LimitsDraft {
            body_bytes,
            ..LimitsDraft::default()
        };
        limits_draft(version, limits)
    };
    let bench = GatewayBench::start(&body_draft(1, 1_000)).await;
    let mut link = CallerLink::try_connect(bench.router.address)
        .await
        .expect("a link");
    let mut call = request("POST /get/1", "large");
    call.body = vec![b'a'; 20_000];
    change(&bench, &body_draft(2, 65_536)).await;
    let reply = link.call(&call).await.expect("an answer");
    assert_eq!(reply.status, 200);
    change(&bench, &body_draft(3, 1_000)).await;
    let reply = link.call(&call).await.expect("an answer");
    assert_eq!(reply.status, 200);
    sleep(Duration::from_millis(IN_FORCE_MS + 1_000)).await;
    let reply = link.call(&call).await.expect("an answer");
    assert_eq!(reply.status, 413);
}
