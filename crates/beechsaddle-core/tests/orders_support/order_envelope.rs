//! The `order_envelope` module provides the messages in flight between routers, store and engines.

use beechsaddle_core::platform::{PlatformCall, PlatformReply, PlatformTicket};
use beechsaddle_core::prelude::*;
use beechsaddle_core::target::{EngineState, OrderOutcome};

/// A message in flight.
#[derive(Clone, Debug)]
pub enum Envelope {
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

impl Envelope {
    /// Returns the sending or receiving router.
    pub fn node(&self) -> usize {
        match self {
            Envelope::Call { node, .. }
            | Envelope::Reply { node, .. }
            | Envelope::Order { node, .. }
            | Envelope::Ordered { node, .. } => *node,
        }
    }
}
