//! The `fault_envelope` module provides the scheduled events of the simulation.

use beechsaddle_core::platform::{PlatformCall, PlatformTicket};
use beechsaddle_core::prelude::*;

/// An event that is scheduled for a time.
#[derive(Clone, Debug)]
pub enum FaultEnvelope {
    /// An event for one incarnation of a host's router.
    Event {
        node: usize,
        epoch: u64,
        event: CoreEvent,
    },
    /// The next tick of one incarnation of a host's router.
    Clock { node: usize, epoch: u64 },
    /// A call reaches the platform.
    CallArrived {
        node: usize,
        epoch: u64,
        ticket: PlatformTicket,
        call: PlatformCall,
        /// Whether the reply is delivered.
        is_answered: bool,
    },
    /// A caller retries.
    Retry { call: CallId },
}

/// A watch that is pending at the platform.
#[derive(Clone, Debug)]
pub struct WaitingWatch {
    pub node: usize,
    pub epoch: u64,
    pub ticket: PlatformTicket,
    pub prefix: ObjectKey,
    pub after: u64,
    pub until: ClockTime,
}
