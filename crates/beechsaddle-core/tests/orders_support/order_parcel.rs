//! The `order_parcel` module provides what is on its way between routers, store and engines.

use beechsaddle_core::platform::{PlatformCall, PlatformReply, PlatformTicket};
use beechsaddle_core::prelude::*;
use beechsaddle_core::target::{EngineState, OrderOutcome};

/// Something that is on its way.
#[derive(Clone, Debug)]
pub enum Parcel {
    Call {
        node: usize,
        ticket: PlatformTicket,
        call: PlatformCall,
    },
    Reply {
        node: usize,
        ticket: PlatformTicket,
        reply: PlatformReply,
    },
    Order {
        node: usize,
        target: TargetName,
        fence: u64,
        state: EngineState,
    },
    Ordered {
        node: usize,
        target: TargetName,
        fence: u64,
        outcome: OrderOutcome,
    },
}

impl Parcel {
    /// The router that sent it or gets it.
    pub fn node(&self) -> usize {
        match self {
            Parcel::Call { node, .. }
            | Parcel::Reply { node, .. }
            | Parcel::Order { node, .. }
            | Parcel::Ordered { node, .. } => *node,
        }
    }
}
