//! The `event` module provides all inputs of the core.

use serde::Serialize;

use crate::call::CallEvent;
use crate::names::RouterIncarnation;
use crate::peer::PeerMessage;
use crate::platform::{PlatformReply, PlatformTicket};
use crate::target::TargetEvent;

/// An input of the core, raised by an edge.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum CoreEvent {
    /// Raised once when the router starts.
    Started,
    /// Raised every [`TICK_MS`].
    Tick,
    /// From the edge towards callers and targets.
    Call(CallEvent),
    /// The outcome of a platform call.
    Platform {
        ticket: PlatformTicket,
        reply: PlatformReply,
    },
    /// A message from another router whose shared secret was verified.
    Peer {
        from: RouterIncarnation,
        message: PeerMessage,
    },
    /// The outcome of a probe or an order.
    Target(TargetEvent),
    /// An operator requests the router's status.
    StatusQuery {
        /// Correlates the reply with the query.
        query: u64,
    },
    /// Requests a graceful shutdown.
    Drain,
}

/// The interval of [`CoreEvent::Tick`] in milliseconds.
pub const TICK_MS: u64 = 50;
