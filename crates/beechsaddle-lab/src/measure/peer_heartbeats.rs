//! The `peer_heartbeats` module provides the measured cost of heartbeats over real connections.

use std::time::Duration;

use super::SlopeFit;
use super::peer_fleet::PeerFleet;
use super::peer_samples::heartbeat;
use crate::key_values::KeyValues;

/// Numbers of peers of the measured router; 23 is the number in a domain of the planned size.
const PEER_COUNTS: [usize; 5] = [2, 6, 12, 18, 23];

/// Numbers of target updates in each heartbeat.
const TARGET_COUNTS: [usize; 4] = [0, 4, 8, 16];

/// Heartbeats that each router sends to each peer.
const ROUNDS: usize = 20;

/// The pause between two pairs of heartbeats, long enough that no heartbeat queues behind another.
const PAUSE: Duration = Duration::from_millis(1);

/// Bytes of the TCP (with timestamps) and IP headers of a packet.
const HEADER_BYTES: f64 = 52.0;

/// The cost of one heartbeat in each direction to the measured router.
struct HeartbeatCost {
    peers: usize,
    out_bytes: f64,
    in_bytes: f64,
    packets: f64,
    cpu_us: f64,
}

/// Measures the cost of heartbeats by the number of peers and of target updates in them.
pub fn run() -> Vec<String> {
    let mut lines = Vec::new();
    for targets in TARGET_COUNTS {
        let costs: Vec<HeartbeatCost> = PEER_COUNTS
            .into_iter()
            .filter_map(|peers| measure(peers, targets))
            .collect();
        lines.extend(costs.iter().map(|cost| cost.pairs(targets).to_string()));
        lines.extend(fits(&costs, targets));
    }
    lines
}

fn measure(peers: usize, targets: usize) -> Option<HeartbeatCost> {
    let fleet = PeerFleet::try_start(peers)?;
    let message = heartbeat(1, targets, false, 0);
    fleet.exchange(&message, PAUSE);
    fleet.wait_delivered(peers as u64, peers as u64);
    let (before, writes, cpu) = (fleet.counts(), fleet.peer_writes(), fleet.cpu_s());
    for _ in 0..ROUNDS {
        fleet.exchange(&message, PAUSE);
    }
    let total = (peers * (ROUNDS + 1)) as u64;
    fleet.wait_delivered(total, total);
    let after = fleet.counts();
    let heartbeats = (peers * ROUNDS) as f64;
    let packets = after.writes - before.writes + fleet.peer_writes() - writes;
    Some(HeartbeatCost {
        peers,
        out_bytes: (after.bytes_out - before.bytes_out) as f64 / heartbeats,
        in_bytes: (after.bytes_in - before.bytes_in) as f64 / heartbeats,
        packets: packets as f64 / heartbeats,
        cpu_us: (fleet.cpu_s() - cpu) * 1e6 / heartbeats,
    })
}

impl HeartbeatCost {
    // Bytes sent and received by the router per second, at one heartbeat per second.
    fn bytes_a_second(&self) -> f64 {
        (self.out_bytes + self.in_bytes) * self.peers as f64
    }

    fn wire_bytes_a_second(&self) -> f64 {
        self.bytes_a_second() + self.packets * HEADER_BYTES * self.peers as f64
    }

    fn cpu_permille(&self) -> f64 {
        self.cpu_us * self.peers as f64 / 1_000.0
    }

    fn pairs(&self, targets: usize) -> KeyValues {
        KeyValues::new()
            .with("part", "heartbeats")
            .with("peers", self.peers)
            .with("targets", targets)
            .with_float("out_bytes_a_beat", self.out_bytes)
            .with_float("in_bytes_a_beat", self.in_bytes)
            .with_float("packets_a_beat", self.packets)
            .with_float("cpu_us_a_beat", self.cpu_us)
            .with_float("bytes_a_second", self.bytes_a_second())
            .with_float("wire_bytes_a_second", self.wire_bytes_a_second())
            .with_float("core_permille", self.cpu_permille())
    }
}

fn fits(costs: &[HeartbeatCost], targets: usize) -> Vec<String> {
    let fit = |unit: &str, value: fn(&HeartbeatCost) -> f64| {
        let points: Vec<(f64, f64)> = costs
            .iter()
            .map(|cost| (cost.peers as f64, value(cost)))
            .collect();
        SlopeFit::of(&points).map(|fit| fit.pairs(unit, "peer").with("targets", targets))
    };
    [
        fit("bytes_a_second", HeartbeatCost::bytes_a_second),
        fit("wire_bytes_a_second", HeartbeatCost::wire_bytes_a_second),
        fit("core_permille", HeartbeatCost::cpu_permille),
    ]
    .into_iter()
    .flatten()
    .map(|fit| fit.to_string())
    .collect()
}
