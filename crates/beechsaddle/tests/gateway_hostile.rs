//! Tests of a router among crowds of callers that do not keep to the limits.

mod gateway_support;
mod hostile_support;

use std::net::SocketAddr;

use beechsaddle_platform_stand_in::{ConfigDraft, LimitsDraft};
use gateway_support::{GatewayBench, draft, request};
use hostile_support::{
    CallerCrowd, CallerScript, FAR_BYTES, LoweredDescriptors, ResourcePeak, ResourceSampler,
    announced_status, take_turn,
};

const AMPLE: u64 = 1_000_000;

/// The memory of the router in these tests, in mebibytes.
const MEMORY_MB: u64 = 64;

/// The descriptors of a router that has few.
const DESCRIPTORS: usize = 512;

/// The largest body that is allowed, in bytes, where it does not matter.
const BODY_BYTES: u64 = 65_536;

fn body_draft(body_bytes: u64) -> ConfigDraft {
    let limits = LimitsDraft {
        body_bytes,
        ..LimitsDraft::default()
    };
    ConfigDraft {
        limits,
        ..draft(1, AMPLE)
    }
}

/// Plays a crowd and returns what the router took. One ordinary call is answered afterwards.
async fn play(bench: &mut GatewayBench, count: usize, script: CallerScript) -> ResourcePeak {
    let address = bench.router.address;
    play_at(bench, address, count, script).await
}

/// Plays a crowd like [`play`] at one of the router's addresses.
async fn play_at(
    bench: &mut GatewayBench,
    address: SocketAddr,
    count: usize,
    script: CallerScript,
) -> ResourcePeak {
    let sampler = ResourceSampler::start(bench.router.process_id(), address.port());
    let crowd = CallerCrowd::start(address, count, script);
    crowd.leave().await;
    let peak = sampler.finish();
    println!("{count} x {script:?}: {peak:?}");
    assert!(!bench.router.has_ended(), "the router has ended");
    assert_served(bench).await;
    peak
}

async fn assert_served(bench: &GatewayBench) {
    let reply = bench.router.call(&request("GET /get/1", "ordinary")).await;
    assert_eq!(reply.status, 200, "{}", reply.body);
}

/// Plays a crowd at a router whose callers may send bodies up to a size, and checks its memory.
async fn assert_memory(body_bytes: u64, count: usize, script: CallerScript) {
    let _turn = take_turn().await;
    let mut bench = GatewayBench::start_with_memory(&body_draft(body_bytes)).await;
    let peak = play(&mut bench, count, script).await;
    assert!(peak.memory_mb() <= MEMORY_MB, "{} MB", peak.memory_mb());
}

/// Guards against memory without a bound for bodies that callers announce far over the limit and send.
#[tokio::test]
async fn hostile_announced_bodies_take_bounded_memory() {
    let script = CallerScript::Body {
        announced: FAR_BYTES,
        sent: FAR_BYTES,
    };
    assert_memory(BODY_BYTES, 300, script).await;
}

/// Guards against memory without a bound for bodies in chunks that have no end.
#[tokio::test]
async fn hostile_endless_chunks_take_bounded_memory() {
    assert_memory(BODY_BYTES, 300, CallerScript::EndlessChunks).await;
}

/// Guards against memory without a bound for large bodies whose last byte does not come.
#[tokio::test]
async fn hostile_unfinished_large_bodies_take_bounded_memory() {
    let length = 1_024 * 1_024;
    let script = CallerScript::Body {
        announced: length,
        sent: length - 1,
    };
    assert_memory(length as u64, 300, script).await;
}

/// Guards against memory without a bound for many small bodies whose last byte does not come.
#[tokio::test]
async fn hostile_unfinished_small_bodies_take_bounded_memory() {
    let length = 16_384;
    let script = CallerScript::Body {
        announced: length,
        sent: length - 1,
    };
    assert_memory(BODY_BYTES, 1_200, script).await;
}

/// Guards against memory without a bound for heads that stop before their end.
#[tokio::test]
async fn hostile_unfinished_heads_take_bounded_memory() {
    assert_memory(BODY_BYTES, 1_000, CallerScript::Head { sent: 60_000 }).await;
}

/// Guards against memory without a bound for heads without an end.
#[tokio::test]
async fn hostile_endless_heads_take_bounded_memory() {
    let script = CallerScript::Head { sent: FAR_BYTES };
    assert_memory(BODY_BYTES, 300, script).await;
}

/// Guards against memory without a bound for requests whose answers are not read.
#[tokio::test]
async fn hostile_unread_answers_take_bounded_memory() {
    assert_memory(BODY_BYTES, 600, CallerScript::UnreadRequests).await;
}

/// Guards against memory without a bound for large answers that are not read.
#[tokio::test]
async fn hostile_unread_large_answers_take_bounded_memory() {
    let _turn = take_turn().await;
    let mut bench = GatewayBench::start_with_memory(&body_draft(BODY_BYTES)).await;
    for target in &bench.plain {
        target.set_body_bytes(1_000_000);
    }
    let peak = play(&mut bench, 400, CallerScript::UnreadAnswer).await;
    assert!(peak.memory_mb() <= MEMORY_MB, "{} MB", peak.memory_mb());
}

/// Guards against memory that one crowd leaves behind and the next one, of another kind, adds to.
#[tokio::test]
async fn hostile_crowds_in_turn_take_bounded_memory() {
    let _turn = take_turn().await;
    let mut bench = GatewayBench::start_with_memory(&body_draft(BODY_BYTES)).await;
    let scripts = [
        CallerScript::Head { sent: 60_000 },
        CallerScript::Body {
            announced: 65_536,
            sent: 65_535,
        },
        CallerScript::UnreadRequests,
    ];
    for script in scripts {
        let peak = play(&mut bench, 600, script).await;
        assert!(peak.memory_mb() <= MEMORY_MB, "{} MB", peak.memory_mb());
    }
}

/// Starts a router with few descriptors.
async fn start_with_few_descriptors() -> GatewayBench {
    let _lowered = LoweredDescriptors::new(DESCRIPTORS as u64);
    GatewayBench::start_with_memory(&body_draft(BODY_BYTES)).await
}

/// Connects more callers than the router has descriptors to one of its addresses, and checks that it has
/// some left and answers a call.
async fn assert_descriptors(bench: &mut GatewayBench, address: SocketAddr) {
    let peak = play_at(bench, address, 600, CallerScript::Silence).await;
    assert!(peak.descriptors < DESCRIPTORS, "{}", peak.descriptors);
}

/// Guards against callers' connections that take all descriptors, so that no other caller is accepted.
#[tokio::test]
async fn hostile_connections_leave_descriptors() {
    let _turn = take_turn().await;
    let mut bench = start_with_few_descriptors().await;
    let address = bench.router.address;
    assert_descriptors(&mut bench, address).await;
}

/// Guards against connections to the address for readiness that take all descriptors.
#[tokio::test]
async fn hostile_connections_to_ready_address_leave_descriptors() {
    let _turn = take_turn().await;
    let mut bench = start_with_few_descriptors().await;
    let address = bench.router.ready;
    assert_descriptors(&mut bench, address).await;
}

/// Guards against connections to the address for other routers that take all descriptors.
#[tokio::test]
async fn hostile_connections_to_peer_address_leave_descriptors() {
    let _turn = take_turn().await;
    let mut bench = start_with_few_descriptors().await;
    let address = bench.router.peer;
    assert_descriptors(&mut bench, address).await;
}

/// Guards against memory without a bound for heads at the address for readiness.
#[tokio::test]
async fn hostile_heads_at_ready_address_take_bounded_memory() {
    let _turn = take_turn().await;
    let mut bench = GatewayBench::start_with_memory(&body_draft(BODY_BYTES)).await;
    let address = bench.router.ready;
    let script = CallerScript::Head { sent: 300_000 };
    let peak = play_at(&mut bench, address, 300, script).await;
    assert!(peak.memory_mb() <= MEMORY_MB, "{} MB", peak.memory_mb());
}

/// Guards against memory without a bound for messages of peers that are no routers.
#[tokio::test]
async fn hostile_messages_at_peer_address_take_bounded_memory() {
    let _turn = take_turn().await;
    let mut bench = GatewayBench::start_with_memory(&body_draft(BODY_BYTES)).await;
    let address = bench.router.peer;
    let script = CallerScript::PeerMessage { sent: 1_000_000 };
    let peak = play_at(&mut bench, address, 300, script).await;
    assert!(peak.memory_mb() <= MEMORY_MB, "{} MB", peak.memory_mb());
}

/// Guards against a caller whose body is announced over the limit and that waits without an answer.
#[tokio::test]
async fn hostile_announced_body_is_refused_by_its_head() {
    let _turn = take_turn().await;
    let bench = GatewayBench::start_with_memory(&body_draft(BODY_BYTES)).await;
    let address = bench.router.address;
    assert_eq!(announced_status(address, FAR_BYTES).await, Some(413));
    let over = BODY_BYTES as usize + 1;
    assert_eq!(announced_status(address, over).await, Some(413));
}

/// Guards against limits that refuse what the configuration allows, and against a refusal of what is just
/// over it that does not arrive.
#[tokio::test]
async fn hostile_limits_keep_single_callers() {
    let _turn = take_turn().await;
    let length = 4 * 1_024 * 1_024;
    let bench = GatewayBench::start_with_memory(&body_draft(length as u64)).await;
    for (bytes, status) in [(length, 200), (length + 1, 413)] {
        let mut call = request("POST /get/1", "single");
        call.body = vec![b'a'; bytes];
        for _ in 0..5 {
            assert_eq!(bench.router.call(&call).await.status, status);
        }
    }
}
