//! The `edge_context` module provides the state shared by all tasks of the edge between routers.

use std::sync::Arc;

use beechsaddle_core::event::CoreEvent;
use beechsaddle_core::names::RouterIncarnation;
use beechsaddle_core::peer::PeerMessage;
use beechsaddle_core::report::{CounterName, LogLevel, ReportAction};
use crossbeam_channel::{Sender, TrySendError};

use super::PeersOptions;
use super::peers_stats::{PeersStats, add};
use crate::report::ReportHandle;

/// State shared by all tasks of the edge.
pub(super) struct EdgeContext {
    pub(super) options: PeersOptions,
    /// The incarnation of this router.
    pub(super) own_incarnation: RouterIncarnation,
    pub(super) stats: Arc<PeersStats>,
    /// Handle of the report edge.
    pub(super) reports: ReportHandle,
    /// Ring into the core.
    pub(super) events: Sender<CoreEvent>,
}

impl EdgeContext {
    /// Hands a message to the core, or drops it if the core's ring is full.
    pub(super) fn send_to_core(&self, from: &RouterIncarnation, message: PeerMessage) {
        let event = CoreEvent::Peer {
            from: from.clone(),
            message,
        };
        match self.events.try_send(event) {
            Ok(()) => add(&self.stats.received, 1),
            Err(TrySendError::Full(_)) => {
                add(&self.stats.ring_full, 1);
                self.reports.count(CounterName::RingFull);
            }
            Err(TrySendError::Disconnected(_)) => {}
        }
    }

    /// Counts messages that were dropped before they were sent.
    pub(super) fn count_dropped(&self, messages: usize) {
        self.count_unsent(&self.stats.dropped, messages);
    }

    /// Counts messages that were in flight when a connection broke.
    pub(super) fn count_lost(&self, messages: usize) {
        self.count_unsent(&self.stats.lost, messages);
    }

    /// Counts and logs a refused connection.
    pub(super) fn refuse(&self, peer: impl Into<String>, reason: impl Into<String>) {
        add(&self.stats.refused, 1);
        self.reports.count(CounterName::PeersRefused);
        self.reports.log(
            LogLevel::Warning,
            "peer_refused",
            [("peer", peer.into()), ("reason", reason.into())],
        );
    }

    fn count_unsent(&self, count: &std::sync::atomic::AtomicU64, messages: usize) {
        if messages == 0 {
            return;
        }
        add(count, messages as u64);
        self.reports.send(ReportAction::Add {
            counter: CounterName::PeerSendFailed,
            amount: messages as u64,
        });
    }
}
