//! The `report_handle` module provides the handle that sends to the report edge.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use beechsaddle_core::report::{CounterName, LogLevel, LogLine, ReportAction};
use crossbeam_channel::{Receiver, Sender, TrySendError};

/// Sends lines and counts to the report edge. All clones share one ring.
#[derive(Clone, Debug)]
pub struct ReportHandle {
    ring: Sender<ReportAction>,
    dropped: Arc<AtomicU64>,
}

impl ReportHandle {
    /// Creates a handle and the receiver of its ring.
    pub(super) fn with_ring(size: usize) -> (Self, Receiver<ReportAction>) {
        let (ring, receiver) = crossbeam_channel::bounded(size);
        let handle = ReportHandle {
            ring,
            dropped: Arc::new(AtomicU64::new(0)),
        };
        (handle, receiver)
    }

    /// Sends an action without blocking. An action that does not fit is dropped and counted.
    pub fn send(&self, action: ReportAction) {
        match self.ring.try_send(action) {
            Ok(()) | Err(TrySendError::Disconnected(_)) => {}
            Err(TrySendError::Full(_)) => {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    /// Increments a counter.
    pub fn count(&self, counter: CounterName) {
        self.send(ReportAction::Count(counter));
    }

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

    /// Returns the number of actions dropped since the previous call.
    pub(super) fn take_dropped(dropped: &AtomicU64) -> u64 {
        dropped.swap(0, Ordering::Relaxed)
    }

    /// Returns the counter of dropped actions, for the thread that reports it.
    pub(super) fn dropped(&self) -> Arc<AtomicU64> {
        Arc::clone(&self.dropped)
    }
}
