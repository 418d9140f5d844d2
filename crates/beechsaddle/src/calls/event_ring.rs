//! The `event_ring` module provides the way of the edge's events to the core.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use beechsaddle_core::call::CallEvent;
use beechsaddle_core::prelude::*;
use crossbeam_channel::{Sender, TrySendError};
use tokio::runtime::Handle;

/// How long to wait before trying a full ring again.
const FULL_RING_PAUSE: Duration = Duration::from_millis(2);

/// The sending end of the core's bounded event ring.
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

    /// Raises an event that may be lost; false when the ring is full or the core is gone.
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

    /// Raises an event that must not be lost, such as the end of an answer.
    ///
    /// Without it a call whose end is dropped would hold its reservation for ever. When the ring
    /// is full a task tries again until there is room; a call has at most two such events on its
    /// way, a failed attempt and the caller's hang-up, so that these tasks are bounded by the open
    /// calls. The two may change places.
    pub(crate) fn raise(&self, event: impl Into<CoreEvent>) {
        let event = match self.sender.try_send(event.into()) {
            Ok(()) | Err(TrySendError::Disconnected(_)) => return,
            Err(TrySendError::Full(event)) => event,
        };
        self.full.fetch_add(1, Ordering::Relaxed);
        let sender = self.sender.clone();
        self.runtime.spawn(send_later(sender, event));
    }

    /// How often the ring was found full.
    pub(crate) fn full_count(&self) -> u64 {
        self.full.load(Ordering::Relaxed)
    }

    /// Raises an event about a call that must not be lost.
    pub(crate) fn raise_call(&self, event: CallEvent) {
        self.raise(CoreEvent::Call(event));
    }
}

async fn send_later(sender: Sender<CoreEvent>, event: CoreEvent) {
    let mut event = event;
    loop {
        tokio::time::sleep(FULL_RING_PAUSE).await;
        match sender.try_send(event) {
            Ok(()) | Err(TrySendError::Disconnected(_)) => return,
            Err(TrySendError::Full(returned)) => event = returned,
        }
    }
}
