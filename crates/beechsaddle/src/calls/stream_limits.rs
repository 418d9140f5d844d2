//! The `stream_limits` module provides the time limits of a caller's connection.

use std::time::Duration;

/// The limit by which a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StreamCut {
    /// It waited for a request for too long.
    Idle,
    /// A request head took too long.
    Head,
}

/// The time limits of a connection. They are read whenever one of them may be over, so that a
/// change reaches open connections without any of them being woken.
pub(crate) trait StreamLimits {
    /// Returns the time for one request head, from its first byte on.
    fn head_timeout(&self) -> Duration;

    /// Returns the time that the connection may wait for a request; `None` leaves it to the HTTP
    /// connection.
    fn idle_timeout(&self) -> Option<Duration>;

    /// Records that the first bytes of a request head have arrived.
    fn record_head_start(&self);

    /// Records that the connection ends by a limit.
    fn record_cut(&self, cut: StreamCut);
}

/// Limits that stay the same for the life of a process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FixedLimits {
    head_timeout: Duration,
}

impl FixedLimits {
    /// Creates limits with a time for one request head.
    pub(crate) fn new(head_timeout: Duration) -> Self {
        FixedLimits { head_timeout }
    }
}

impl StreamLimits for FixedLimits {
    fn head_timeout(&self) -> Duration {
        self.head_timeout
    }

    fn idle_timeout(&self) -> Option<Duration> {
        None
    }

    fn record_head_start(&self) {}

    fn record_cut(&self, _: StreamCut) {}
}
