//! The `platform_handle` module provides the core's end of the ring towards the platform.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};

use beechsaddle_core::platform::{PlatformCall, PlatformReply, PlatformTicket};

/// Hands calls to the platform's thread. The thread ends when all handles are dropped.
#[derive(Clone, Debug)]
pub struct PlatformHandle {
    ring: mpsc::Sender<TicketCall>,
    places: Arc<Semaphore>,
    refused: Arc<AtomicU64>,
}

/// A call on its way.
#[derive(Debug)]
pub(super) struct TicketCall {
    /// Names the call.
    pub(super) ticket: PlatformTicket,
    /// The call.
    pub(super) call: PlatformCall,
    /// Its place among the calls in flight, free again when this is dropped.
    pub(super) place: OwnedSemaphorePermit,
}

impl PlatformHandle {
    pub(super) fn new(ring: mpsc::Sender<TicketCall>, calls_max: usize) -> Self {
        PlatformHandle {
            ring,
            places: Arc::new(Semaphore::new(calls_max)),
            refused: Arc::new(AtomicU64::new(0)),
        }
    }

    /// Hands over a call without waiting; its reply comes as an event.
    ///
    /// When there are as many calls in flight as the settings allow, there will be no event: the
    /// reply is returned here, and it is [`PlatformReply::Unreachable`], since nothing was sent.
    pub fn send(&self, ticket: PlatformTicket, call: PlatformCall) -> Result<(), PlatformReply> {
        // The core must go on while the platform hangs. If it waited for a place, callers would
        // be neither answered nor refused until the platform is back; if calls piled up without
        // a bound, the router would run out of memory in a long outage.
        let Ok(place) = Arc::clone(&self.places).try_acquire_owned() else {
            return Err(self.refuse());
        };
        let ticket_call = TicketCall {
            ticket,
            call,
            place,
        };
        self.ring.try_send(ticket_call).map_err(|_| self.refuse())
    }

    /// How many calls were refused since the start, because too many were in flight.
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    fn refuse(&self) -> PlatformReply {
        self.refused.fetch_add(1, Ordering::Relaxed);
        PlatformReply::Unreachable
    }
}
