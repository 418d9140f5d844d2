//! The `event_ring` module provides the sending of events to the core.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use beechsaddle_core::call::CallEvent;
use beechsaddle_core::prelude::*;
use crossbeam_channel::{Sender, TrySendError};
use tokio::runtime::Handle;

/// Delay before a full ring is tried again.
const FULL_RING_RETRY_DELAY: Duration = Duration::from_millis(2);

/// Sending end of the core's bounded event ring.
#[derive(Clone)]
pub(crate) struct EventRing {
    sender: Sender<CoreEvent>,
    full: Arc<AtomicU64>,
    runtime: Handle,
}

impl EventRing {
    /// Wraps the core's ring; delayed events are sent by tasks on `runtime`.
    pub(crate) fn new(sender: Sender<CoreEvent>, runtime: Handle) -> Self {
        EventRing {
            sender,
            full: Arc::new(AtomicU64::new(0)),
            runtime,
        }
    }

    /// Sends an event that may be lost; false if the ring is full or the core has ended.
    pub(crate) fn try_raise(&self, event: impl Into<CoreEvent>) -> bool {
        match self.sender.try_send(event.into()) {
            Ok(()) => true,
            Err(TrySendError::Full(_)) => {
                self.full.fetch_add(1, Ordering::Relaxed);
                false
            }
            Err(TrySendError::Disconnected(_)) => false,
        }
    }

    /// Sends an event that must not be lost, such as the end of an answer.
    ///
    /// A call whose end event was dropped would hold its reservation forever. If the ring is full,
    /// a task retries until there is room. A call has at most two such events pending, a failed
    /// attempt and the caller's disconnect, so the number of these tasks is bounded by the open
    /// calls. The two may arrive in either order.
    pub(crate) fn raise(&self, event: impl Into<CoreEvent>) {
        let event = match self.sender.try_send(event.into()) {
            Ok(()) | Err(TrySendError::Disconnected(_)) => return,
            Err(TrySendError::Full(event)) => event,
        };
        self.full.fetch_add(1, Ordering::Relaxed);
        let sender = self.sender.clone();
        self.runtime.spawn(retry_send(sender, event));
    }

    /// How many events found the ring full.
    pub(crate) fn full_count(&self) -> u64 {
        self.full.load(Ordering::Relaxed)
    }

    /// Sends an event about a call that must not be lost.
    pub(crate) fn raise_call(&self, event: CallEvent) {
        self.raise(CoreEvent::Call(event));
    }
}

async fn retry_send(sender: Sender<CoreEvent>, event: CoreEvent) {
    let mut event = event;
    loop {
        tokio::time::sleep(FULL_RING_RETRY_DELAY).await;
        match sender.try_send(event) {
            Ok(()) | Err(TrySendError::Disconnected(_)) => return,
            Err(TrySendError::Full(returned)) => event = returned,
        }
    }
}
