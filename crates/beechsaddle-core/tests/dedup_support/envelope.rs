//! The `envelope` module provides the messages in flight between routers and the store.

use beechsaddle_core::peer::PeerMessage;
use beechsaddle_core::platform::{PlatformCall, PlatformReply, PlatformTicket};
use beechsaddle_core::prelude::*;

/// The node of platform calls whose reply is dropped.
pub const NO_ROUTER: usize = usize::MAX;

/// A message in flight.
#[derive(Clone, Debug)]
pub enum Envelope {
    /// A platform call to the store.
    Call {
        node: usize,
        ticket: PlatformTicket,
        call: PlatformCall,
    },
    /// A reply of the store.
    Reply {
        node: usize,
        ticket: PlatformTicket,
        reply: PlatformReply,
    },
    /// A message between routers.
    Peer {
        from: RouterIncarnation,
        to: RouterIncarnation,
        message: PeerMessage,
    },
}
