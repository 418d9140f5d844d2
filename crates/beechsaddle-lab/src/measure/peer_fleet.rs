//! The `peer_fleet` module provides a measured peer edge and its peers, all in one process.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use beechsaddle::peers::{PeerAuth, PeersCounts, PeersEdge, PeersHandle, PeersOptions};
use beechsaddle::report::{ReportEdge, ReportHandle, ReportOptions};
use beechsaddle_core::peer::PeerMessage;
use beechsaddle_core::prelude::*;
use crossbeam_channel::Receiver;

use super::peer_samples::host_name;
use super::read_thread_cpu;

/// The thread name of the measured edge.
const MEASURED_THREAD: &str = "peers-measured";

/// The shared secret of the edges.
const SECRET: &str = "a secret for measurements on one machine";

/// A peer edge and the channel on which it delivers events to its core.
pub struct FleetEdge {
    /// The incarnation of the router.
    pub me: RouterIncarnation,
    /// The handle for sending messages and reading counts.
    pub handle: PeersHandle,
    /// The events received.
    pub events: Receiver<CoreEvent>,
}

/// A measured edge and its peers.
pub struct PeerFleet {
    /// The measured edge.
    pub measured: FleetEdge,
    /// The peers of the measured edge.
    pub peers: Vec<FleetEdge>,
}

impl FleetEdge {
    fn try_start(number: usize, thread: &str, reports: &ReportHandle) -> Option<Self> {
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut options = PeersOptions::new(listen, PeerAuth::try_new(SECRET)?);
        options.thread_name = thread.to_owned();
        let me = RouterIncarnation::new(host_name(number).as_str(), 1_700_000_000_000);
        let (sender, events) = crossbeam_channel::bounded(65_536);
        let handle = PeersEdge::try_start(options, me.clone(), sender, reports.clone()).ok()?;
        Some(FleetEdge { me, handle, events })
    }

    /// Sends a message to another edge.
    pub fn send(&self, to: &FleetEdge, message: PeerMessage) {
        let address = to.handle.local_address().to_string();
        self.handle.send(to.me.clone(), address, message);
    }

    /// Discards all received events.
    pub fn clear(&self) {
        while self.events.try_recv().is_ok() {}
    }
}

impl PeerFleet {
    /// Starts the edges, which connect at their first message.
    pub fn try_start(peers: usize) -> Option<Self> {
        let reports = ReportOptions::new("").with_writer(io::sink());
        let (reports, _) = ReportEdge::try_start(reports).ok()?;
        let measured = FleetEdge::try_start(0, MEASURED_THREAD, &reports)?;
        let peers = (1..=peers)
            .map(|number| FleetEdge::try_start(number, "peers-other", &reports))
            .collect::<Option<Vec<_>>>()?;
        Some(PeerFleet { measured, peers })
    }

    /// Sends one message in each direction between the measured edge and each peer. The pause
    /// between two pairs prevents batching.
    pub fn exchange(&self, message: &PeerMessage, pause: Duration) {
        for peer in &self.peers {
            self.measured.send(peer, message.clone());
            peer.send(&self.measured, message.clone());
            std::thread::sleep(pause);
            peer.clear();
        }
        self.measured.clear();
    }

    /// Waits up to 5 s until the measured edge and its peers have had this many messages confirmed.
    pub fn wait_delivered(&self, of_measured: u64, of_peers: u64) {
        let until = Instant::now() + Duration::from_secs(5);
        let is_done = || {
            let peers: u64 = self.peers.iter().map(delivered).sum();
            delivered(&self.measured) >= of_measured && peers >= of_peers
        };
        while !is_done() && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Returns the counts of the measured edge.
    pub fn counts(&self) -> PeersCounts {
        self.measured.handle.counts()
    }

    /// Returns the number of writes of all peers; a write is about one packet to the measured edge.
    pub fn peer_writes(&self) -> u64 {
        let writes = self.peers.iter().map(|peer| peer.handle.counts().writes);
        writes.sum()
    }

    /// Returns the processor time of the measured edge, in seconds.
    pub fn cpu_s(&self) -> f64 {
        let costs = read_thread_cpu(std::process::id());
        costs.get(MEASURED_THREAD).copied().unwrap_or_default()
    }
}

fn delivered(edge: &FleetEdge) -> u64 {
    edge.handle.counts().delivered
}
