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
