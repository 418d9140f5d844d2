//! Tests of calls that are under way in the later phases of a shutdown.

mod gateway_support;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use beechsaddle_platform_stand_in::{CallRequest, StoreFault, StoreStandIn, TargetFault};
use gateway_support::{GatewayBench, GatewayProcess, draft, request};
use nix::sys::signal::Signal;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{sleep, sleep_until, timeout};

const AMPLE: u64 = 1_000_000;
/// Maximum time for a response.
const REPLY_LIMIT: Duration = Duration::from_secs(8);
/// Time from the signal to the end of the drain, in milliseconds: a third of the routers' grace period.
const DRAIN_MS: u64 = 2_000;
/// Time from the signal until calls get their final response, in milliseconds.
const CALLS_END_MS: u64 = 5_300;
/// The routers' grace period.
const GRACE: Duration = Duration::from_secs(6);

/// What a caller received before its connection ended.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Outcome {
    /// The whole response of a target.
    Answered,
    /// A refusal as not run, with its body.
    NotRun(String),
    /// Any other whole response.
    Other(String),
    /// No response, or a part of one.
    Cut(String),
}

impl Outcome {
    /// Reads a response up to the end of the connection.
    async fn read(stream: &mut TcpStream) -> Self {
        let mut bytes = Vec::new();
        let ended = timeout(REPLY_LIMIT, stream.read_to_end(&mut bytes)).await;
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let is_closed = matches!(ended, Ok(Ok(_)));
        let Some((head, body)) = text.split_once("\r\n\r\n").filter(|_| is_closed) else {
            return Outcome::Cut(format!("{ended:?} {text}"));
        };
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "));
        let is_whole = match length {
            Some(length) => length.parse() == Ok(body.len()),
            None => body.ends_with("0\r\n\r\n"),
        };
        match head.split(' ').nth(1) {
            _ if !is_whole => Outcome::Cut(text),
            Some("200") => Outcome::Answered,
            Some("503") => Outcome::NotRun(body.to_owned()),
            _ => Outcome::Other(text),
        }
    }
}

/// A router that was told to leave.
struct LeavingBench {
    bench: GatewayBench,
    signalled_at: Instant,
}

impl LeavingBench {
    /// Starts a router that holds tokens.
    async fn start() -> GatewayBench {
        let bench = GatewayBench::start(&draft(1, AMPLE)).await;
        let mut call = request("POST /stream/once/1", "first");
        call.tokens = Some((10, 24));
        assert_eq!(bench.router.call(&call).await.status, 200);
        bench
    }

    fn leave(bench: GatewayBench) -> Self {
        bench.router.signal(Signal::SIGTERM);
        LeavingBench {
            bench,
            signalled_at: Instant::now(),
        }
    }

    /// Makes the store fail, so that the return of tokens takes some time, and tells the router to leave.
    async fn leave_without_store(bench: GatewayBench) -> Self {
        bench.store.set_fault(StoreFault::Refusing);
        bench.router.wait_log(&["store_lost"]).await;
        LeavingBench::leave(bench)
    }

    /// Waits until a time after the signal, in milliseconds.
    async fn wait_until(&self, after_ms: u64) {
        let at = self.signalled_at + Duration::from_millis(after_ms);
        sleep_until(tokio::time::Instant::from_std(at)).await;
    }

    async fn connect(&self) -> TcpStream {
        connect(self.bench.router.address).await
    }

    /// Returns the ids of all requests that reached a target.
    fn arrived(&self) -> BTreeSet<String> {
        let targets = self.bench.plain.iter().chain(&self.bench.engines);
        let runs = targets.flat_map(|target| target.runs());
        let ids = runs.map(|run| run.headers["x-beechsaddle-attempt-id"].clone());
        ids.collect()
    }

    /// Checks that a caller was told the truth.
    fn check_told(&self, id: &str, outcome: &Outcome) {
        match outcome {
            Outcome::Answered | Outcome::Other(_) => {}
            Outcome::NotRun(_) => assert!(!self.arrived().contains(id), "{id} ran: {outcome:?}"),
            Outcome::Cut(_) => {
                let has_arrived = self.arrived().contains(id);
                panic!("{id} arrived: {has_arrived}, {outcome:?}");
            }
        }
    }

    async fn check_exit_within(&mut self, limit: Duration) {
        assert_eq!(self.bench.router.wait_end().await, Some(0));
        let took = self.signalled_at.elapsed();
        println!("the exit took {took:?}");
        assert!(took < limit, "{took:?}");
    }
}

async fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).await.expect("a link");
    stream.set_nodelay(true).expect("an option");
    stream
}

/// Connects and has one call served.
async fn connect_used(address: SocketAddr, id: &str) -> TcpStream {
    let mut stream = connect(address).await;
    let call = request("GET /get/1", id);
    stream.write_all(&call.bytes()).await.expect("a write");
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"plain-1") && !bytes.ends_with(b"plain-2") {
        let count = stream.read_buf(&mut bytes).await.expect("an answer");
        assert!(count > 0, "the connection ended");
    }
    stream
}

/// Returns a call with a body, in two parts: the head with half of the body, and the rest.
fn split_body(call: &mut CallRequest) -> [Vec<u8>; 2] {
    call.body = vec![b'a'; 1_000];
    let mut first = call.bytes();
    let rest = first.split_off(first.len() - 500);
    [first, rest]
}

// The body of a call is read to its end while the last responses are sent: the call goes to a target,
// although no time is left for its response.
#[tokio::test]
async fn body_read_after_the_last_responses_is_not_passed_on() {
    let bench = LeavingBench::start().await;
    for target in &bench.plain {
        target.set_response_delay(Duration::from_millis(800));
    }
    let mut leaving = LeavingBench::leave_without_store(bench).await;
    leaving.wait_until(DRAIN_MS - 100).await;
    let mut links = Vec::new();
    for number in 0..4 {
        let mut call = request("POST /order/1", &format!("call-{number}"));
        call.deadline_ms = 60_000;
        let [first, rest] = split_body(&mut call);
        let mut link = leaving.connect().await;
        link.write_all(&first).await.expect("a write");
        links.push((call.id, link, rest));
    }
    leaving.wait_until(CALLS_END_MS + 100).await;
    for (_, link, rest) in &mut links {
        link.write_all(rest).await.expect("a write");
    }
    for (id, mut link, _) in links {
        let outcome = Outcome::read(&mut link).await;
        println!("{id} {outcome:?}");
        leaving.check_told(&id, &outcome);
        assert!(matches!(outcome, Outcome::NotRun(_)), "{id} {outcome:?}");
    }
    leaving.check_exit_within(GRACE).await;
}

// The body of a stream call ends after the drain: the stream begins and the end of the grace period cuts
// it, although another router could have served it whole.
#[tokio::test]
async fn stream_body_across_the_drain_end_is_not_cut() {
    let bench = LeavingBench::start().await;
    for target in &bench.engines {
        target.set_events(45, Duration::from_millis(100));
    }
    let mut leaving = LeavingBench::leave(bench);
    leaving.wait_until(DRAIN_MS - 100).await;
    let mut links = Vec::new();
    for number in 0..4 {
        let mut call = request("POST /stream/once/1", &format!("call-{number}"));
        call.tokens = Some((10, 90));
        let [first, rest] = split_body(&mut call);
        let mut link = leaving.connect().await;
        link.write_all(&first).await.expect("a write");
        links.push((call.id, link, rest));
    }
    leaving.wait_until(DRAIN_MS + 1_100).await;
    for (_, link, rest) in &mut links {
        link.write_all(rest).await.expect("a write");
    }
    for (id, mut link, _) in links {
        let outcome = Outcome::read(&mut link).await;
        leaving.check_told(&id, &outcome);
    }
    leaving.check_exit_within(GRACE).await;
}

/// Has a router stopped from before the end of the drain until calls had to have their final response, while
/// calls arrive in its queue and, if there are some, on kept connections; their callers have to be told
/// their outcomes.
async fn check_stopped(mut leaving: LeavingBench, mut links: Vec<TcpStream>) {
    for target in &leaving.bench.plain {
        target.set_response_delay(Duration::from_millis(800));
    }
    leaving.wait_until(DRAIN_MS - 100).await;
    leaving.bench.router.signal(Signal::SIGSTOP);
    sleep(Duration::from_millis(20)).await;
    for _ in 0..6 {
        links.push(leaving.connect().await);
    }
    for (number, link) in links.iter_mut().enumerate() {
        let call = request("GET /get/1", &format!("call-{number}"));
        link.write_all(&call.bytes()).await.expect("a write");
    }
    leaving.wait_until(CALLS_END_MS + 50).await;
    leaving.bench.router.signal(Signal::SIGCONT);
    for (number, mut link) in links.into_iter().enumerate() {
        let outcome = Outcome::read(&mut link).await;
        leaving.check_told(&format!("call-{number}"), &outcome);
    }
    leaving.check_exit_within(GRACE).await;
}

// What waits for a router that was held up for most of the grace period is passed on while it gives its
// tokens back, and cut by the exit.
#[tokio::test]
async fn router_that_was_stopped_for_most_of_the_grace_cuts_no_call() {
    let bench = LeavingBench::start().await;
    let leaving = LeavingBench::leave_without_store(bench).await;
    check_stopped(leaving, Vec::new()).await;
}

// As above with calls on kept connections.
#[tokio::test]
async fn router_that_was_stopped_with_kept_connections_cuts_no_call() {
    let bench = LeavingBench::start().await;
    let mut links = Vec::new();
    for number in 0..6 {
        let link = connect_used(bench.router.address, &format!("used-{number}")).await;
        links.push(link);
    }
    let leaving = LeavingBench::leave_without_store(bench).await;
    check_stopped(leaving, links).await;
}

// As above for a router that has no token to give back, whose exit waits for nothing.
#[tokio::test]
async fn router_that_was_stopped_without_tokens_reads_its_queue() {
    let bench = GatewayBench::start(&draft(1, 0)).await;
    check_stopped(LeavingBench::leave(bench), Vec::new()).await;
}

/// Has a router with a short grace period leave while calls are open, and others arrive at any time of the
/// drain; their callers have to be told their outcomes.
async fn check_short_grace(grace_s: u64) {
    let bench = LeavingBench::start().await;
    for target in &bench.plain {
        target.set_response_delay(Duration::from_millis(400));
    }
    let edited = format!("grace_s = {grace_s}");
    bench.router.edit_settings("grace_s = 6", &edited);
    bench.router.signal(Signal::SIGHUP);
    sleep(Duration::from_millis(500)).await;
    let address = bench.router.address;
    let mut leaving = LeavingBench::leave(bench);
    let drain_ms = 2_500.min(grace_s * 1_000 / 3);
    let mut callers = Vec::new();
    let mut number = 0;
    while leaving.signalled_at.elapsed() < Duration::from_millis(drain_ms - 5) {
        let call = request("POST /order/1", &format!("call-{number}"));
        callers.push(tokio::spawn(async move {
            let mut link = TcpStream::connect(address).await.expect("a link");
            link.write_all(&call.bytes()).await.expect("a write");
            (call.id, Outcome::read(&mut link).await)
        }));
        number += 1;
        sleep(Duration::from_millis(3)).await;
    }
    for caller in callers {
        let (id, outcome) = caller.await.expect("no panic");
        leaving.check_told(&id, &outcome);
    }
    let limit = Duration::from_secs(grace_s);
    leaving.check_exit_within(limit).await;
}

// The grace period is shorter than the reserve for the end of the process and the drain.
#[tokio::test]
async fn grace_of_one_second_cuts_no_call() {
    check_short_grace(1).await;
}

#[tokio::test]
async fn grace_of_two_seconds_cuts_no_call() {
    check_short_grace(2).await;
}

#[tokio::test]
async fn grace_of_three_seconds_cuts_no_call() {
    check_short_grace(3).await;
}

/// Calls for a stream as a caller that speaks HTTP/1.0, and returns what it reads up to the end of its
/// connection.
async fn read_old_stream(address: SocketAddr) -> (String, std::io::Result<usize>) {
    let mut call = request("POST /stream/once/1", "call-1");
    call.tokens = Some((10, 400));
    let text = String::from_utf8(call.bytes()).expect("text");
    let text = text.replace("HTTP/1.1", "HTTP/1.0");
    let mut link = connect(address).await;
    link.write_all(text.as_bytes()).await.expect("a write");
    let mut bytes = Vec::new();
    let ended = link.read_to_end(&mut bytes).await;
    (String::from_utf8_lossy(&bytes).into_owned(), ended)
}

// A caller that speaks HTTP/1.0 takes the end of its connection for that of its stream, which the end of
// the grace period has cut.
#[tokio::test]
async fn stream_by_connection_end_is_reset_by_the_exit() {
    let bench = LeavingBench::start().await;
    for target in &bench.engines {
        target.set_events(200, Duration::from_millis(50));
    }
    let mut leaving = LeavingBench::leave(bench);
    leaving.wait_until(DRAIN_MS - 400).await;
    let (text, ended) = read_old_stream(leaving.bench.router.address).await;
    assert!(text.starts_with("HTTP/1.0 200 "), "{text}");
    assert!(ended.is_err(), "looks complete");
    leaving.check_exit_within(GRACE).await;
}

// As above if the target breaks the stream off.
#[tokio::test]
async fn stream_by_connection_end_is_reset_after_a_truncated_one() {
    let bench = LeavingBench::start().await;
    for target in &bench.engines {
        target.set_fault(TargetFault::TruncatedStream(2));
    }
    let (text, ended) = read_old_stream(bench.router.address).await;
    assert!(ended.is_err(), "looks complete: {text}");
}

// A whole stream must not end in a reset, which could take its last events.
#[tokio::test]
async fn stream_by_connection_end_is_whole() {
    let bench = LeavingBench::start().await;
    let (text, ended) = read_old_stream(bench.router.address).await;
    assert!(ended.is_ok(), "{ended:?} {text}");
    assert!(text.contains("id: 3\n"), "{text}");
}

// Many calls get their final response at once: the process must not end before all are sent.
#[tokio::test]
async fn many_calls_at_the_end_of_the_grace_are_told() {
    // Without tokens to give back, the process ends right after the last responses.
    let bench = GatewayBench::start(&draft(1, 0)).await;
    for target in &bench.plain {
        target.set_fault(TargetFault::Silent);
    }
    let mut leaving = LeavingBench::leave(bench);
    leaving.wait_until(500).await;
    let mut links = Vec::new();
    for number in 0..1_200 {
        let mut call = request("POST /order/1", &format!("call-{number}"));
        call.deadline_ms = 60_000;
        let mut link = leaving.connect().await;
        link.write_all(&call.bytes()).await.expect("a write");
        links.push((call.id, link));
    }
    println!("sent after {:?}", leaving.signalled_at.elapsed());
    let mut counts = [0; 4];
    for (_, mut link) in links {
        let index = match Outcome::read(&mut link).await {
            Outcome::Answered => 0,
            Outcome::NotRun(_) => 1,
            Outcome::Other(_) => 2,
            Outcome::Cut(_) => 3,
        };
        counts[index] += 1;
    }
    println!("answered, not run, other, cut: {counts:?}");
    assert_eq!(counts[3], 0);
    leaving.check_exit_within(GRACE).await;
}

// A head arrives in parts on a connection that has served calls before.
#[tokio::test]
async fn head_in_parts_on_a_kept_connection_is_answered() {
    let bench = LeavingBench::start().await;
    let mut links = Vec::new();
    for number in 0..6 {
        links.push(connect_used(bench.router.address, &format!("used-{number}")).await);
    }
    let mut leaving = LeavingBench::leave_without_store(bench).await;
    leaving.wait_until(DRAIN_MS - 50).await;
    let calls: Vec<_> = (0..6)
        .map(|number| request("POST /order/1", &format!("call-{number}")))
        .collect();
    for (number, link) in links.iter_mut().enumerate() {
        // From one byte to nearly all of the head.
        let bytes = calls[number].bytes();
        let first = 1 + number * (bytes.len() - 2) / 5;
        link.write_all(&bytes[..first]).await.expect("a write");
    }
    leaving.wait_until(DRAIN_MS + 600).await;
    for (number, link) in links.iter_mut().enumerate() {
        let bytes = calls[number].bytes();
        let first = 1 + number * (bytes.len() - 2) / 5;
        link.write_all(&bytes[first..]).await.expect("a write");
    }
    for (number, mut link) in links.into_iter().enumerate() {
        let outcome = Outcome::read(&mut link).await;
        assert_eq!(outcome, Outcome::Answered, "call-{number}");
    }
    leaving.check_exit_within(GRACE).await;
}

// A body comes in chunks from before the end of the drain until long after it.
#[tokio::test]
async fn chunked_body_across_the_drain_end_is_answered() {
    let bench = LeavingBench::start().await;
    let mut leaving = LeavingBench::leave_without_store(bench).await;
    let call = request("POST /order/1", "call-1");
    let head = String::from_utf8(call.bytes()).expect("text");
    let head = head.replace("Content-Length: 0", "Transfer-Encoding: chunked");
    leaving.wait_until(DRAIN_MS - 200).await;
    let mut link = leaving.connect().await;
    link.write_all(head.as_bytes()).await.expect("a write");
    for _ in 0..20 {
        link.write_all(b"5\r\nhello\r\n").await.expect("a write");
        sleep(Duration::from_millis(100)).await;
    }
    link.write_all(b"0\r\n\r\n").await.expect("a write");
    assert_eq!(Outcome::read(&mut link).await, Outcome::Answered);
    leaving.check_exit_within(GRACE).await;
}

// A caller sends its body only when it is asked to, which is after the drain.
#[tokio::test]
async fn awaited_body_across_the_drain_end_is_answered() {
    let bench = LeavingBench::start().await;
    let mut leaving = LeavingBench::leave_without_store(bench).await;
    let mut call = request("POST /order/1", "call-1");
    call.body = vec![b'a'; 500];
    call.extra_headers.push("Expect: 100-continue".to_owned());
    let bytes = call.bytes();
    let head_bytes = bytes.len() - 500;
    leaving.wait_until(DRAIN_MS - 100).await;
    let mut link = leaving.connect().await;
    leaving.wait_until(DRAIN_MS + 100).await;
    link.write_all(&bytes[..head_bytes]).await.expect("a write");
    let mut interim = [0; 25];
    link.read_exact(&mut interim).await.expect("a response");
    assert!(interim.starts_with(b"HTTP/1.1 100"), "{interim:?}");
    sleep(Duration::from_millis(600)).await;
    link.write_all(&bytes[head_bytes..]).await.expect("a write");
    assert_eq!(Outcome::read(&mut link).await, Outcome::Answered);
    leaving.check_exit_within(GRACE).await;
}

// Two calls come at once on one connection. The first one is answered, and the reset on account of the
// second one must not take the answer.
#[tokio::test]
async fn pipelined_calls_at_the_drain_end() {
    let bench = LeavingBench::start().await;
    for target in &bench.plain {
        target.set_response_delay(Duration::from_millis(300));
    }
    let mut leaving = LeavingBench::leave(bench);
    leaving.wait_until(DRAIN_MS - 100).await;
    let mut link = leaving.connect().await;
    let mut bytes = request("POST /order/1", "call-1").bytes();
    let mut second = request("POST /order/1", "call-2");
    second.body = vec![b'a'; 60_000];
    bytes.extend(second.bytes());
    link.write_all(&bytes).await.expect("a write");
    let outcome = Outcome::read(&mut link).await;
    println!("{outcome:?}");
    assert_eq!(outcome, Outcome::Answered);
    assert!(!leaving.arrived().contains("call-2"));
    leaving.check_exit_within(GRACE).await;
}

// A caller that reads its stream slowly across the end of the drain gets all of it.
#[tokio::test]
async fn slow_reader_across_the_drain_end_gets_all() {
    let bench = LeavingBench::start().await;
    for target in &bench.engines {
        target.set_events(2_000, Duration::ZERO);
    }
    let mut leaving = LeavingBench::leave(bench);
    leaving.wait_until(DRAIN_MS - 1_500).await;
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(4_096).expect("an option");
    let connecting = socket.connect(leaving.bench.router.address);
    let mut link = connecting.await.expect("a link");
    let mut call = request("POST /stream/once/1", "call-1");
    call.tokens = Some((10, 6_000));
    link.write_all(&call.bytes()).await.expect("a write");
    leaving.wait_until(DRAIN_MS + 800).await;
    let outcome = Outcome::read(&mut link).await;
    assert_eq!(outcome, Outcome::Answered);
    leaving.check_exit_within(GRACE).await;
}

// A router is told to leave before it knows any configuration.
#[tokio::test]
async fn leaves_without_configuration() {
    let store = StoreStandIn::try_start().await.expect("a store");
    let mut router = GatewayProcess::start(store.address(), "host-1", "north");
    gateway_support::wait_for("a listener", || async {
        TcpStream::connect(router.address).await.is_ok()
    })
    .await;
    router.signal(Signal::SIGTERM);
    let signalled_at = Instant::now();
    let mut link = connect(router.address).await;
    let call = request("POST /order/1", "call-1");
    link.write_all(&call.bytes()).await.expect("a write");
    let outcome = Outcome::read(&mut link).await;
    assert!(matches!(outcome, Outcome::NotRun(_)), "{outcome:?}");
    assert_eq!(router.wait_end().await, Some(0));
    let took = signalled_at.elapsed();
    println!("the exit took {took:?}");
    assert!(took < Duration::from_millis(DRAIN_MS + 1_000), "{took:?}");
}

// The store is silent throughout the shutdown.
#[tokio::test]
async fn silent_store_does_not_delay_the_exit() {
    let bench = LeavingBench::start().await;
    bench.store.set_fault(StoreFault::Silent);
    let mut leaving = LeavingBench::leave(bench);
    leaving.wait_until(DRAIN_MS - 50).await;
    let mut link = leaving.connect().await;
    let call = request("POST /order/1", "call-1");
    link.write_all(&call.bytes()).await.expect("a write");
    assert_eq!(Outcome::read(&mut link).await, Outcome::Answered);
    leaving
        .check_exit_within(Duration::from_millis(DRAIN_MS + 3_000))
        .await;
}

// Hundreds of kept and unused connections do not delay the exit.
#[tokio::test]
async fn many_idle_connections_do_not_delay_the_exit() {
    let bench = LeavingBench::start().await;
    let address = bench.router.address;
    let mut links = Vec::new();
    for number in 0..300 {
        links.push(connect_used(address, &format!("used-{number}")).await);
        links.push(connect(address).await);
    }
    let mut leaving = LeavingBench::leave(bench);
    leaving.wait_until(DRAIN_MS - 100).await;
    for _ in 0..300 {
        links.push(leaving.connect().await);
    }
    let limit = Duration::from_millis(DRAIN_MS + 800);
    leaving.check_exit_within(limit).await;
}
