//! Tests of routers that lend each other tokens.

mod gateway_support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use beechsaddle_core::hash::rendezvous_weight;
use beechsaddle_platform_stand_in::{CallRequest, StoreFault};
use gateway_support::{GatewayBench, GatewayProcess, draft, request, wait_for};
use nix::sys::signal::Signal;
use tokio::time::sleep;

/// What one stream uses: its prompt, and three events of three tokens.
const USED: u64 = 109;

/// What is reserved for it: its prompt, and as much output as it may ask for.
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
    // Roles follow the list at the next tick.
    sleep(Duration::from_millis(1_200)).await;
    router
}

/// A router of another domain, once it and the first know each other.
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
    // Roles follow the list at the next tick.
    sleep(Duration::from_millis(1_200)).await;
    south
}

/// Two routers of a domain serve one workspace. Only one of them writes the ledger; the other is
/// lent what it needs.
#[tokio::test]
async fn one_router_of_a_domain_keeps_the_workspace() {
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
    assert!(unchanged.count() >= 1, "both wrote: {before:?} {after:?}");
}

/// The store is away for both routers. The one that keeps the workspace still holds some, and lends
/// the other what its callers need.
#[tokio::test]
async fn store_away_loans_go_on() {
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

/// The last part of a total lies with the keepers of two domains, and callers come to one of them. They were told to
/// come back, call after call, until the other keeper had noticed and given its rest back by a write. The rest is
/// borrowed from it at once.
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
    // One call may come while a rest is on its way back to the ledger, where neither keeper has it.
    let (mut used, mut refused) = (40 * USED, 0);
    while refused < 2 {
        let reply = south.call(&stream_request(&format!("south-{used}"))).await;
        match reply.status {
            200 => used += USED,
            _ => refused += 1,
        }
    }
    // What is left may lie in two rests that are each smaller than a call.
    assert!(used + 2 * RESERVED >= prepaid, "{used} used of {prepaid}");
    assert!(used <= prepaid, "{used} used of {prepaid}");
}

/// The keepers of two domains write a ledger in turns. Each wrote from what the store had told it some seconds ago,
/// met the other's write, and had its caller wait for another try: a quarter of all writes of a fleet in five domains.
/// Told by each other what was written, they write from the newest.
#[tokio::test]
async fn keepers_of_two_domains_write_without_conflict() {
    let bench = GatewayBench::start_holding_little(&draft(1, 500_000_000)).await;
    let south = southern_router(&bench, GatewayProcess::start_holding_little).await;
    let routers = [&bench.router, &south];
    for router in routers {
        assert_eq!(router.call(&stream_request("small")).await.status, 200);
    }
    bench.store.freeze_stale_reads();
    let before = write_count(routers, "conflict").await;
    // Each call needs more than a keeper holds after the one before.
    for prompt in [1_000, 4_000, 16_000, 64_000, 256_000] {
        for router in routers {
            let mut call = stream_request(&format!("large-{prompt}"));
            call.tokens = Some((prompt, 20));
            assert_eq!(router.call(&call).await.status, 200);
            sleep(Duration::from_millis(50)).await;
        }
    }
    let met = write_count(routers, "conflict").await - before;
    let done = write_count(routers, "done").await;
    assert!(done >= 10.0, "{done} writes");
    assert!(met <= 1.0, "{met} conflicts");
}

/// Writes of ledgers by what came of them.
async fn write_count(routers: [&GatewayProcess; 2], what: &str) -> f64 {
    let mut count = 0.0;
    for router in routers {
        let metric = format!("store_calls_total{{call=\"write_ledger\",what=\"{what}\"}}");
        count += router.metric(&metric).await.unwrap_or(0.0);
    }
    count
}

/// The router that keeps a workspace is killed. The other notices when it asks, keeps the workspace
/// itself and serves on; both together never use more than the total.
#[tokio::test]
async fn killed_keeper_is_replaced() {
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

/// Callers are told to come back although the store is reachable and hardly anything of the total is used.
/// The keeper of the domain was killed. A borrower finds that out and asks the next router in line, which
/// nobody has called since: it still takes itself for a borrower of the dead one, answers that it has too
/// little, and asks nobody. So it went on until it had calls of its own that needed tokens.
#[tokio::test]
async fn next_in_line_takes_over_when_asked() {
    let bench = GatewayBench::start(&draft(1, 1_000_000)).await;
    let weight = |host: &str| rendezvous_weight("acme", host);
    let hosts = (2..20).map(|number| format!("host-{number}"));
    let mut above: Vec<_> = hosts
        .filter(|host| weight(host) > weight("host-1"))
        .collect();
    above.sort_by_key(|host| weight(host));
    let next = GatewayProcess::start(bench.store.address(), &above[0], "north");
    let keeper = GatewayProcess::start(bench.store.address(), &above[1], "north");
    for router in [&bench.router, &next, &keeper] {
        router.wait_ready().await;
        router.wait_log(&["target_joined", "engine-1"]).await;
        router.wait_log(&["routers_listed", "routers=3"]).await;
    }
    // Roles follow the list at the next tick.
    sleep(Duration::from_millis(1_200)).await;
    assert_eq!(keeper.call(&stream_request("a")).await.status, 200);
    keeper.signal(Signal::SIGKILL);
    let reply = bench.router.call(&stream_request("b")).await;
    assert_eq!(reply.status, 200, "{}", reply.body);
}

/// The total does not cover a call, and the keeper waits whether others give something back. The
/// other router leaves the ledger to it: if it asked too, with dozens of routers, none of them would
/// get a write through, and its own answer would be the same.
#[tokio::test]
async fn borrower_leaves_the_ledger_to_its_keeper() {
    let bench = GatewayBench::start(&draft(1, 50_000)).await;
    // Of these two hosts the second keeps the workspace.
    let second = second_router(&bench, "host-2").await;
    let mut large = stream_request("large");
    large.tokens = Some((90_000, 20));
    let borrower = &bench.router;
    assert_eq!(borrower.call(&large).await.status, 503);
    let words = ["event=tokens_reserved", "id=large"];
    let line = borrower.wait_log(&words).await;
    assert!(line.contains("role=borrower"), "{line}");
    let asked = borrower.metric("store_calls_total{call=\"read_ledger\"");
    assert_eq!(asked.await, None);
    drop(second);
}

/// A call at a router that borrows leaves most of what was reserved for it. The router hands that to the one that
/// keeps the workspace, and no ledger is written: with 195 routers two of three writes of a day were such rests.
#[tokio::test]
async fn borrower_hands_rests_to_its_keeper() {
    let bench = GatewayBench::start(&draft(1, 1_000_000)).await;
    // Of these two hosts the second keeps the workspace.
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

/// The store is away for all, and the keeper has nothing left to lend. When it is back only the keeper takes from
/// the ledger. Each borrower that had asked in vain once took the keeper's place: dozens met at the ledger in the
/// first second after an outage, and gave back as many times what they did not need.
#[tokio::test]
async fn store_back_only_the_keeper_writes() {
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

/// All routers lose power and start again. Who keeps what follows from the list, which is as it was: callers are
/// served as soon as the routers are ready. Each router once waited 1.5 s for others to be listed, and refused them
/// as long.
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

/// Somebody without the secret of the fleet asks for tokens, or sends what is no message at all.
/// Nothing is lent, and callers are served on.
#[tokio::test]
async fn stranger_is_lent_nothing() {
    use tokio::io::AsyncWriteExt;
    let bench = GatewayBench::start(&draft(1, 1_000_000)).await;
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

/// Guards against tokens that are lost because the lender's answer comes after the borrower's timeout.
#[tokio::test]
async fn late_loan_is_taken() {
    let bench = GatewayBench::start(&draft(1, 1_000_000)).await;
    let second = second_router(&bench, "host-2").await;
    let is_first = !bench
        .router
        .log_lines(&["ledger_written", "transfer=take"])
        .is_empty();
    let (keeper, borrower) = match is_first {
        true => (&bench.router, &second),
        false => (&second, &bench.router),
    };
    let reply = borrower.call(&stream_request("before")).await;
    assert_eq!(reply.status, 200, "{}", reply.body);
    let lent = keeper.log_lines(&["tokens_lent", "outcome=lent"]).len();
    keeper.signal(Signal::SIGSTOP);
    borrower.call(&stream_request("paused")).await;
    borrower.wait_log(&["peer_lost", "no answer in time"]).await;
    keeper.signal(Signal::SIGCONT);
    wait_for("another loan", async || {
        keeper.log_lines(&["tokens_lent", "outcome=lent"]).len() > lent
    })
    .await;
    wait_for("all that was lent", async || {
        sum_tokens(&borrower.log_lines(&["tokens_borrowed", "outcome=lent"]))
            == sum_tokens(&keeper.log_lines(&["tokens_lent", "outcome=lent"]))
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
