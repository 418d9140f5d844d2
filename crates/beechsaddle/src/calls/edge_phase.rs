//! The `edge_phase` module provides the phases of the edge's shutdown.

/// Phase of the edge's shutdown; phases only advance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum EdgePhase {
    /// Connections and calls are accepted.
    Accepting,
    /// The callers' listener is closed. Calls on open connections are refused; after a grace period,
    /// each connection closes as soon as it has no running call.
    Refusing,
    /// The operators' listener is closed too; the edge ends with its last connection.
    Closing,
}
