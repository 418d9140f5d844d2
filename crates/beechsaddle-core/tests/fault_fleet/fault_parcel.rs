//! The `fault_parcel` module provides everything that is on its way.

use beechsaddle_core::platform::{PlatformCall, PlatformTicket};
use beechsaddle_core::prelude::*;

/// Something that happens at its time.
#[derive(Clone, Debug)]
pub enum FaultParcel {
    /// An event for one life of a host's router.
    Event {
        node: usize,
        epoch: u64,
        event: CoreEvent,
    },
    /// The clock of one life of a host's router.
    Clock { node: usize, epoch: u64 },
    /// A call reaches the platform.
    Land {
        node: usize,
        epoch: u64,
        ticket: PlatformTicket,
        call: PlatformCall,
        /// Whether the answer finds its way back.
        is_answered: bool,
    },
    /// A caller tries again.
    Retry { call: CallId },
}

/// A watch that waits at the platform.
#[derive(Clone, Debug)]
pub struct WaitingWatch {
    pub node: usize,
    pub epoch: u64,
    pub ticket: PlatformTicket,
    pub prefix: ObjectKey,
    pub after: u64,
    pub until: ClockTime,
}
