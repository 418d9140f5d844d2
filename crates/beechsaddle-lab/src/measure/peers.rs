//! The `peers` module provides the experiments on the cost of messages between routers.

use super::{peer_bytes, peer_heartbeats, peer_memory, peer_round_trip};

/// Measures memory, encoded sizes, heartbeats over real connections, and round trips.
pub fn run(_seed: u64) -> Vec<String> {
    // Memory is measured first, while the allocator has no freed pages to reuse.
    let mut lines = peer_memory::run();
    lines.extend(peer_bytes::run());
    lines.extend(peer_heartbeats::run());
    lines.extend(peer_round_trip::run());
    lines
}
