//! The `peer_bytes` module provides the sizes and coding times of messages between routers.

use std::hint::black_box;
use std::time::Instant;

use beechsaddle_core::peer::PeerMessage;
use beechsaddle_wire::peer::{build_message, decode_message, encode_message};

use super::SlopeFit;
use super::peer_samples::{call_messages, heartbeat};
use crate::key_values::KeyValues;

/// Numbers of target updates in a heartbeat.
const TARGET_COUNTS: [usize; 6] = [0, 8, 16, 48, 96, 195];

/// Number of timed encodings and decodings of each message.
const ROUNDS: u32 = 2_000;

/// Measures each kind of message separately.
pub fn run() -> Vec<String> {
    let mut lines = Vec::new();
    for engines in [false, true] {
        let mut points = Vec::new();
        for targets in TARGET_COUNTS {
            let message = heartbeat(1, targets, engines, 0);
            points.push((targets as f64, capnp_bytes(&message) as f64));
            let line = measured("heartbeat", &message)
                .with("targets", targets)
                .with("engines", engines);
            lines.push(line.to_string());
        }
        let fit = SlopeFit::of(&points).map(|fit| fit.pairs("bytes", "target"));
        lines.extend(fit.map(|fit| fit.with("engines", engines).to_string()));
    }
    let limits = heartbeat(1, 0, false, 10);
    lines.push(measured("heartbeat_10_limits", &limits).to_string());
    for (kind, message) in call_messages(7) {
        lines.push(measured(kind, &message).to_string());
    }
    lines
}

fn measured(kind: &str, message: &PeerMessage) -> KeyValues {
    let bytes = encode_message(message).unwrap_or_default();
    let encode_us = time_us(|| {
        let _ = black_box(encode_message(black_box(message)));
    });
    let decode_us = time_us(|| {
        let _ = black_box(decode_message(black_box(&bytes)));
    });
    KeyValues::new()
        .with("part", "encoded")
        .with("message", kind)
        .with("capnp_bytes", bytes.len())
        .with("packed_bytes", packed_bytes(message))
        .with("cbor_bytes", cbor_bytes(message))
        .with_float("encode_us", encode_us)
        .with_float("decode_us", decode_us)
}

fn capnp_bytes(message: &PeerMessage) -> usize {
    encode_message(message).map_or(0, |bytes| bytes.len())
}

/// Returns the size of a message in the packed encoding used between routers, in bytes.
pub fn packed_bytes(message: &PeerMessage) -> usize {
    let mut bytes = Vec::new();
    if let Ok(builder) = build_message(message) {
        let _ = capnp::serialize_packed::write_message(&mut bytes, &builder);
    }
    bytes.len()
}

fn cbor_bytes(message: &PeerMessage) -> usize {
    let mut bytes = Vec::new();
    let _ = ciborium::into_writer(message, &mut bytes);
    bytes.len()
}

fn time_us(mut work: impl FnMut()) -> f64 {
    let start = Instant::now();
    for _ in 0..ROUNDS {
        work();
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS)
}
