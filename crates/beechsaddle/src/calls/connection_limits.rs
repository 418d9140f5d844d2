//! The `connection_limits` module provides the time limits of a connection of the edge.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use super::stream_limits::{StreamCut, StreamLimits};

/// Time limits of one connection, which ends once it waits for a request after it was told to close.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionLimits {
    head_timeout: Duration,
    is_closing: Arc<AtomicBool>,
}

impl ConnectionLimits {
    /// Creates limits with a time for one request head.
    pub(crate) fn new(head_timeout: Duration) -> Self {
        ConnectionLimits {
            head_timeout,
            is_closing: Arc::default(),
        }
    }

    /// Makes the connection end as soon as nothing of a request has arrived on it.
    pub(crate) fn close(&self) {
        self.is_closing.store(true, Ordering::Release);
    }

    /// Whether the connection takes no further request after the running one.
    pub(crate) fn is_closing(&self) -> bool {
        self.is_closing.load(Ordering::Acquire)
    }
}

impl StreamLimits for ConnectionLimits {
    fn head_timeout(&self) -> Duration {
        self.head_timeout
    }

    fn idle_timeout(&self) -> Option<Duration> {
        self.is_closing().then_some(Duration::ZERO)
    }

    fn record_head_bytes(&self, _: usize, _: bool) {}

    fn head_read_max(&self) -> usize {
        usize::MAX
    }

    fn record_stall(&self, _: bool) {}

    fn is_evicted(&self) -> bool {
        false
    }

    fn take_widening(&self) -> bool {
        false
    }

    fn record_cut(&self, _: StreamCut) {}
}
