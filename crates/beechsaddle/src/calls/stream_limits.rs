//! The `stream_limits` module provides the limits of a caller's connection.

use std::time::Duration;

/// The limit by which a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StreamCut {
    /// It waited for a request for too long.
    Idle,
    /// A request head took too long.
    Head,
    /// Others need its memory or its descriptor.
    Evicted,
}

/// The limits of a connection. They are read whenever one of them may be over, so that a
/// change reaches open connections without any of them being woken.
pub(crate) trait StreamLimits {
    /// Returns the time for one request head, from its first byte on.
    fn head_timeout(&self) -> Duration;

    /// Returns the time that the connection may wait for a request; `None` leaves it to the HTTP
    /// connection.
    fn idle_timeout(&self) -> Option<Duration>;

    /// Records that bytes of a request head were read, the first ones if `is_start`.
    fn record_head_bytes(&self, count: usize, is_start: bool);

    /// Returns how many bytes of a request head may be read at a time.
    fn head_read_max(&self) -> usize;

    /// Records that the peer stops or goes on to read its answer.
    fn record_stall(&self, is_stalled: bool);

    /// Whether the connection has to end once no request runs on it.
    fn is_evicted(&self) -> bool;

    /// Whether the connection gets a large receive buffer, which was not set yet.
    fn take_widening(&self) -> bool;

    /// Records that the connection ends by a limit.
    fn record_cut(&self, cut: StreamCut);
}
