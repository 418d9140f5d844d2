//! The `report_handle` module provides the way to the report edge.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use beechsaddle_core::report::{CounterName, LogLevel, LogLine, ReportAction};
use crossbeam_channel::{Receiver, Sender, TrySendError};

/// Hands lines and counts to the report edge. All clones share one ring.
#[derive(Clone, Debug)]
pub struct ReportHandle {
    ring: Sender<ReportAction>,
    dropped: Arc<AtomicU64>,
}

impl ReportHandle {
    /// A handle and the end of its ring that is read.
    pub(super) fn with_ring(size: usize) -> (Self, Receiver<ReportAction>) {
        let (ring, receiver) = crossbeam_channel::bounded(size);
        let handle = ReportHandle {
            ring,
            dropped: Arc::new(AtomicU64::new(0)),
        };
        (handle, receiver)
    }

    /// Hands over an action without ever waiting; what does not fit is dropped and counted.
    pub fn send(&self, action: ReportAction) {
        match self.ring.try_send(action) {
            Ok(()) | Err(TrySendError::Disconnected(_)) => {}
            Err(TrySendError::Full(_)) => {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    /// Counts by one.
    pub fn count(&self, counter: CounterName) {
        self.send(ReportAction::Count(counter));
    }

    /// Logs a line.
    pub fn log(
        &self,
        level: LogLevel,
        event: &'static str,
        fields: impl IntoIterator<Item = (&'static str, String)>,
    ) {
        self.send(ReportAction::Log(LogLine {
            level,
            event,
            fields: fields.into_iter().collect(),
        }));
    }

    /// How many actions were dropped since this was last asked.
    pub(super) fn take_dropped(dropped: &AtomicU64) -> u64 {
        dropped.swap(0, Ordering::Relaxed)
    }

    /// The count of dropped actions, for the thread that tells it.
    pub(super) fn dropped(&self) -> Arc<AtomicU64> {
        Arc::clone(&self.dropped)
    }
}
