//! The `event` module provides everything that can happen to the core.

use serde::Serialize;

use crate::call::CallEvent;
use crate::names::RouterIncarnation;
use crate::peer::PeerMessage;
use crate::platform::{PlatformReply, PlatformTicket};
use crate::target::TargetEvent;

/// Something that an edge tells the core.
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
        /// The call.
        ticket: PlatformTicket,
        /// Its outcome.
        reply: PlatformReply,
    },
    /// A message from another router whose shared secret was checked.
    Peer {
        /// The sender.
        from: RouterIncarnation,
        /// The message.
        message: PeerMessage,
    },
    /// The outcome of a probe or an order.
    Target(TargetEvent),
    /// An operator asks for the router's status.
    StatusQuery {
        /// Matches the answer to the question.
        query: u64,
    },
    /// The router was asked to shut down gracefully.
    Drain,
}

/// How often [`CoreEvent::Tick`] is raised, in milliseconds.
pub const TICK_MS: u64 = 50;
