//! The `core_rings` module provides the bounded rings into the core's thread.

use crossbeam_channel::{Receiver, Sender, bounded};

use beechsaddle_core::prelude::*;

/// Capacity of the ring of the calls edge, which refuses what does not fit.
const CALL_RING_SLOTS: usize = 4_096;

/// Capacity of the ring for platform replies. Above the platform edge's limit of calls in flight,
/// so that a reply always fits: after a lost reply its duty would wait forever.
pub const PLATFORM_RING_SLOTS: usize = 8_192;

/// Capacity of the ring for messages of peers. Messages that do not fit are dropped and counted, as
/// if lost in the network.
const PEER_RING_SLOTS: usize = 4_096;

/// Capacity of the ring for drain requests; one is enough.
const CONTROL_RING_SLOTS: usize = 4;

/// One ring into the core.
pub struct EventRing {
    /// Held by the edge.
    pub sender: Sender<CoreEvent>,
    /// Held by the core's thread.
    pub receiver: Receiver<CoreEvent>,
}

impl EventRing {
    fn with_capacity(capacity: usize) -> Self {
        let (sender, receiver) = bounded(capacity);
        EventRing { sender, receiver }
    }
}

/// The rings into the core, one for each edge: a flood of calls must not crowd out the platform's
/// replies or the peers' messages, without which no call can end.
pub struct CoreRings {
    /// Ring of the calls edge.
    pub calls: EventRing,
    /// Ring of the platform edge.
    pub platform: EventRing,
    /// Ring of the peers edge.
    pub peers: EventRing,
    /// Ring of the process itself.
    pub control: EventRing,
}

impl CoreRings {
    pub fn new() -> Self {
        CoreRings {
            calls: EventRing::with_capacity(CALL_RING_SLOTS),
            platform: EventRing::with_capacity(PLATFORM_RING_SLOTS),
            peers: EventRing::with_capacity(PEER_RING_SLOTS),
            control: EventRing::with_capacity(CONTROL_RING_SLOTS),
        }
    }
}

impl Default for CoreRings {
    fn default() -> Self {
        CoreRings::new()
    }
}
