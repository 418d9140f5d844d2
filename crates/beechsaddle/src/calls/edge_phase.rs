//! The `edge_phase` module provides how far the edge has come in shutting down.

/// How far the edge has come in shutting down; phases only go forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum EdgePhase {
    /// Connections and calls are taken.
    Accepting,
    /// The listener is closed; calls on open connections are refused.
    Refusing,
    /// Each connection closes as soon as it has no running call.
    Closing,
}
