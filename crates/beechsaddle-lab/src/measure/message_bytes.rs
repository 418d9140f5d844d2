//! The `message_bytes` module provides the sizes of messages between routers.

use beechsaddle_core::peer::PeerMessage;
use beechsaddle_wire::peer::encode_message;

use super::SlopeFit;
use super::sample_messages::{
    heartbeat_with_limits, heartbeat_with_routers, heartbeat_with_targets, messages_of_held_call,
    messages_of_own_call, messages_of_record, progress_of_calls, update_with_changes,
};
use crate::key_values::KeyValues;

/// How many items the measured messages hold.
const COUNTS: [u64; 5] = [0, 10, 50, 100, 200];

/// A message and what one item of it is.
type MessageKind = (&'static str, &'static str, fn(u64) -> PeerMessage);

/// A step of a call and the messages that it causes.
type CallStep = (&'static str, fn(u64) -> Vec<PeerMessage>);

const KINDS: [MessageKind; 5] = [
    ("heartbeat", "target", heartbeat_with_targets),
    ("heartbeat", "limit", heartbeat_with_limits),
    ("heartbeat", "router", heartbeat_with_routers),
    ("catalogue_update", "change", update_with_changes),
    ("progress_report", "call", progress_of_calls),
];

const STEPS: [CallStep; 3] = [
    ("call_held_by_a_peer", messages_of_held_call),
    ("call_held_by_its_entry", messages_of_own_call),
    ("dedup_record", messages_of_record),
];

/// Encodes messages of several sizes with the real codec and fits a line for each kind.
pub fn run(_seed: u64) -> Vec<String> {
    let kinds = KINDS.into_iter().flat_map(measure_kind);
    let steps = STEPS.into_iter().map(measure_step);
    kinds.chain(steps).collect()
}

fn measure_kind((message, item, make): MessageKind) -> Vec<String> {
    let mut lines = Vec::new();
    let mut points = Vec::new();
    for count in COUNTS {
        let bytes = encoded_bytes(&make(count));
        points.push((count as f64, bytes as f64));
        let line = KeyValues::new()
            .with("message", message)
            .with(item, count)
            .with("bytes", bytes);
        lines.push(line.to_string());
    }
    if let Some(fit) = SlopeFit::of(&points) {
        let line = KeyValues::new()
            .with("message", message)
            .joined(fit.pairs("bytes", item));
        lines.push(line.to_string());
    }
    lines
}

fn measure_step((step, make): CallStep) -> String {
    let messages = make(1);
    let bytes: usize = messages.iter().map(encoded_bytes).sum();
    KeyValues::new()
        .with("step", step)
        .with("messages", messages.len())
        .with("bytes", bytes)
        .to_string()
}

// A message that cannot be encoded counts as nothing, and the fit's r2 shows it.
fn encoded_bytes(message: &PeerMessage) -> usize {
    encode_message(message).map_or(0, |bytes| bytes.len())
}
