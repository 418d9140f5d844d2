//! The `platform_state` module provides the shared state of the platform stand-in.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use http::Method;
use tokio::sync::watch;
use tokio::time::Instant;

use super::object_call::ObjectCall;
use super::object_store::{ChangeGuard, ChangeOutcome, ObjectStore};
use super::platform_counters::PlatformCounters;
use super::platform_faults::{CallScope, PlatformFaults};
use super::rate_limit::RateLimit;

/// The objects, counters, faults and rate limits of the stand-in, guarded by one lock.
pub(super) struct PlatformState {
    pub(super) store: ObjectStore,
    pub(super) counters: PlatformCounters,
    pub(super) faults: PlatformFaults,
    pub(super) faults_since: Instant,
    pub(super) reads: RateLimit,
    pub(super) writes: RateLimit,
}

impl PlatformState {
    pub(super) fn new() -> Self {
        PlatformState {
            store: ObjectStore::default(),
            counters: PlatformCounters::default(),
            faults: PlatformFaults::default(),
            faults_since: Instant::now(),
            reads: RateLimit::default(),
            writes: RateLimit::default(),
        }
    }
}

impl PlatformCounters {
    /// Counts a call by its kind and prefix.
    pub(super) fn count(&mut self, call: &ObjectCall) {
        self.bytes_in += call.body.len() as u64;
        let counter = match (call.scope, call.is_collection) {
            (CallScope::Watches, _) => &mut self.watches,
            (_, true) => &mut self.lists,
            (CallScope::Writes, false) if call.method == Method::DELETE => &mut self.deletes,
            (CallScope::Writes, false) => &mut self.writes,
            (CallScope::All | CallScope::Reads, false) => &mut self.reads,
        };
        *counter += 1;
        let by_prefix = match call.scope {
            CallScope::Writes => &mut self.writes_by_prefix,
            CallScope::All | CallScope::Reads | CallScope::Watches => &mut self.reads_by_prefix,
        };
        let first = call.key.split('/').next().unwrap_or_default();
        *by_prefix.entry(first.to_owned()).or_default() += 1;
    }
}

/// Counts a watch as waiting until it is dropped, which also happens when its client disconnects.
pub(super) struct WaitingWatch {
    state: Arc<Mutex<PlatformState>>,
}

impl WaitingWatch {
    pub(super) fn new(state: Arc<Mutex<PlatformState>>) -> Self {
        lock(&state).counters.watches_waiting += 1;
        WaitingWatch { state }
    }
}

impl Drop for WaitingWatch {
    fn drop(&mut self) {
        lock(&self.state).counters.watches_waiting -= 1;
    }
}

pub(super) fn lock(state: &Mutex<PlatformState>) -> MutexGuard<'_, PlatformState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Changes an object and wakes the waiting watches.
pub(super) fn change(
    state: &Mutex<PlatformState>,
    revision: &watch::Sender<u64>,
    key: &str,
    value: Option<Bytes>,
    guard: ChangeGuard,
) -> ChangeOutcome {
    let mut state = lock(state);
    let outcome = state.store.change(key, value, guard);
    match outcome {
        ChangeOutcome::Changed(version) => {
            revision.send_replace(version);
        }
        ChangeOutcome::Conflict => state.counters.conflicts += 1,
        ChangeOutcome::Missing => {}
    }
    outcome
}
