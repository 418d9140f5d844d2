//! The `edge_phase` module provides the phases of the edge's shutdown.

/// Phase of the edge's shutdown; phases only advance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum EdgePhase {
    /// Connections and calls are accepted.
    Accepting,
    /// The listener is closed; calls on open connections are refused.
    Refusing,
    /// Each connection closes as soon as it has no running call.
    Closing,
}
