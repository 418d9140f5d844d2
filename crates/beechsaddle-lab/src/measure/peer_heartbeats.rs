//! The `peer_heartbeats` module provides what heartbeats cost a router over real connections.

use std::time::Duration;

use super::SlopeFit;
use super::peer_fleet::PeerFleet;
use super::peer_samples::heartbeat;
use crate::key_values::KeyValues;

/// How many peers the measured router has; 23 are the others of a domain at the planned size.
const PEER_COUNTS: [usize; 5] = [2, 6, 12, 18, 23];

/// How many news of targets each heartbeat carries.
const TARGET_COUNTS: [usize; 4] = [0, 4, 8, 16];

/// How often each router sends a heartbeat to each peer.
const ROUNDS: usize = 20;

/// The pause between two pairs of heartbeats: long enough that none waits for another.
const PAUSE: Duration = Duration::from_millis(1);

/// Bytes of TCP and IP headers of a packet, with timestamps.
const HEADER_BYTES: f64 = 52.0;

/// What one heartbeat in each direction cost the measured router.
struct BeatCost {
    peers: usize,
    out_bytes: f64,
    in_bytes: f64,
    packets: f64,
    cpu_us: f64,
}

/// Measures heartbeats against peers and against the news in them.
pub fn run() -> Vec<String> {
    let mut lines = Vec::new();
    for targets in TARGET_COUNTS {
        let costs: Vec<BeatCost> = PEER_COUNTS
            .into_iter()
            .filter_map(|peers| measure(peers, targets))
            .collect();
        lines.extend(costs.iter().map(|cost| cost.pairs(targets).to_string()));
        lines.extend(fits(&costs, targets));
    }
    lines
}

fn measure(peers: usize, targets: usize) -> Option<BeatCost> {
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
    let beats = (peers * ROUNDS) as f64;
    let packets = after.writes - before.writes + fleet.peer_writes() - writes;
    Some(BeatCost {
        peers,
        out_bytes: (after.bytes_out - before.bytes_out) as f64 / beats,
        in_bytes: (after.bytes_in - before.bytes_in) as f64 / beats,
        packets: packets as f64 / beats,
        cpu_us: (fleet.cpu_s() - cpu) * 1e6 / beats,
    })
}

impl BeatCost {
    // With heartbeats once a second: what the router sends and receives in a second.
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

fn fits(costs: &[BeatCost], targets: usize) -> Vec<String> {
    let fit = |unit: &str, value: fn(&BeatCost) -> f64| {
        let points: Vec<(f64, f64)> = costs
            .iter()
            .map(|cost| (cost.peers as f64, value(cost)))
            .collect();
        SlopeFit::of(&points).map(|fit| fit.pairs(unit, "peer").with("targets", targets))
    };
    [
        fit("bytes_a_second", BeatCost::bytes_a_second),
        fit("wire_bytes_a_second", BeatCost::wire_bytes_a_second),
        fit("core_permille", BeatCost::cpu_permille),
    ]
    .into_iter()
    .flatten()
    .map(|fit| fit.to_string())
    .collect()
}
