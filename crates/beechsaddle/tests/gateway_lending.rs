//! Tests of token loans between routers.

mod gateway_support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use beechsaddle_core::hash::rendezvous_weight;
use beechsaddle_platform_stand_in::{CallRequest, StoreFault};
use gateway_support::{GatewayBench, GatewayProcess, draft, request, wait_for};
use nix::sys::signal::Signal;
use tokio::time::sleep;

/// Tokens that a stream uses: its prompt, and three events of three tokens.
const USED: u64 = 109;

/// Tokens reserved for a stream: its prompt and the maximum output.
const RESERVED: u64 = 120;

fn stream_request(id: &str) -> CallRequest {
    let mut call = request("POST /stream/on/1", id);
    call.tokens = Some((100, 20));
    call
}

async fn second_router(bench: &GatewayBench, host: &str) -> GatewayProcess {
    let router = GatewayProcess::start(bench.store.address(), host, "north");
    router.wait_ready().await;
    router.wait_log(&["target_joined", "engine-1"]).await;
    router.wait_log(&["target_joined", "engine-2"]).await;
    router.wait_log(&["routers_listed", "routers=2"]).await;
    bench
        .router
        .wait_log(&["routers_listed", "routers=2"])
        .await;
    // Roles are updated at the next tick.
    sleep(Duration::from_millis(1_200)).await;
    router
}

/// Starts a router in another domain, and waits until it and the first router know each other.
async fn southern_router(
    bench: &GatewayBench,
    start: fn(SocketAddr, &str, &str) -> GatewayProcess,
) -> GatewayProcess {
    let south = start(bench.store.address(), "host-2", "south");
    for router in [&bench.router, &south] {
        router.wait_ready().await;
        router.wait_log(&["target_joined", "engine-1"]).await;
        router.wait_log(&["target_joined", "engine-2"]).await;
        router.wait_log(&["routers_listed", "routers=2"]).await;
    }
    // Roles are updated at the next tick.
    sleep(Duration::from_millis(1_200)).await;
    south
}

/// Two routers of a domain serve one workspace. Only the allocator writes the ledger; the other router
/// borrows.
#[tokio::test]
async fn one_router_per_domain_allocates_a_workspace() {
    let bench = GatewayBench::start(&draft(1, 1_000_000)).await;
    let second = second_router(&bench, "host-2").await;
    let before: Vec<_> = [&bench.router, &second]
        .iter()
        .map(|router| router.log_lines(&["ledger_written", "transfer=take"]).len())
        .collect();
    for number in 0..30 {
        for router in [&bench.router, &second] {
            let reply = router
                .call(&stream_request(&format!("call-{number}")))
                .await;
            assert_eq!(reply.status, 200);
        }
    }
    sleep(Duration::from_millis(500)).await;
    let after: Vec<_> = [&bench.router, &second]
        .iter()
        .map(|router| router.log_lines(&["ledger_written", "transfer=take"]).len())
        .collect();
    let unchanged = before.iter().zip(&after).filter(|(old, new)| old == new);
    assert!(
        unchanged.count() >= 1,
        "both routers wrote the ledger: {before:?} {after:?}"
    );
}

/// The store is unreachable for both routers. The allocator lends from the tokens it still holds.
#[tokio::test]
async fn loans_continue_during_store_outage() {
    let bench = GatewayBench::start(&draft(1, 1_000_000)).await;
    let second = second_router(&bench, "host-2").await;
    for number in 0..10 {
        for router in [&bench.router, &second] {
            router
                .call(&stream_request(&format!("warm-{number}")))
                .await;
        }
    }
    bench.store.set_fault(StoreFault::Refusing);
    bench.router.wait_log(&["store_lost", "duty=config"]).await;
    for number in 0..20 {
        for router in [&bench.router, &second] {
            let reply = router
                .call(&stream_request(&format!("away-{number}")))
                .await;
            assert_eq!(reply.status, 200, "{}", reply.body);
        }
    }
}

/// The last part of a total is split between the allocators of two domains, and calls arrive at one
/// of them. The other allocator's remainder is borrowed at once: if it first had to be given back
/// in a ledger write, calls would be refused meanwhile.
#[tokio::test]
async fn remainder_in_another_domain_is_borrowed() {
    let prepaid = 12_000;
    let bench = GatewayBench::start(&draft(1, prepaid)).await;
    let south = southern_router(&bench, GatewayProcess::start).await;
    for number in 0..20 {
        for router in [&bench.router, &south] {
            let reply = router
                .call(&stream_request(&format!("both-{number}")))
                .await;
            assert_eq!(reply.status, 200, "{}", reply.body);
        }
    }
    // One call may arrive while a remainder is being written back to the ledger, when neither allocator
    // holds it.
    let (mut used, mut refused) = (40 * USED, 0);
    while refused < 2 {
        let reply = south.call(&stream_request(&format!("south-{used}"))).await;
        match reply.status {
            200 => used += USED,
            _ => refused += 1,
        }
    }
    // The unused part may consist of two remainders that are each too small for a call.
    assert!(used + 2 * RESERVED >= prepaid, "{used} used of {prepaid}");
    assert!(used <= prepaid, "{used} used of {prepaid}");
}

/// The allocators of two domains write a ledger alternately. Without ledger updates, each writes from a
/// read that is some seconds old and conflicts with the other's write, and its caller waits for another
/// attempt: a quarter of all writes of a fleet in five domains. With the updates, each writes from the
/// newest revision.
#[tokio::test]
async fn allocators_of_two_domains_write_without_conflict() {
    let bench = GatewayBench::start_with_low_holdings(&draft(1, 500_000_000)).await;
    let south = southern_router(&bench, GatewayProcess::start_with_low_holdings).await;
    let routers = [&bench.router, &south];
    for router in routers {
        assert_eq!(router.call(&stream_request("small")).await.status, 200);
    }
    bench.store.freeze_stale_reads();
    let before = write_count(routers, "conflict").await;
    // Each call needs more than an allocator holds after the previous one.
    for prompt in [1_000, 4_000, 16_000, 64_000, 256_000] {
        for router in routers {
            let mut call = stream_request(&format!("large-{prompt}"));
            call.tokens = Some((prompt, 20));
            assert_eq!(router.call(&call).await.status, 200);
            sleep(Duration::from_millis(50)).await;
        }
    }
    let conflicts = write_count(routers, "conflict").await - before;
    let done = write_count(routers, "done").await;
    assert!(done >= 10.0, "{done} writes");
    assert!(conflicts <= 1.0, "{conflicts} conflicts");
}

/// Returns the number of ledger writes with an outcome.
async fn write_count(routers: [&GatewayProcess; 2], what: &str) -> f64 {
    let mut count = 0.0;
    for router in routers {
        let metric = format!("store_calls_total{{call=\"write_ledger\",what=\"{what}\"}}");
        count += router.metric(&metric).await.unwrap_or(0.0);
    }
    count
}

/// The allocator of a workspace is killed. The other router detects it at the next request, takes the role
/// over and keeps serving; both together never use more than the total.
#[tokio::test]
async fn killed_allocator_is_replaced() {
    let prepaid = 200_000;
    let bench = GatewayBench::start(&draft(1, prepaid)).await;
    let second = second_router(&bench, "host-2").await;
    let mut served = 0;
    for number in 0..10 {
        for router in [&bench.router, &second] {
            let reply = router.call(&stream_request(&format!("a-{number}"))).await;
            served += u64::from(reply.status == 200);
        }
    }
    bench.router.signal(Signal::SIGKILL);
    wait_for("service", || async {
        second.call(&stream_request("b")).await.status == 200
    })
    .await;
    for number in 0..40 {
        let reply = second.call(&stream_request(&format!("c-{number}"))).await;
        served += u64::from(reply.status == 200);
    }
    assert!(served >= 55, "{served} of 60 were served");
    assert!(served * USED <= prepaid);
}

/// The allocator of the domain is killed, and a borrower asks the next router in the order. The
/// next router has had no calls, so it still considers itself a borrower of the dead allocator. If
/// it reported a shortage without asking any router, calls would be refused, although the store is
/// reachable and hardly any of the total is used, until it had calls of its own that needed tokens.
#[tokio::test]
async fn next_allocator_takes_over_on_request() {
    let bench = GatewayBench::start(&draft(1, 1_000_000)).await;
    let weight = |host: &str| rendezvous_weight("acme", host);
    let hosts = (2..20).map(|number| format!("host-{number}"));
    let mut above: Vec<_> = hosts
        .filter(|host| weight(host) > weight("host-1"))
        .collect();
    above.sort_by_key(|host| weight(host));
    let next = GatewayProcess::start(bench.store.address(), &above[0], "north");
    let allocator = GatewayProcess::start(bench.store.address(), &above[1], "north");
    for router in [&bench.router, &next, &allocator] {
        router.wait_ready().await;
        router.wait_log(&["target_joined", "engine-1"]).await;
        router.wait_log(&["routers_listed", "routers=3"]).await;
    }
    // Roles are updated at the next tick.
    sleep(Duration::from_millis(1_200)).await;
    assert_eq!(allocator.call(&stream_request("a")).await.status, 200);
    allocator.signal(Signal::SIGKILL);
    let reply = bench.router.call(&stream_request("b")).await;
    assert_eq!(reply.status, 200, "{}", reply.body);
}

/// The total does not cover a call, and the allocator waits for others to return tokens. The borrower does
/// not access the ledger itself: with dozens of routers none of their writes would succeed, and its answer
/// would be the same.
#[tokio::test]
async fn borrower_leaves_the_ledger_to_its_allocator() {
    let bench = GatewayBench::start(&draft(1, 50_000)).await;
    // Of these two hosts the second is the allocator.
    let second = second_router(&bench, "host-2").await;
    let mut large = stream_request("large");
    large.tokens = Some((90_000, 20));
    let borrower = &bench.router;
    assert_eq!(borrower.call(&large).await.status, 503);
    let words = ["event=tokens_reserved", "id=large"];
    let line = borrower.wait_log(&words).await;
    assert!(line.contains("role=borrower"), "{line}");
    let reads = borrower.metric("store_calls_total{call=\"read_ledger\"");
    assert_eq!(reads.await, None);
    drop(second);
}

/// A call at a borrower leaves most of its reservation unused. The borrower returns it to the allocator
/// without a ledger write: with 195 routers, two of three writes in a day came from such remainders.
#[tokio::test]
async fn borrower_returns_remainders_to_its_allocator() {
    let bench = GatewayBench::start(&draft(1, 1_000_000)).await;
    // Of these two hosts the second is the allocator.
    let second = second_router(&bench, "host-2").await;
    let mut call = stream_request("large");
    call.tokens = Some((100, 20_000));
    assert_eq!(bench.router.call(&call).await.status, 200);
    let words = ["event=tokens_returned", "outcome=returned"];
    let line = bench.router.wait_log(&words).await;
    assert!(line.contains("peer=host-2"), "{line}");
    second
        .wait_log(&["tokens_taken_back", "is_taken=true"])
        .await;
    let written = bench.router.log_lines(&["event=ledger_written"]);
    assert_eq!(written, Vec::<String>::new());
}

/// The store is unreachable for all routers, and the allocator has nothing left to lend. When the
/// store is back, only the allocator takes from the ledger. When borrowers took over the role after
/// refused requests, dozens of them conflicted in the first second after an outage, and gave the
/// surplus back in as many writes.
#[tokio::test]
async fn only_the_allocator_writes_after_an_outage() {
    let bench = GatewayBench::start(&draft(1, 1_000_000)).await;
    let second = second_router(&bench, "host-2").await;
    let mut large = stream_request("large");
    large.tokens = Some((300_000, 20));
    bench.store.set_fault(StoreFault::Refusing);
    bench.router.wait_log(&["store_lost"]).await;
    second.wait_log(&["store_lost"]).await;
    for number in 0..3 {
        large.id = format!("large-{number}");
        assert_eq!(bench.router.call(&large).await.status, 503);
        sleep(Duration::from_millis(500)).await;
    }
    bench.store.set_fault(StoreFault::None);
    bench.router.wait_log(&["store_regained"]).await;
    wait_for("service", || async {
        bench.router.call(&large).await.status == 200
    })
    .await;
    let written = bench.router.log_lines(&["event=ledger_written"]);
    assert_eq!(written, Vec::<String>::new());
    assert!(!second.log_lines(&["event=ledger_written"]).is_empty());
}

/// All routers restart after a power failure. The roles follow from the unchanged list of routers, so calls
/// are served as soon as the routers are ready. Routers used to wait 1.5 s for others to be listed, and
/// refused calls meanwhile.
#[tokio::test]
async fn restarted_routers_lend_at_once() {
    let mut bench = GatewayBench::start(&draft(1, 1_000_000)).await;
    let mut second = second_router(&bench, "host-2").await;
    assert_eq!(bench.router.call(&stream_request("a")).await.status, 200);
    bench.router.restart();
    second.restart();
    for router in [&bench.router, &second] {
        router.wait_ready().await;
        router.wait_log(&["target_joined", "engine-1"]).await;
    }
    let ready = Instant::now();
    for router in [&bench.router, &second] {
        let reply = router.call(&stream_request("b")).await;
        assert_eq!(reply.status, 200, "{}", reply.body);
    }
    assert!(
        ready.elapsed() < Duration::from_millis(700),
        "{:?}",
        ready.elapsed()
    );
}

/// A client without the fleet's secret sends bytes that are not a valid message, and the router keeps
/// serving calls.
#[tokio::test]
async fn invalid_peer_message_does_not_stop_service() {
    use tokio::io::AsyncWriteExt;
    let bench = GatewayBench::start(&draft(1, 1_000_000)).await;
    wait_for("its entry", || async {
        bench.store.spec("routers", "host-1").is_some()
    })
    .await;
    let entry = bench.store.spec("routers", "host-1").expect("an entry");
    let address = entry["address"].as_str().expect("an address").to_owned();
    let mut stream = tokio::net::TcpStream::connect(&address)
        .await
        .expect("a connection");
    stream.write_all(&[0xff; 4_096]).await.expect("bytes");
    sleep(Duration::from_millis(100)).await;
    let reply = bench.router.call(&stream_request("call-1")).await;
    assert_eq!(reply.status, 200);
}

/// A lender's answer that arrives after the borrower's timeout is still credited; otherwise the
/// lent tokens would be lost.
#[tokio::test]
async fn late_loan_is_credited() {
    let bench = GatewayBench::start(&draft(1, 1_000_000)).await;
    let second = second_router(&bench, "host-2").await;
    let is_first_allocator = !bench
        .router
        .log_lines(&["ledger_written", "transfer=take"])
        .is_empty();
    let (allocator, borrower) = match is_first_allocator {
        true => (&bench.router, &second),
        false => (&second, &bench.router),
    };
    let reply = borrower.call(&stream_request("before")).await;
    assert_eq!(reply.status, 200, "{}", reply.body);
    let lent = allocator.log_lines(&["tokens_lent", "outcome=lent"]).len();
    allocator.signal(Signal::SIGSTOP);
    borrower.call(&stream_request("paused")).await;
    borrower.wait_log(&["peer_lost", "no answer in time"]).await;
    allocator.signal(Signal::SIGCONT);
    wait_for("another loan", async || {
        allocator.log_lines(&["tokens_lent", "outcome=lent"]).len() > lent
    })
    .await;
    wait_for("all lent tokens", async || {
        sum_tokens(&borrower.log_lines(&["tokens_borrowed", "outcome=lent"]))
            == sum_tokens(&allocator.log_lines(&["tokens_lent", "outcome=lent"]))
    })
    .await;
}

fn sum_tokens(lines: &[String]) -> u64 {
    let fields = lines.iter().flat_map(|line| line.split_whitespace());
    let tokens = fields.filter_map(|field| field.strip_prefix("tokens="));
    tokens
        .map(|tokens| tokens.parse::<u64>().expect("a number"))
        .sum()
}
