//! The `parcel` module provides what is on its way between routers and the store.

use beechsaddle_core::peer::PeerMessage;
use beechsaddle_core::platform::{PlatformCall, PlatformReply, PlatformTicket};
use beechsaddle_core::prelude::*;

/// The node of platform calls whose answer nobody reads.
pub const NOBODY: usize = usize::MAX;

/// Something that is on its way.
#[derive(Clone, Debug)]
pub enum Parcel {
    /// A platform call on its way to the store.
    Call {
        node: usize,
        ticket: PlatformTicket,
        call: PlatformCall,
    },
    /// An answer on its way back.
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
