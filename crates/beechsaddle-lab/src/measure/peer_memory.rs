//! The `peer_memory` module provides the measured memory of connections between routers.

use std::time::Duration;

use super::peer_fleet::PeerFleet;
use super::peer_samples::heartbeat;
use super::{ProcessCost, SlopeFit};
use crate::key_values::KeyValues;

/// The sizes of the measured fleets, in peers.
const PEER_COUNTS: [usize; 5] = [8, 16, 24, 32, 40];

/// Heartbeats over each connection before memory is read.
const ROUNDS: u64 = 3;

/// Measures resident memory by number of connections. All fleets stay alive until the end, so that
/// no fleet reuses memory that an earlier one freed.
pub fn run() -> Vec<String> {
    let mut retained = Vec::new();
    // A first run is discarded, so that one-time allocations are not counted for the first fleet.
    let _ = measure(PEER_COUNTS[0], &mut retained);
    let mut lines = Vec::new();
    let mut points = Vec::new();
    for peers in PEER_COUNTS {
        let Some(point) = measure(peers, &mut retained) else {
            continue;
        };
        points.push((point.ends as f64, point.kib));
        lines.push(point.pairs(peers).to_string());
    }
    let fit = SlopeFit::of(&points).map(|fit| fit.pairs("kib", "connection_end"));
    lines.extend(fit.map(|fit| fit.to_string()));
    lines
}

/// The memory of the connections of one fleet.
struct MemoryPoint {
    ends: usize,
    kib: f64,
}

impl MemoryPoint {
    fn pairs(&self, peers: usize) -> KeyValues {
        KeyValues::new()
            .with("part", "memory")
            .with("peers", peers)
            .with("connection_ends", self.ends)
            .with_float("kib", self.kib)
            .with_float("kib_an_end", self.kib / self.ends as f64)
    }
}

fn measure(peers: usize, retained: &mut Vec<PeerFleet>) -> Option<MemoryPoint> {
    let fleet = PeerFleet::try_start(peers)?;
    // All threads have started before the first reading.
    std::thread::sleep(Duration::from_millis(200));
    let idle = ProcessCost::read_own()?;
    let message = heartbeat(1, 4, false, 0);
    for _ in 0..ROUNDS {
        fleet.exchange(&message, Duration::from_millis(1));
    }
    fleet.wait_delivered(ROUNDS * peers as u64, ROUNDS * peers as u64);
    let connected = ProcessCost::read_own()?;
    retained.push(fleet);
    Some(MemoryPoint {
        // Both ends of a connection are in this process, and each pair of routers has two
        // connections.
        ends: peers * 4,
        kib: connected.rss_kib.saturating_sub(idle.rss_kib) as f64,
    })
}
