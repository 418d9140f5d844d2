//! Tests of calls that arrive around the end of a shutdown's drain.

mod gateway_support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use beechsaddle_platform_stand_in::{CallRequest, StoreFault, TargetFault};
use gateway_support::{GatewayBench, draft, request, wait_for};
use nix::sys::signal::Signal;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{sleep, sleep_until, timeout};

const AMPLE: u64 = 1_000_000;
/// Time from the signal to the end of the drain: a third of the routers' grace period.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Number of calls whose heads arrive in parts.
const CALLS: u32 = 6;
/// Time before the end of the drain at which the first parts of these heads arrive.
const FIRST_PART_LEAD: Duration = Duration::from_millis(50);
/// Time after the end of the drain at which the rest arrives: within the time that the return of tokens
/// takes without the store.
const REST_DELAY: Duration = Duration::from_millis(100);
/// Response time of the targets: longer than that return.
const RESPONSE_DELAY: Duration = Duration::from_millis(800);
/// Maximum time for a response.
const REPLY_LIMIT: Duration = Duration::from_secs(8);
/// Time to exit after the last call has ended.
const EXIT_LIMIT: Duration = Duration::from_millis(600);

/// What a caller received before its connection ended.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Outcome {
    /// The whole response of a target.
    Answered,
    /// A refusal as not run, with its reason.
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
            Some("503") => Outcome::NotRun(reason(body)),
            _ => Outcome::Other(text),
        }
    }
}

/// Returns the reason in the body of a refusal.
fn reason(body: &str) -> String {
    let body: serde_json::Value = serde_json::from_str(body).expect("a refusal");
    body["error"]["reason"].as_str().expect("text").to_owned()
}

/// A router that was told to leave.
struct LeavingBench {
    bench: GatewayBench,
    signalled_at: Instant,
}

impl LeavingBench {
    /// Starts a router whose targets take some time for each response.
    async fn start() -> GatewayBench {
        let bench = GatewayBench::start(&draft(1, AMPLE)).await;
        for target in &bench.plain {
            target.set_response_delay(RESPONSE_DELAY);
        }
        for target in &bench.engines {
            target.set_events(8, RESPONSE_DELAY / 8);
        }
        // So that the router holds tokens, which it gives back before it exits.
        let mut call = request("POST /stream/once/1", "first");
        call.tokens = Some((10, 24));
        assert_eq!(bench.router.call(&call).await.status, 200);
        bench
    }

    /// Tells a router to leave that does not reach the store, so that the return of its tokens takes some
    /// time.
    async fn leave_without_store(bench: GatewayBench) -> Self {
        bench.store.set_fault(StoreFault::Refusing);
        bench.router.wait_log(&["store_lost"]).await;
        LeavingBench::leave(bench)
    }

    fn leave(bench: GatewayBench) -> Self {
        bench.router.signal(Signal::SIGTERM);
        LeavingBench {
            bench,
            signalled_at: Instant::now(),
        }
    }

    /// Returns a time relative to the end of the drain.
    fn at(&self, after: Duration, before: Duration) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.signalled_at + DRAIN + after - before)
    }

    fn address(&self) -> SocketAddr {
        self.bench.router.address
    }

    /// Returns the ids of all requests that reached a target.
    fn arrived(&self) -> Vec<String> {
        let targets = self.bench.plain.iter().chain(&self.bench.engines);
        let runs = targets.flat_map(|target| target.runs());
        let ids = runs.map(|run| run.headers["x-beechsaddle-attempt-id"].clone());
        ids.collect()
    }

    /// Waits for the end of the process, which has to be soon and regular.
    async fn check_exit(&mut self) {
        let idle_at = Instant::now();
        assert_eq!(self.bench.router.wait_end().await, Some(0));
        assert!(idle_at.elapsed() < EXIT_LIMIT, "{:?}", idle_at.elapsed());
    }
}

/// Sends a call in two parts, and reads what comes back.
fn send_in_parts(
    address: SocketAddr,
    call: &CallRequest,
    [first_at, rest_at]: [tokio::time::Instant; 2],
) -> JoinHandle<Outcome> {
    let mut first = call.bytes();
    let rest = first.split_off(first.len() / 2);
    tokio::spawn(async move {
        sleep_until(first_at).await;
        let mut stream = TcpStream::connect(address).await.expect("a link");
        stream.set_nodelay(true).expect("an option");
        stream.write_all(&first).await.expect("a write");
        sleep_until(rest_at).await;
        // The connection may be closed by now; the outcome tells.
        let _ = stream.write_all(&rest).await;
        Outcome::read(&mut stream).await
    })
}

/// Connects and has one call served.
async fn connect_used(address: SocketAddr, id: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("a link");
    let call = request("GET /get/1", id);
    stream.write_all(&call.bytes()).await.expect("a write");
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"plain-1") && !bytes.ends_with(b"plain-2") {
        let count = stream.read_buf(&mut bytes).await.expect("an answer");
        assert!(count > 0, "the connection ended");
    }
    stream
}

/// Sends calls whose heads arrive in two parts, before and after the end of the drain, while no other
/// call is open. Returns the ids and outcomes.
async fn call_across_drain_end(
    leaving: &LeavingBench,
    make_call: impl Fn(u32) -> CallRequest,
) -> Vec<(String, Outcome)> {
    let first_at = leaving.at(Duration::ZERO, FIRST_PART_LEAD);
    let rest_at = leaving.at(REST_DELAY, Duration::ZERO);
    let callers: Vec<_> = (0..CALLS)
        .map(|number| {
            let call = make_call(number);
            let caller = send_in_parts(leaving.address(), &call, [first_at, rest_at]);
            (call.id, caller)
        })
        .collect();
    let mut outcomes = Vec::new();
    for (id, caller) in callers {
        outcomes.push((id, caller.await.expect("no panic")));
    }
    outcomes
}

// The rest of a head comes after the drain: the call is sent on, and the exit closes its connection
// without an answer.
#[tokio::test]
async fn head_in_parts_across_the_drain_end_is_answered() {
    let bench = LeavingBench::start().await;
    let mut leaving = LeavingBench::leave_without_store(bench).await;
    let make_call = |number| request("GET /get/1", &format!("call-{number}"));
    let outcomes = call_across_drain_end(&leaving, make_call).await;
    for (id, outcome) in outcomes {
        assert_eq!(outcome, Outcome::Answered, "{id}");
    }
    leaving.check_exit().await;
}

// As above for calls that may not be repeated, whose callers cannot tell whether they ran.
#[tokio::test]
async fn head_in_parts_across_the_drain_end_not_repeatable() {
    let bench = LeavingBench::start().await;
    let mut leaving = LeavingBench::leave_without_store(bench).await;
    let make_call = |number| request("POST /order/1", &format!("call-{number}"));
    let outcomes = call_across_drain_end(&leaving, make_call).await;
    for (id, outcome) in outcomes {
        assert_eq!(outcome, Outcome::Answered, "{id}");
    }
    leaving.check_exit().await;
}

// As above for streams: one that has time until the kill is served whole, with its tokens.
#[tokio::test]
async fn head_in_parts_across_the_drain_end_short_stream() {
    let bench = LeavingBench::start().await;
    let mut leaving = LeavingBench::leave_without_store(bench).await;
    let outcomes = call_across_drain_end(&leaving, |number| {
        let mut call = request("POST /stream/once/1", &format!("call-{number}"));
        call.tokens = Some((10, 24));
        call.deadline_ms = 2_500;
        call
    })
    .await;
    for (id, outcome) in outcomes {
        assert_eq!(outcome, Outcome::Answered, "{id}");
    }
    leaving.check_exit().await;
}

// A stream that may last longer than the process is begun after the drain, and the kill cuts it.
#[tokio::test]
async fn head_in_parts_across_the_drain_end_long_stream() {
    let bench = LeavingBench::start().await;
    let mut leaving = LeavingBench::leave_without_store(bench).await;
    let outcomes = call_across_drain_end(&leaving, |number| {
        let mut call = request("POST /stream/once/1", &format!("call-{number}"));
        call.tokens = Some((10, 24));
        call.deadline_ms = 5_000;
        call
    })
    .await;
    let arrived = leaving.arrived();
    let mut refused = 0;
    for (id, outcome) in outcomes {
        match outcome {
            Outcome::Answered => {}
            Outcome::NotRun(reason) => {
                assert_eq!(reason, "shutting_down");
                assert!(!arrived.contains(&id), "{id} ran");
                refused += 1;
            }
            Outcome::Other(_) | Outcome::Cut(_) => panic!("{id} {outcome:?}"),
        }
    }
    assert!(refused > 0);
    leaving.check_exit().await;
}

// A router that is held up reads calls of the drain only after its end, or closes their connections
// unread.
#[tokio::test]
async fn held_up_router_answers_calls_of_the_drain() {
    let bench = LeavingBench::start().await;
    let address = bench.router.address;
    let mut links = Vec::new();
    for number in 0..6 {
        links.push(connect_used(address, &format!("used-{number}")).await);
    }
    let mut leaving = LeavingBench::leave(bench);
    sleep_until(leaving.at(Duration::ZERO, Duration::from_millis(100))).await;
    for _ in 0..6 {
        links.push(TcpStream::connect(address).await.expect("a link"));
    }
    sleep(Duration::from_millis(30)).await;
    leaving.bench.router.signal(Signal::SIGSTOP);
    sleep(Duration::from_millis(10)).await;
    for _ in 0..6 {
        links.push(TcpStream::connect(address).await.expect("a link"));
    }
    for (number, link) in links.iter_mut().enumerate() {
        let call = request("GET /get/1", &format!("call-{number}"));
        link.write_all(&call.bytes()).await.expect("a write");
    }
    sleep_until(leaving.at(Duration::from_millis(150), Duration::ZERO)).await;
    leaving.bench.router.signal(Signal::SIGCONT);
    for (number, mut link) in links.into_iter().enumerate() {
        let outcome = Outcome::read(&mut link).await;
        assert_eq!(outcome, Outcome::Answered, "call-{number}");
    }
    leaving.check_exit().await;
}

// A caller that connects right before the end of the drain finds its connection closed before its
// first bytes arrive.
#[tokio::test]
async fn new_connection_at_the_drain_end_is_answered() {
    let bench = LeavingBench::start().await;
    let mut leaving = LeavingBench::leave(bench);
    sleep_until(leaving.at(Duration::ZERO, Duration::from_millis(20))).await;
    let mut link = TcpStream::connect(leaving.address()).await.expect("a link");
    sleep_until(leaving.at(Duration::from_millis(60), Duration::ZERO)).await;
    let call = request("GET /get/1", "call-1");
    link.write_all(&call.bytes()).await.expect("a write");
    assert_eq!(Outcome::read(&mut link).await, Outcome::Answered);
    leaving.check_exit().await;
}

// The end of the grace period closes the connection of a call whose target is silent, and its caller
// is told nothing.
#[tokio::test]
async fn call_at_the_end_of_the_grace_is_told_its_outcome() {
    let bench = LeavingBench::start().await;
    for target in &bench.plain {
        target.set_fault(TargetFault::Silent);
    }
    let mut call = request("POST /order/1", "call-1");
    call.deadline_ms = 60_000;
    let mut link = TcpStream::connect(bench.router.address)
        .await
        .expect("a link");
    let mut leaving = LeavingBench::leave(bench);
    // So that the route's timeout of five seconds is not over before the grace period is.
    sleep(Duration::from_millis(1_500)).await;
    link.write_all(&call.bytes()).await.expect("a write");
    let outcome = Outcome::read(&mut link).await;
    let Outcome::Other(text) = &outcome else {
        panic!("{outcome:?}");
    };
    assert!(text.starts_with("HTTP/1.1 502 "), "{text}");
    assert!(text.contains("\"reason\":\"outcome_unknown\""), "{text}");
    leaving.check_exit().await;
}

// A caller that never completes its head holds the exit up until the kill.
#[tokio::test]
async fn unfinished_head_ends_by_its_limit() {
    let mut config = draft(1, AMPLE);
    config.limits.head_timeout_ms = 300;
    let bench = GatewayBench::start(&config).await;
    let mut leaving = LeavingBench::leave(bench);
    sleep_until(leaving.at(Duration::ZERO, Duration::from_millis(500))).await;
    let mut link = TcpStream::connect(leaving.address()).await.expect("a link");
    let call = request("GET /get/1", "call-1").bytes();
    link.write_all(&call[..call.len() / 2])
        .await
        .expect("a write");
    let started = Instant::now();
    assert_eq!(leaving.bench.router.wait_end().await, Some(0));
    // A longer limit may come into force within two seconds.
    let limit = Duration::from_millis(300 + 2_000 + 700);
    assert!(started.elapsed() < limit, "{:?}", started.elapsed());
}

// Idle connections of callers that do not close theirs hold the exit up.
#[tokio::test]
async fn idle_connections_do_not_delay_the_exit() {
    let bench = LeavingBench::start().await;
    let mut links = Vec::new();
    for number in 0..6 {
        links.push(connect_used(bench.router.address, &format!("used-{number}")).await);
    }
    let mut leaving = LeavingBench::leave(bench);
    sleep_until(leaving.at(Duration::ZERO, Duration::from_millis(10))).await;
    leaving.check_exit().await;
}

// The connection of a stream that began before the signal and ends after the drain is kept by its
// caller, and the exit waits for it until the kill.
#[tokio::test]
async fn connection_kept_after_a_stream_does_not_delay_the_exit() {
    let bench = LeavingBench::start().await;
    for target in &bench.engines {
        target.set_events(30, Duration::from_millis(100));
    }
    let mut link = TcpStream::connect(bench.router.address)
        .await
        .expect("a link");
    let mut call = request("POST /stream/once/1", "call-1");
    call.tokens = Some((10, 90));
    link.write_all(&call.bytes()).await.expect("a write");
    wait_for("an arrival", || async {
        GatewayBench::arrival_count(&bench.engines) == 2
    })
    .await;
    let mut leaving = LeavingBench::leave(bench);
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"0\r\n\r\n") {
        let count = link.read_buf(&mut bytes).await.expect("an answer");
        assert!(count > 0, "the connection ended");
    }
    assert!(leaving.signalled_at.elapsed() > DRAIN);
    leaving.check_exit().await;
}

// A second signal or a reload of the settings while the router leaves ends calls that are read after
// the drain.
#[tokio::test]
async fn further_signals_cut_no_late_call() {
    let bench = LeavingBench::start().await;
    let mut leaving = LeavingBench::leave_without_store(bench).await;
    let router = &leaving.bench.router;
    router.edit_settings("grace_s = 6", "grace_s = 3");
    router.signal(Signal::SIGHUP);
    sleep(Duration::from_millis(300)).await;
    router.signal(Signal::SIGTERM);
    router.signal(Signal::SIGINT);
    let make_call = |number| request("GET /get/1", &format!("call-{number}"));
    let outcomes = call_across_drain_end(&leaving, make_call).await;
    for (id, outcome) in outcomes {
        assert_eq!(outcome, Outcome::Answered, "{id}");
    }
    leaving.check_exit().await;
}

// The exit closes the connection of a refused caller that still sends its body, and the reset takes
// the refusal.
#[tokio::test]
async fn refused_caller_with_body_under_way_is_answered() {
    let bench = LeavingBench::start().await;
    let mut leaving = LeavingBench::leave(bench);
    let mut call = request("POST /none/1", "call-1");
    call.body = vec![b'a'; 400_000];
    let bytes = call.bytes();
    sleep_until(leaving.at(Duration::ZERO, Duration::from_millis(100))).await;
    let mut link = TcpStream::connect(leaving.address()).await.expect("a link");
    for part in bytes.chunks(20_000) {
        link.write_all(part).await.expect("a write");
        sleep(Duration::from_millis(20)).await;
    }
    let outcome = Outcome::read(&mut link).await;
    let Outcome::Other(text) = &outcome else {
        panic!("{outcome:?}");
    };
    assert!(text.starts_with("HTTP/1.1 404 "), "{text}");
    drop(link);
    leaving.check_exit().await;
}

// A router that is told to leave as soon as it accepts connections ends by the signal, and resets
// them.
#[tokio::test]
async fn terminated_right_after_its_start_exits_regularly() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    let mut router =
        gateway_support::GatewayProcess::start(bench.store.address(), "host-2", "north");
    wait_for("a listener", || async {
        TcpStream::connect(router.address).await.is_ok()
    })
    .await;
    router.signal(Signal::SIGTERM);
    assert_eq!(router.wait_end().await, Some(0));
}
