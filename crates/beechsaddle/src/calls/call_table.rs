//! The `call_table` module provides the routing of the core's actions to open calls.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use beechsaddle_core::call::CallAction;
use beechsaddle_core::prelude::*;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;

/// Capacity of a call's action ring. The core sends a call at most one action ahead of the event
/// that it waits for, plus an abort.
const CALL_RING_SLOTS: usize = 4;

/// The open calls, each with a bounded ring for the core's actions.
pub(crate) struct CallTable {
    router: RouterIncarnation,
    last_number: AtomicU64,
    calls: Mutex<BTreeMap<u64, mpsc::Sender<CallAction>>>,
}

impl CallTable {
    /// Creates an empty table for one incarnation of a router.
    pub(crate) fn new(router: RouterIncarnation) -> Self {
        CallTable {
            router,
            last_number: AtomicU64::new(0),
            calls: Mutex::new(BTreeMap::new()),
        }
    }

    /// Opens a call under a new id.
    pub(crate) fn open(&self) -> (CallId, mpsc::Receiver<CallAction>) {
        let number = self.last_number.fetch_add(1, Ordering::Relaxed) + 1;
        let (sender, receiver) = mpsc::channel(CALL_RING_SLOTS);
        self.lock().insert(number, sender);
        let call = CallId {
            router: self.router.clone(),
            number,
        };
        (call, receiver)
    }

    /// Removes a call.
    pub(crate) fn close(&self, call: &CallId) {
        self.lock().remove(&call.number);
    }

    /// Delivers an action to its call without waiting. An action for a closed call is dropped,
    /// since the core has been sent its end.
    ///
    /// A full ring means that the core and the edge disagree about the call's state. The call is
    /// closed, so that it ends as broken instead of missing an action and waiting forever.
    pub(crate) fn deliver(&self, call: &CallId, action: CallAction) {
        let sender = self.lock().get(&call.number).cloned();
        let Some(sender) = sender else {
            return;
        };
        if let Err(TrySendError::Full(_)) = sender.try_send(action) {
            self.close(call);
        }
    }

    /// Number of open calls.
    pub(crate) fn len(&self) -> usize {
        self.lock().len()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, mpsc::Sender<CallAction>>> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
