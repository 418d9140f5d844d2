//! The `core_rings` module provides the bounded rings into the core's thread.

use crossbeam_channel::{Receiver, Sender, bounded};

use beechsaddle_core::prelude::*;

/// Events of calls that may wait for the core. The calls edge refuses what does not fit.
const CALL_RING: usize = 4_096;

/// Platform replies that may wait. Above the platform edge's bound of calls in flight, so that a
/// reply always fits: a lost reply would leave its duty waiting for ever.
pub const PLATFORM_RING: usize = 8_192;

/// Messages of peers that may wait. What does not fit is dropped and counted, as if lost on the way.
const PEER_RING: usize = 4_096;

/// Drain requests that may wait; one is enough.
const CONTROL_RING: usize = 4;

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
    /// From the calls edge.
    pub calls: EventRing,
    /// From the platform edge.
    pub platform: EventRing,
    /// From the peers edge.
    pub peers: EventRing,
    /// From the process itself.
    pub control: EventRing,
}

impl CoreRings {
    /// Empty rings.
    pub fn new() -> Self {
        CoreRings {
            calls: EventRing::with_capacity(CALL_RING),
            platform: EventRing::with_capacity(PLATFORM_RING),
            peers: EventRing::with_capacity(PEER_RING),
            control: EventRing::with_capacity(CONTROL_RING),
        }
    }
}

impl Default for CoreRings {
    fn default() -> Self {
        CoreRings::new()
    }
}
