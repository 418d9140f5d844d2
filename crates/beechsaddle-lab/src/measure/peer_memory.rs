//! The `peer_memory` module provides how much memory a connection between routers takes.

use std::time::Duration;

use super::peer_fleet::PeerFleet;
use super::peer_samples::heartbeat;
use super::{ProcessCost, SlopeFit};
use crate::key_values::KeyValues;

/// How many peers each fleet has, one fleet after the other.
const PEER_COUNTS: [usize; 5] = [8, 16, 24, 32, 40];

/// How many heartbeats go over each connection before the memory is read.
const ROUNDS: u64 = 3;

/// Measures resident memory against connections. All fleets are kept until the end, so that no
/// memory of an earlier one is used again.
pub fn run() -> Vec<String> {
    let mut kept = Vec::new();
    // What is set up once for all connections must not count for the first fleet.
    let _ = measure(PEER_COUNTS[0], &mut kept);
    let mut lines = Vec::new();
    let mut points = Vec::new();
    for peers in PEER_COUNTS {
        let Some(point) = measure(peers, &mut kept) else {
            continue;
        };
        points.push((point.ends as f64, point.kib));
        lines.push(point.pairs(peers).to_string());
    }
    let fit = SlopeFit::of(&points).map(|fit| fit.pairs("kib", "connection_end"));
    lines.extend(fit.map(|fit| fit.to_string()));
    lines
}

/// What the connections of one fleet took.
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

fn measure(peers: usize, kept: &mut Vec<PeerFleet>) -> Option<MemoryPoint> {
    let fleet = PeerFleet::try_start(peers)?;
    // The threads are up before the first reading.
    std::thread::sleep(Duration::from_millis(200));
    let idle = ProcessCost::read_own()?;
    let message = heartbeat(1, 4, false, 0);
    for _ in 0..ROUNDS {
        fleet.exchange(&message, Duration::from_millis(1));
    }
    fleet.wait_delivered(ROUNDS * peers as u64, ROUNDS * peers as u64);
    let connected = ProcessCost::read_own()?;
    kept.push(fleet);
    Some(MemoryPoint {
        // Both ends of a connection are in this process, and each pair has two connections.
        ends: peers * 4,
        kib: connected.rss_kib.saturating_sub(idle.rss_kib) as f64,
    })
}
