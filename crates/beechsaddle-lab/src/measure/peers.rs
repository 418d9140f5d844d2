//! The `peers` module provides what messages between routers cost.

use super::{peer_bytes, peer_heartbeats, peer_memory, peer_round_trip};

/// Measures memory, encoded sizes, heartbeats over real connections, and round trips.
pub fn run(_seed: u64) -> Vec<String> {
    // First, while the allocator has no pages of its own to hand out again.
    let mut lines = peer_memory::run();
    lines.extend(peer_bytes::run());
    lines.extend(peer_heartbeats::run());
    lines.extend(peer_round_trip::run());
    lines
}
