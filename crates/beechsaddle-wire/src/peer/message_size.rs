//! The `message_size` module provides how large a message will be, without encoding it.

use beechsaddle_core::peer::{PeerHeartbeat, PeerMessage};

// Sizes with names of up to 24 bytes, in bytes. They bound queues, where half or twice as much does
// not matter; the size of what is sent is checked when it is encoded.
const MESSAGE_BYTES: usize = 256;
const TARGET_BYTES: usize = 160;
const LIMIT_BYTES: usize = 80;
const ROUTER_BYTES: usize = 160;
const CALL_BYTES: usize = 88;
const HOST_BYTES: usize = 192;
const ENTRY_BYTES: usize = 512;

/// About how many bytes a message will have.
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
