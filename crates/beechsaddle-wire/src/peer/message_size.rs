//! The `message_size` module provides estimates of message sizes without encoding.

use beechsaddle_core::peer::{PeerHeartbeat, PeerMessage};

// Estimates in bytes, for names of up to 24 bytes. They bound queues, for which a factor of two
// does not matter; the exact size of a message is checked when it is encoded.
const MESSAGE_BYTES: usize = 256;
const TARGET_BYTES: usize = 160;
const LIMIT_BYTES: usize = 80;
const ROUTER_BYTES: usize = 160;
const CALL_BYTES: usize = 88;
const HOST_BYTES: usize = 192;
const ENTRY_BYTES: usize = 512;

/// Returns the estimated encoded size of a message, in bytes.
pub fn message_bytes_hint(message: &PeerMessage) -> usize {
    MESSAGE_BYTES + list_bytes(message)
}

fn list_bytes(message: &PeerMessage) -> usize {
    match message {
        PeerMessage::Heartbeat(heartbeat) => heartbeat_bytes(heartbeat),
        PeerMessage::CatalogueUpdate { base, changes } => {
            let entries = base.as_ref().map_or(0, |base| base.entries.len());
            let edits: usize = changes.iter().map(|change| 1 + change.edits.len()).sum();
            (entries + edits) * ENTRY_BYTES
        }
        PeerMessage::HostsUpdate { hosts, .. } => hosts.hosts.len() * HOST_BYTES,
        PeerMessage::ProgressReport { calls } => calls.len() * CALL_BYTES,
        PeerMessage::BillsDurable { calls } => calls.len() * CALL_BYTES,
        PeerMessage::CatalogueRequest { .. }
        | PeerMessage::AdmitRequest(_)
        | PeerMessage::AdmitReply { .. }
        | PeerMessage::SettleRequest(_)
        | PeerMessage::SettleReply { .. }
        | PeerMessage::CallUnknown { .. }
        | PeerMessage::HostsRequest
        | PeerMessage::WitnessNote(_)
        | PeerMessage::WitnessReply { .. }
        | PeerMessage::RecordRequest(_)
        | PeerMessage::RecordReply { .. } => 0,
    }
}

fn heartbeat_bytes(heartbeat: &PeerHeartbeat) -> usize {
    heartbeat.targets.len() * TARGET_BYTES
        + heartbeat.limits.len() * LIMIT_BYTES
        + heartbeat.routers.len() * ROUTER_BYTES
}
