//! The `platform_handle` module provides the handle that sends calls to the platform edge.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};

use beechsaddle_core::platform::{PlatformCall, PlatformReply, PlatformTicket};

/// Sends calls to the platform's thread, which ends when all handles are dropped.
#[derive(Clone, Debug)]
pub struct PlatformHandle {
    ring: mpsc::Sender<TicketCall>,
    permits: Arc<Semaphore>,
    refused: Arc<AtomicU64>,
}

/// A call in flight.
#[derive(Debug)]
pub(super) struct TicketCall {
    /// Identifies the call.
    pub(super) ticket: PlatformTicket,
    pub(super) call: PlatformCall,
    /// Its permit to be in flight, released when dropped.
    pub(super) permit: OwnedSemaphorePermit,
}

impl PlatformHandle {
    pub(super) fn new(ring: mpsc::Sender<TicketCall>, calls_max: usize) -> Self {
        PlatformHandle {
            ring,
            permits: Arc::new(Semaphore::new(calls_max)),
            refused: Arc::new(AtomicU64::new(0)),
        }
    }

    /// Sends a call without blocking. Its reply arrives as an event.
    ///
    /// If the maximum number of calls is in flight, the reply is returned here instead and no event
    /// follows. It is [`PlatformReply::Unreachable`], since nothing was sent.
    pub fn send(&self, ticket: PlatformTicket, call: PlatformCall) -> Result<(), PlatformReply> {
        // The core must not block while the platform hangs. If it waited for a permit, callers
        // would get neither responses nor refusals until the platform recovers. If calls queued
        // without a bound, the router would run out of memory in a long outage.
        let Ok(permit) = Arc::clone(&self.permits).try_acquire_owned() else {
            return Err(self.refuse());
        };
        let ticket_call = TicketCall {
            ticket,
            call,
            permit,
        };
        self.ring.try_send(ticket_call).map_err(|_| self.refuse())
    }

    /// Returns the number of calls refused since the start because too many were in flight.
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    fn refuse(&self) -> PlatformReply {
        self.refused.fetch_add(1, Ordering::Relaxed);
        PlatformReply::Unreachable
    }
}
