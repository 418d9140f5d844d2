//! The `peers_handle` module provides the handle of the running edge between routers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;

use beechsaddle_core::names::RouterIncarnation;
use beechsaddle_core::peer::PeerMessage;
use beechsaddle_core::report::CounterName;
use tokio::sync::mpsc::Sender;
use tokio::sync::mpsc::error::TrySendError;

use super::PeersCounts;
use super::link_table::OutboundMessage;
use super::peers_stats::{PeersStats, add};
use crate::report::ReportHandle;

/// Hands messages to the edge between routers, which ends when the handle is dropped or stopped.
pub struct PeersHandle {
    ring: Option<Sender<OutboundMessage>>,
    thread: Option<JoinHandle<()>>,
    stats: Arc<PeersStats>,
    reports: ReportHandle,
    local_address: SocketAddr,
}

impl PeersHandle {
    pub(super) fn new(
        ring: Sender<OutboundMessage>,
        thread: JoinHandle<()>,
        stats: Arc<PeersStats>,
        reports: ReportHandle,
        local_address: SocketAddr,
    ) -> Self {
        PeersHandle {
            ring: Some(ring),
            thread: Some(thread),
            stats,
            reports,
            local_address,
        }
    }

    /// Hands over a message without ever waiting. It may be lost, and is never sent twice.
    ///
    /// An incarnation with epoch zero stands for any incarnation of that host at the address; it is
    /// meant for the first heartbeat to a host that is only known from the host list.
    pub fn send(&self, to: RouterIncarnation, address: String, message: PeerMessage) {
        let Some(ring) = &self.ring else {
            return;
        };
        let outbound = OutboundMessage {
            to,
            address,
            message,
        };
        match ring.try_send(outbound) {
            Ok(()) | Err(TrySendError::Closed(_)) => {}
            Err(TrySendError::Full(_)) => {
                add(&self.stats.ring_full, 1);
                self.reports.count(CounterName::RingFull);
            }
        }
    }

    /// Address that the edge listens on, with the port that the system chose if the settings gave
    /// none.
    pub fn local_address(&self) -> SocketAddr {
        self.local_address
    }

    /// Counters of the edge so far.
    pub fn counts(&self) -> PeersCounts {
        self.stats.counts()
    }

    /// Delivers the queued messages within the drain time of the options, and ends the edge.
    pub fn stop(mut self) {
        self.end();
    }

    fn end(&mut self) {
        self.ring = None;
        if let Some(thread) = self.thread.take() {
            // A panic of the edge was already printed by the runtime.
            let _ = thread.join();
        }
    }
}

impl Drop for PeersHandle {
    fn drop(&mut self) {
        self.end();
    }
}
