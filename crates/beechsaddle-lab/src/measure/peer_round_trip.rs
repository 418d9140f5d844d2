//! The `peer_round_trip` module provides the latency and throughput of admit and settle messages
//! between two routers.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use beechsaddle_core::peer::PeerMessage;
use beechsaddle_core::prelude::*;
use hdrhistogram::Histogram;

use super::peer_fleet::{FleetEdge, PeerFleet};
use super::peer_samples::{admit_request, settle_request};
use crate::key_values::KeyValues;

/// Number of sequential round trips.
const ROUND_TRIPS: u64 = 2_000;

/// Numbers of concurrent requests at which throughput is measured.
const WINDOWS: [u64; 4] = [1, 8, 64, 512];

/// The measuring time of each window.
const RATE_SPAN: Duration = Duration::from_secs(1);

/// Measures sequential and concurrent round trips.
pub fn run() -> Vec<String> {
    let Some(fleet) = PeerFleet::try_start(1) else {
        return Vec::new();
    };
    let done = Arc::new(AtomicBool::new(false));
    let PeerFleet {
        measured,
        mut peers,
    } = fleet;
    let Some(holder) = peers.pop() else {
        return Vec::new();
    };
    let holder_address = EdgeAddress::of(&holder);
    let responder = spawn_responder(holder, EdgeAddress::of(&measured), Arc::clone(&done));
    let mut lines = vec![measure_latency(&measured, &holder_address).to_string()];
    let rates = WINDOWS.map(|window| measure_rate(&measured, &holder_address, window).to_string());
    lines.extend(rates);
    done.store(true, Ordering::SeqCst);
    let _ = responder.join();
    lines
}

/// The router and address of an edge.
#[derive(Clone)]
struct EdgeAddress {
    router: RouterIncarnation,
    address: String,
}

impl EdgeAddress {
    fn of(edge: &FleetEdge) -> Self {
        EdgeAddress {
            router: edge.me.clone(),
            address: edge.handle.local_address().to_string(),
        }
    }
}

// Replaces the core of the holder: replies to every request at once.
fn spawn_responder(
    holder: FleetEdge,
    to: EdgeAddress,
    done: Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        while !done.load(Ordering::SeqCst) {
            let event = holder.events.recv_timeout(Duration::from_millis(20));
            let Ok(CoreEvent::Peer { message, .. }) = event else {
                continue;
            };
            if let Some(reply) = reply_to(message) {
                let (router, address) = (to.router.clone(), to.address.clone());
                holder.handle.send(router, address, reply);
            }
        }
    })
}

fn reply_to(message: PeerMessage) -> Option<PeerMessage> {
    match message {
        PeerMessage::AdmitRequest(request) => Some(PeerMessage::AdmitReply {
            call: request.call,
            outcome: Ok("graz-nord-entry-001@1700000000000".into()),
        }),
        PeerMessage::SettleRequest(request) => {
            Some(PeerMessage::SettleReply { call: request.call })
        }
        _ => None,
    }
}

fn send(edge: &FleetEdge, to: &EdgeAddress, message: PeerMessage) {
    edge.handle
        .send(to.router.clone(), to.address.clone(), message);
}

fn measure_latency(edge: &FleetEdge, holder: &EdgeAddress) -> KeyValues {
    let mut spans = Histogram::<u64>::new(3).ok();
    let before = edge.handle.counts();
    for number in 0..ROUND_TRIPS {
        let start = Instant::now();
        send(edge, holder, admit_request(number));
        let _ = edge.events.recv_timeout(Duration::from_secs(1));
        send(
            edge,
            holder,
            PeerMessage::SettleRequest(settle_request(number)),
        );
        let _ = edge.events.recv_timeout(Duration::from_secs(1));
        if let Some(spans) = &mut spans {
            let _ = spans.record(start.elapsed().as_micros() as u64);
        }
    }
    let quantile = |share| {
        spans
            .as_ref()
            .map_or(0, |spans| spans.value_at_quantile(share))
    };
    let after = edge.handle.counts();
    let each = |sum: u64| sum as f64 / ROUND_TRIPS as f64;
    KeyValues::new()
        .with("part", "admit_and_settle")
        .with("count", ROUND_TRIPS)
        .with("p50_us", quantile(0.5))
        .with("p99_us", quantile(0.99))
        .with_float("out_bytes_a_call", each(after.bytes_out - before.bytes_out))
        .with_float("in_bytes_a_call", each(after.bytes_in - before.bytes_in))
        .with_float("packets_out_a_call", each(after.writes - before.writes))
}

// Keeps `window` requests outstanding. A lost message would shrink the window, which the count of
// lost messages shows.
fn measure_rate(edge: &FleetEdge, holder: &EdgeAddress, window: u64) -> KeyValues {
    let cpu = thread_cpu();
    let before = edge.handle.counts();
    let start = Instant::now();
    let mut sent = 0;
    let mut answered = 0;
    while start.elapsed() < RATE_SPAN {
        while sent - answered < window {
            send(edge, holder, admit_request(sent));
            sent += 1;
        }
        if edge.events.recv_timeout(Duration::from_secs(1)).is_ok() {
            answered += 1;
        }
    }
    while answered < sent && edge.events.recv_timeout(Duration::from_secs(1)).is_ok() {
        answered += 1;
    }
    let span_s = start.elapsed().as_secs_f64();
    let cpu_s = thread_cpu() - cpu;
    let after = edge.handle.counts();
    // Each round trip is one request sent and one reply received.
    let messages = (answered * 2) as f64;
    KeyValues::new()
        .with("part", "rate")
        .with("window", window)
        .with("lost", sent - answered)
        .with_float("round_trips_a_second", answered as f64 / span_s)
        .with_float("cpu_us_a_message", cpu_s * 1e6 / messages)
        .with_float("messages_a_second_a_core", messages / cpu_s)
        .with_float(
            "messages_a_delivery",
            sent as f64 / (after.deliveries - before.deliveries) as f64,
        )
}

fn thread_cpu() -> f64 {
    let costs = super::read_thread_cpu(std::process::id());
    costs.get("peers-measured").copied().unwrap_or_default()
}
